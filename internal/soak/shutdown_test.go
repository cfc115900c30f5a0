package soak

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sendLong sends a request with a deadline beyond a stop; its body is complete after a while.
func (h *history) sendLong(bodyTime time.Duration) {
	h.RecordSent("1", &request{gateway: h.gateway, deadline: h.at.Add(time.Minute), arrivesSlowly: bodyTime > 0})
	if bodyTime > 0 {
		h.advance(bodyTime)
		h.RecordWhole("1")
	}
}

// finish makes the upstream work for a while and stop.
func (h *history) finish(work time.Duration) {
	h.advance(work)
	h.RecordWorkEnd("1")
}

var _ = Describe("a check of stops", func() {
	const s = time.Second

	DescribeTable("reports broken guarantees and nothing else", func(play func(h *history), want ...string) {
		h := newHistory()
		play(h)
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	},
		Entry("a request that is complete too late, sent to an upstream and cut",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime + 1)
				h.arrive()
				h.advance(4 * s)
				h.truncate(false)
			}, "given-up"),
		Entry("one that is answered as failed",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime + 1)
				h.arrive()
				h.advance(4 * s)
				h.RecordFailed("1", 502)
			}, "given-up"),
		Entry("a stream that is cut and was complete too late",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime + 1)
				h.arrive()
				h.advance(4 * s)
				h.truncate(true)
			}, "given-up"),
		Entry("one that is sent late with its body",
			func(h *history) {
				h.terminate()
				h.advance(takingTime + 1)
				h.sendLong(0)
				h.arrive()
				h.advance(s)
				h.RecordFailed("1", 502)
			}, "given-up"),
		Entry("one that is refused and was sent to no upstream", func(h *history) { h.terminate(); h.sendLong(takingTime + 1); h.RecordRefused("1", 503) }),
		Entry("one that is answered", func(h *history) { h.terminate(); h.sendLong(takingTime + 1); h.arrive(); h.RecordAnswered("1") }),
		Entry("one whose upstream has crashed", func(h *history) {
			h.terminate()
			h.sendLong(takingTime + 1)
			h.arrive()
			h.BeginFault("a", "crashed")()
			h.RecordFailed("1", 502)
		}),
		Entry("one that is cut at its deadline", func(h *history) {
			h.terminate()
			h.sendLong(takingTime + 1)
			h.arrive()
			h.advance(time.Minute)
			h.truncate(true)
		}),

		Entry("a stream may be broken off at the end while its upstream is at work",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime)
				h.arrive()
				h.advance(finalTime - takingTime + 1)
				h.truncate(true)
			}),
		Entry("a request may fail at the end while its upstream is at work",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime)
				h.arrive()
				h.advance(finalTime - takingTime + 1)
				h.RecordFailed("1", 502)
			}),
		Entry("a request that is cut without an answer while its upstream is at work",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime)
				h.arrive()
				h.advance(finalTime - takingTime + 1)
				h.truncate(false)
			}, "lost"),
		Entry("a stream that is broken off before the end",
			func(h *history) {
				h.terminate()
				h.sendLong(takingTime)
				h.arrive()
				h.advance(finalTime - takingTime)
				h.truncate(true)
			}, "lost"),
		Entry("a stream that is broken off though its upstream had ended in time",
			func(h *history) {
				h.terminate()
				h.sendLong(s)
				h.arrive()
				h.finish(finalTime - s)
				h.advance(s / 2)
				h.truncate(true)
			}, "lost"),
		Entry("a stream whose upstream ended in the last part of the time",
			func(h *history) {
				h.terminate()
				h.sendLong(s)
				h.arrive()
				h.finish(finalTime - s + 1)
				h.advance(s / 2)
				h.truncate(true)
			}),
		Entry("a request that fails though its upstream had ended in time", func(h *history) {
			h.terminate()
			h.sendLong(s)
			h.arrive()
			h.runs(0)
			h.finish(finalTime - s)
			h.advance(s / 2)
			h.RecordFailed("1", 502)
		}, "ended-early"),
		Entry("a request that fails during a stop, before its end",
			func(h *history) {
				h.terminate()
				h.sendLong(0)
				h.arrive()
				h.runs(0)
				h.advance(s)
				h.RecordFailed("1", 502)
			}, "ended-early"),
		Entry("a request that ends in silence while its body arrives", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, deadline: h.at.Add(time.Minute), arrivesSlowly: true})
			h.terminate()
			h.advance(finalTime)
			h.truncate(false)
		}, "lost"),
		Entry("an answer that is cut after the time for a stop", func(h *history) { h.send(); h.terminate(); h.sendLong(0); h.advance(drainTime); h.truncate(true) }, "lost"),
		Entry("an answer may be cut once the process was overdue", func(h *history) { h.terminate(); h.sendLong(0); h.advance(drainTime + exitSlack); h.truncate(true) }),
		Entry("an answer that is cut before its own long deadline", func(h *history) { h.sendLong(0); h.arrive(); h.advance(callerDeadline); h.truncate(true) }, "ended-early"),
		Entry("an answer that the next process cuts is not excused by the stop", func(h *history) {
			h.BeginFault(h.gateway.name, spanTerminated)()
			h.sendLong(0)
			h.arrive()
			h.truncate(true)
		}, "ended-early"),
		Entry("a fault of the gateway that ended before the stop excuses an answer that is cut", func(h *history) {
			h.BeginFault(h.gateway.name, spanPaused)()
			h.advance(settleTime - 1)
			h.sendLong(0)
			h.terminate()
			h.truncate(true)
		}),
		Entry("one that ended before that does not", func(h *history) {
			h.BeginFault(h.gateway.name, spanPaused)()
			h.advance(settleTime)
			h.sendLong(0)
			h.terminate()
			h.truncate(true)
		}, "lost"),
		Entry("a fault of the gateway that begins during the stop does not", func(h *history) {
			h.sendLong(0)
			h.terminate()
			h.advance(1)
			h.BeginFault(h.gateway.name, doStoreReset)()
			h.truncate(true)
		}, "lost"),

		Entry("a request may be refused as soon as its body is complete", func(h *history) { h.sendLong(2 * s); h.advance(maxRefusalDelay); h.RecordRefused("1", 503) }),
		Entry("a request that is refused some time after its body was complete",
			func(h *history) { h.sendLong(2 * s); h.advance(maxRefusalDelay + 1); h.RecordRefused("1", 503) }, "late-refusal"),
		Entry("a request may be refused while its body arrives", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, arrivesSlowly: true})
			h.advance(2 * s)
			h.RecordRefused("1", 503)
		}),
	)
})

