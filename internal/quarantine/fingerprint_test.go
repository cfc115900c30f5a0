package quarantine

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestQuarantine(t *testing.T) {
	spec.Run(t, "Quarantine")
}

var _ = Describe("a fingerprint", func() {
	It("is the same for retries, and differs if any part differs or moves into the next part", func() {
		of := map[Fingerprint]string{}
		for name, f := range map[string]Fingerprint{
			"itself": Of("POST", "/a?b", "gym", []byte("x")), "method": Of("GET", "/a?b", "gym", []byte("x")),
			"query": Of("POST", "/a?c", "gym", []byte("x")), "organisation": Of("POST", "/a?b", "huts", []byte("x")),
			"body": Of("POST", "/a?b", "gym", []byte("y")), "moved": Of("POST", "/a?bgym", "", []byte("x")),
			"no body": Of("POST", "/a?b", "gymx", nil),
		} {
			Expect(of).NotTo(HaveKey(f), name)
			of[f] = name
		}
		Expect(of[Of("POST", "/a?b", "gym", []byte("x"))]).To(Equal("itself"))
	})

	It("is parsed from its text and its bytes only", func() {
		f := Of("POST", "/a", "gym", nil)
		Expect(Parse(f.String())).To(Equal(f))
		Expect(FromBytes(f[:])).To(Equal(f))
		for _, s := range []string{"", "zz", f.String()[2:], f.String() + "00", strings.Repeat("g", 32)} {
			_, err := Parse(s)
			Expect(errors.Is(err, ErrFingerprint)).To(BeTrue(), s)
		}
	})
})

func BenchmarkOf(b *testing.B) {
	// Takes 0.95 us for a body of 1 KB, compared with 480 us for choosing among 870 upstreams.
	body := make([]byte, 1<<10)
	for b.Loop() {
		Of("POST", "/some/path", "gym", body)
	}
}
