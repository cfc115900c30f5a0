package logsink

import (
	"bytes"
	"context"
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

// blockableWriter is a writer that blocks while the test holds readerLock, like a pipe whose reader has stopped reading.
type blockableWriter struct {
	mu         sync.Mutex
	text       bytes.Buffer
	readerLock sync.Mutex
}

// Write implements io.Writer.
func (p *blockableWriter) Write(b []byte) (int, error) {
	p.readerLock.Lock()
	defer p.readerLock.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *blockableWriter) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

var _ = Describe("the log sink", func() {
	It("does not block the caller while the writer is blocked, and counts and reports the dropped lines", func() {
		p := &blockableWriter{}
		s := New(p)
		s.limit.SetLimit(1e9)
		s.limit.SetBurst(1 << 30)
		p.readerLock.Lock()
		start := time.Now()
		for range 3 * queueLines {
			_, err := s.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		p.readerLock.Unlock()
		Expect(s.Dropped.Get("queue_full")).NotTo(BeNil())
		Eventually(p.String).Should(ContainSubstring("log lines dropped here"))
		Eventually(func() int { return strings.Count(p.String(), "line\n") }).Should(BeNumerically(">=", queueLines))
	})

	// Guards against dropped lines that are never reported: if the writing goroutine is delayed after it has taken the first line
	// of a burst, the queue fills up and the remaining lines are dropped. It then writes the whole queue as one batch, and no line
	// follows that could carry the notice.
	It("reports dropped lines after the lines queued before them, even if no further line is logged", func() {
		s := &Sink{lines: make(chan []byte, 2), limit: rate.NewLimiter(rate.Inf, 1), Dropped: new(expvar.Map)}
		for _, l := range []string{"a\n", "b\n", "lost\n", "lost\n"} {
			_, err := s.Write([]byte(l))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(string(s.batch([]byte("first\n")))).To(MatchRegexp(`^first\na\nb\n\{.*"lines":2,.*\}\n$`))
	})

	It("writes all queued lines before a process ends, and does not wait longer than allowed for a reader", func() {
		p := &blockableWriter{}
		s := New(p)
		for range burst {
			_, _ = s.Write([]byte("line\n"))
		}
		s.Flush(context.Background())
		Expect(strings.Count(p.String(), "line\n")).To(Equal(burst))
		p.readerLock.Lock()
		defer p.readerLock.Unlock()
		s.limit.SetLimit(rate.Inf)
		_, _ = s.Write([]byte("line\n"))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		s.Flush(ctx)
		Expect(ctx.Err()).To(HaveOccurred())
	})

	It("limits the rate of lines under load", func() {
		p := &blockableWriter{}
		s := New(p)
		for range 2 * burst {
			_, _ = s.Write([]byte("line\n"))
		}
		Eventually(func() int { return strings.Count(p.String(), "line\n") }).Should(BeNumerically(">=", burst))
		Expect(strings.Count(p.String(), "line\n")).To(BeNumerically("<", burst+linesPerSecond))
		Expect(s.Dropped.Get("over_rate")).NotTo(BeNil())
	})
})