var _ = Describe("a patient caller", func() {
	// exchangeWith lets a caller send a request in two pieces to a server that has the given time for the answer.
	exchangeWith := func(chunked bool, serve func(c net.Conn, q *http.Request)) (status int, isWhole bool, err error) {
		near, far := net.Pipe()
		DeferCleanup(near.Close)
		DeferCleanup(far.Close)
		h := newHistory()
		h.send()
		c := &Caller{history: h.History, gateway: h.gateway, conn: near, reader: bufio.NewReader(near)}
		a := &callerRequest{id: "1", body: strings.Repeat("x", 3*maxChunk), timeout: time.Minute, pace: pace{pieces: 2, bodyTime: 40 * time.Millisecond, chunked: chunked}}
		q, err := a.newHTTPRequest()
		Expect(err).NotTo(HaveOccurred())
		go func() {
			if q, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				serve(far, q)
			}
		}()
		r, _, isWhole, err := c.exchange(context.Background(), a, q)
		if err != nil {
			return 0, isWhole, err
		}
		return r.StatusCode, isWhole, nil
	}
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

	DescribeTable("sends its header first and then the whole body", func(chunked bool) {
		status, isWhole, err := exchangeWith(chunked, func(c net.Conn, q *http.Request) {
			b, err := io.ReadAll(q.Body)
			if err == nil && len(b) == 3*maxChunk && (q.ContentLength < 0) == chunked {
				_, _ = io.WriteString(c, answer)
			}
			c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(isWhole).To(BeTrue())
	}, Entry("with a length", false), Entry("in chunks", true))

	It("receives an answer that comes before its body is complete", func() {
		status, isWhole, err := exchangeWith(false, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(isWhole).To(BeFalse())
	})

	It("sees the end of an answer that is cut while it reads slowly", func() {
		b, err := io.ReadAll(&slowReader{Reader: io.MultiReader(strings.NewReader("ab"), errorReader{}), ctx: context.Background(), pause: 1})
		Expect(string(b)).To(Equal("ab"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		b, err = io.ReadAll(&slowReader{Reader: strings.NewReader("abc"), ctx: context.Background(), pause: 1})
		Expect(string(b)).To(Equal("abc"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("draws requests of all sorts that may outlast a stop", func() {
		c := &Caller{history: newHistory().History, random: rand.New(rand.NewPCG(1, 1)), isPatient: true}
		long, slowBody, chunked, slowRead := 0, 0, 0, 0
		for range 400 {
			a := c.nextRequest()
			c.makeLong(&a)
			switch {
			case a.pace.chunked:
				chunked++
			case a.pace.isSlow():
				slowBody++
			case a.pace.readPause > 0:
				slowRead++
			}
			if a.answerTime > 0 && a.timeout > drainTime-takingTime {
				long++
			}
		}
		Expect(min(long, slowBody, chunked, slowRead)).To(BeNumerically(">", 15))
	})
})

// errorReader fails each read, as a connection does that is cut.
type errorReader struct{}

// Read implements io.Reader.
func (errorReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}
