package logsink

import (
	"bytes"
	"expvar"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/springrail/springrail/internal/spec"
)

func TestLogsink(t *testing.T) {
	spec.Run(t, "The log sink")
}

// pipe is a writer whose reader may stop reading.
type pipe struct {
	mu   sync.Mutex
	text bytes.Buffer
	held sync.Mutex
}

// Write implements io.Writer.
func (p *pipe) Write(b []byte) (int, error) {
	p.held.Lock()
	defer p.held.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *pipe) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

var _ = Describe("the log sink", func() {
	It("never holds up who logs while nobody reads, counts what it drops, and tells the reader", func() {
		p := &pipe{}
		s := New(p)
		s.limit.SetLimit(1e9)
		s.limit.SetBurst(1 << 30)
		p.held.Lock()
		start := time.Now()
		for range 3 * queued {
			_, err := s.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		p.held.Unlock()
		Expect(s.Dropped.Get("queue_full")).NotTo(BeNil())
		Eventually(p.String).Should(ContainSubstring("log lines dropped here"))
		Eventually(func() int { return strings.Count(p.String(), "line\n") }).Should(BeNumerically(">=", queued))
	})

	// On a busy machine the writing goroutine stood still with the first line of a burst in its hands, while the queue filled up and
	// the rest was dropped; it then wrote all that was queued at once, and nothing came after it that could have told of the gap.
	It("tells of a gap behind the lines that were queued before it, also where no line follows", func() {
		s := &Sink{lines: make(chan []byte, 2), limit: rate.NewLimiter(rate.Inf, 1), Dropped: new(expvar.Map)}
		for _, l := range []string{"a\n", "b\n", "lost\n", "lost\n"} {
			_, err := s.Write([]byte(l))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(string(s.batch([]byte("first\n")))).To(MatchRegexp(`^first\na\nb\n\{.*"lines":2,.*\}\n$`))
	})

	It("bounds the volume under load", func() {
		p := &pipe{}
		s := New(p)
		for range 2 * burst {
			_, _ = s.Write([]byte("line\n"))
		}
		Eventually(func() int { return strings.Count(p.String(), "line\n") }).Should(BeNumerically(">=", burst))
		Expect(strings.Count(p.String(), "line\n")).To(BeNumerically("<", burst+linesPerSecond))
		Expect(s.Dropped.Get("over_rate")).NotTo(BeNil())
	})
})
