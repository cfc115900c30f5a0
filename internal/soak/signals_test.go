package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("signals around a stop", func() {
	It("leave the time for the stop before the quiet tail, and are drawn in most runs", func() {
		const length = 30 * time.Second
		runs := 0
		for seed := range uint64(100) {
			l := Plan(seed, length, []string{doSignals})
			if len(l) > 0 {
				runs++
			}
			for _, s := range l {
				Expect(s.Duration).To(BeNumerically(">=", drainTime+maxBeforeStop+minSeriesDowntime))
				Expect(s.At + s.Duration).To(BeNumerically("<=", length-quietTail))
			}
		}
		Expect(runs).To(BeNumerically(">", 50))
	})
})

var _ = Describe("a log pipe", func() {
	It("fails writes while its reader is away, and copies all others", func() {
		file := filepath.Join(GinkgoT().TempDir(), "p.log")
		l, err := NewLogPipe(file)
		Expect(err).NotTo(HaveOccurred())
		write := func(text string) error {
			_, err := l.writer.WriteString(text)
			return err
		}
		Expect(write("a\n")).To(Succeed())
		Eventually(func() ([]byte, error) { return os.ReadFile(file) }).Should(Equal([]byte("a\n")))
		l.Detach()
		Expect(write("lost\n")).To(MatchError(syscall.EPIPE))
		Expect(l.Attach()).To(Succeed())
		Expect(write("b\n")).To(Succeed())
		l.Close()
		Expect(os.ReadFile(file)).To(Equal([]byte("a\nb\n")))
		Expect(file + ".pipe").NotTo(BeAnExistingFile())
	})
})
