package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/placement"
)

// stream writes the header of a stream and then the pieces unchanged.
func stream(c net.Conn, q *http.Request, extra string, pieces ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\n",
		xRequest, q.Header.Get(xRequest), extra)
	for _, p := range pieces {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
		time.Sleep(5 * time.Millisecond)
	}
}

var _ = Describe("a stream", func() {
	const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

	// resume is an upstream that breaks off within its second event, or continues after the caller's last event.
	resume := func(q *http.Request, _ string, c net.Conn) {
		if q.Header.Get(xLastEventID) == "" {
			stream(c, q, xRevision+": 1\r\nX-Seal: first\r\n", "id: 1\ndata: a\n\nid: 2\nda")
			return
		}
		stream(c, q, xRevision+": 1\r\nX-Seal: second\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}

	It("is continued by another upstream if it breaks within an event: no event is lost, duplicated or partial, and the header stays", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", resume)
		b.addUpstream("v", "engines", resume)
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(all))
		Expect(a.Header.Get("X-Seal")).To(Equal("first"))
	})

	It("keeps waiting while its last upstream is silent: no other one may continue it, so giving up would only truncate it", func() {
		longRoute := route(catalog.Streaming, "engines")
		longRoute.Timeout = 6 * time.Second
		b := newTestbed(longRoute)
		slow := func(q *http.Request, _ string, c net.Conn) {
			if q.Header.Get(xLastEventID) == "" {
				stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
				return
			}
			time.Sleep(firstEventSlack + 300*time.Millisecond)
			stream(c, q, xRevision+": 1\r\n", "id: 2\ndata: b\n\n")
			time.Sleep(eventStallTimeout + 100*time.Millisecond)
			stream3 := "id: 3\ndata: c\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(stream3), stream3)
		}
		for _, name := range []string{"u", "v", "w"} {
			b.addUpstream(name, "engines", slow)
		}
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(all))
	})

	It("never looks complete if no upstream can continue with its version", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", resume)
		b.addUpstream("v", "engines", resume)
		for _, i := range b.facts.Instances() {
			if i.ID == "v" {
				b.facts.SetInstance(&facts.Instance{ID: i.ID, Pool: i.Pool, Address: i.Address, Domain: "far", Slots: 4,
					Held: []facts.Held{{Model: "m", Revision: 2}}, ListPosition: 1})
			}
		}
		truncated := 0
		for range 8 {
			_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
			if err != nil {
				truncated++
				Expect(body).To(Equal("id: 1\ndata: a\n\n"))
			}
		}
		Expect(truncated).To(BeNumerically(">", 0))
	})

	DescribeTable("never looks complete to its caller if its upstream ends it within an event and no other one may continue it",
		func(resumable bool, piece string, complete bool) {
			r := route(catalog.Streaming, "engines")
			r.Resumable = resumable
			b := newTestbed(r)
			b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
				stream(c, q, "", "id: 1\ndata: a\n\n", piece)
				_, _ = io.WriteString(c, "0\r\n\r\n")
			})
			_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
			Expect(body).To(HavePrefix("id: 1\ndata: a\n\n"))
			if complete {
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(HaveSuffix(piece))
			} else {
				Expect(err).To(HaveOccurred())
			}
		},
		Entry("within a line", false, "id: 2\nda", false),
		Entry("after a line", false, "id: 2\ndata: b\n", false),
		Entry("after a line that ends with CR LF", false, "id: 2\r\ndata: b\r\n", false),
		Entry("after a whole event", false, "id: 2\ndata: b\n\n", true),
		Entry("after a whole event whose lines end with CR LF", false, "id: 2\r\ndata: b\r\n\r\n", true),
		Entry("within an event too long to be kept", true, "id: 2\ndata: "+strings.Repeat("b", maxPartialEvent+1), false),
		Entry("after an event too long to be kept", true, "id: 2\ndata: "+strings.Repeat("b", maxPartialEvent+1)+"\n\n", true),
	)

	DescribeTable("of another content type is complete as it comes, unless a part of it is kept for another upstream", func(resumable, complete bool) {
		r := route(catalog.Streaming, "engines")
		r.Resumable, r.MaxAttempts = resumable, 1
		b := newTestbed(r)
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Type: application/x-ndjson\r\nContent-Length: 4\r\n\r\n{}\n1", xRequest, q.Header.Get(xRequest))
		})
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		if complete {
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("{}\n1"))
		} else {
			Expect(err != nil || a.StatusCode == http.StatusBadGateway).To(BeTrue())
		}
	},
		Entry("passed on", false, true),
		Entry("kept", true, false),
	)

	It("reaches its caller event by event", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, "", "id: 1\ndata: a\n\n")
			time.Sleep(300 * time.Millisecond)
			stream2 := "id: 2\ndata: b\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(stream2), stream2)
		})
		q, _ := http.NewRequest(http.MethodPost, b.server.URL+"/p/", strings.NewReader("x"))
		q.Host = "h.example"
		q.Header.Set(xModel, "m")
		start := time.Now()
		a, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		_, err = io.ReadFull(a.Body, make([]byte, len("id: 1\ndata: a\n\n")))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("begins only where its model is served, in a version whose grace period has not ended", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", resume)
		b.facts.SetWanted("m", newSecondVersion())
		b.gateway.settings.SwapWithin = swapMargin + 10*time.Millisecond
		time.Sleep(30 * time.Millisecond)
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("1")).To(BeZero())
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
			Held: []facts.Held{{Model: "m", Revision: 2}}, ReceivedAt: time.Now(),
		})
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2", "X-Hang-Up", "1")
		Expect(b.upstreamCount("2")).To(Equal(1))
	})

	It("is kept from an older version behind a narrow link earlier, as its transit would be long", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", resume)
		b.facts.SetWanted("m", newSecondVersion())
		b.gateway.settings.SwapWithin = swapMargin + time.Second
		report := placement.LoadReport{Congested: true, Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: time.Now()}
		b.tracker.SetReport(b.facts.Instances()[0].Address, report)
		time.Sleep(5 * time.Millisecond)
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("1")).To(BeZero())
		report.Congested = false
		b.tracker.SetReport(b.facts.Instances()[0].Address, report)
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2", "X-Hang-Up", "1")
		Expect(b.upstreamCount("2")).To(Equal(1))
	})

	It("is continued on an older version only with enough time left", func() {
		for _, within := range []time.Duration{swapMargin + time.Second, resumeMargin + time.Second} {
			b := newTestbed(route(catalog.Streaming, "engines"))
			b.addUpstream("u", "engines", resume)
			b.addUpstream("v", "engines", resume)
			b.facts.SetWanted("m", newSecondVersion())
			b.gateway.settings.SwapWithin = within
			time.Sleep(5 * time.Millisecond)
			_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
			if within < resumeMargin {
				Expect(err).To(HaveOccurred(), "truncated, and recognisable as such")
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(all))
		}
	})

	It("is cancelled at an upstream that has not begun it when the version's grace period ends, regardless of the retry budget", func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b := newTestbed(r)
		b.gateway.retryBudget = placement.NewRetryBudget(placement.RetryBudgetRule{Window: time.Second}, func() int { return 1 }, time.Now)
		disconnected := make(chan time.Time, 1)
		b.addUpstream("frozen", "engines", func(_ *http.Request, _ string, c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			disconnected <- time.Now()
		})
		since := time.Now()
		b.facts.SetWanted("m", newSecondVersion())
		b.gateway.settings.SwapWithin = swapMargin + 300*time.Millisecond
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(502), "it may have run")
		Expect((<-disconnected).Sub(since)).To(BeNumerically("~", b.gateway.settings.SwapWithin-giveUpMargin, 150*time.Millisecond))
	})

	It("is cancelled even if the newer version is published while it waits at the upstream", func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b := newTestbed(r)
		b.gateway.retryBudget = placement.NewRetryBudget(placement.RetryBudgetRule{Window: time.Second}, func() int { return 1 }, time.Now)
		disconnected := make(chan time.Time, 1)
		arrived := make(chan struct{})
		b.addUpstream("frozen", "engines", func(_ *http.Request, _ string, c net.Conn) {
			close(arrived)
			_, _ = c.Read(make([]byte, 1))
			disconnected <- time.Now()
		})
		b.gateway.settings.SwapWithin = swapMargin + 300*time.Millisecond
		since := make(chan time.Time, 1)
		go func() {
			<-arrived
			since <- time.Now()
			b.facts.SetWanted("m", newSecondVersion())
		}()
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect((<-disconnected).Sub(<-since)).To(BeNumerically("~", b.gateway.settings.SwapWithin-giveUpMargin, 150*time.Millisecond))
	})

	It("is cancelled at once if the publication time that gave its version a grace period is withdrawn while it waits", func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b := newTestbed(r)
		b.gateway.retryBudget = placement.NewRetryBudget(placement.RetryBudgetRule{Window: time.Second}, func() int { return 1 }, time.Now)
		disconnected := make(chan time.Time, 1)
		arrived := make(chan struct{})
		b.addUpstream("frozen", "engines", func(_ *http.Request, _ string, c net.Conn) {
			close(arrived)
			_, _ = c.Read(make([]byte, 1))
			disconnected <- time.Now()
		})
		b.facts.SetWanted("m", newSecondVersion())
		b.gateway.settings.SwapWithin = swapMargin + 2*time.Second
		since := make(chan time.Time, 1)
		go func() {
			<-arrived
			since <- time.Now()
			b.facts.MergePublishTime("m", 2, dating.TimeBounds{KnownAt: time.Now().Add(-time.Minute)})
		}()
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect((<-disconnected).Sub(<-since)).To(BeNumerically("<", 2*giveUpMargin))
	})

	It("is cancelled at once if a newer version with unknown publication time becomes known while it waits", func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b := newTestbed(r)
		b.gateway.retryBudget = placement.NewRetryBudget(placement.RetryBudgetRule{Window: time.Second}, func() int { return 1 }, time.Now)
		disconnected := make(chan time.Time, 1)
		arrived := make(chan struct{})
		b.addUpstream("frozen", "engines", func(_ *http.Request, _ string, c net.Conn) {
			close(arrived)
			_, _ = c.Read(make([]byte, 1))
			disconnected <- time.Now()
		})
		b.gateway.settings.SwapWithin = swapMargin + 2*time.Second
		since := make(chan time.Time, 1)
		go func() {
			<-arrived
			since <- time.Now()
			b.facts.SetWanted("m", facts.Publication{Revision: 2})
		}()
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect((<-disconnected).Sub(<-since)).To(BeNumerically("<", 2*giveUpMargin))
	})

	It("is refused at once if every upstream is too busy to begin in time", func() {
		r := route(catalog.Streaming, "engines")
		r.LatencyTarget = 50 * time.Millisecond
		b := newTestbed(r)
		b.addUpstream("u", "engines", resume)
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
			Running: 4, Waiting: 30, Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: time.Now(),
		})
		start := time.Now()
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(b.upstreamCount("1")).To(BeZero())
	})
})

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 3)
	f.Add([]byte("\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, step int) {
		step = max(1, step%17)
		var whole, pieces eventSplitter
		atOnce := string(whole.feed(b, true))
		var all strings.Builder
		for i := 0; i < len(b); i += step {
			all.Write(pieces.feed(b[i:min(len(b), i+step)], true))
		}
		if all.String() != atOnce || pieces.lastID != whole.lastID {
			t.Fatalf("%q in pieces of %d, %q at once", all.String(), step, atOnce)
		}
	})
}

// newSecondVersion is the record of a second version that is published at this moment.
func newSecondVersion() facts.Publication {
	return facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: time.Now()}, CompleteUntil: time.Now()}
}
