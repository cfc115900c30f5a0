package gateway

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
)

// unframed are upstreams whose answers have no length and end with their connections.
type unframed struct {
	body string
	// crashes makes the process end with the answer, and leaves makes the upstream announce that it leaves before. The listener
	// closes after closesAfter.
	crashes, leaves bool
	closesAfter     time.Duration
}

// addUnframedUpstream adds such an upstream. It continues a stream with a third event.
func (b *testbed) addUnframedUpstream(name string, pool id.Pool, u unframed) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	play := func(q *http.Request, _ string, c net.Conn) {
		if q.Header.Get(xLastEventID) != "" {
			stream(c, q, xRevision+": 1\r\n", thirdEvent)
			_, _ = c.Write([]byte("0\r\n\r\n"))
			return
		}
		if u.leaves {
			b.facts.MarkLeaving(id.Instance(name), 0)
		}
		if u.crashes || u.leaves {
			time.AfterFunc(u.closesAfter, func() { _ = l.Close() })
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s: 1\r\n\r\n%s", xRequest, q.Header.Get(xRequest), xRevision, u.body)
		_ = c.Close()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConn(name, c, play)
		}
	}()
	b.facts.SetInstance(&facts.Instance{
		ID: id.Instance(name), Pool: pool, Address: l.Addr().String(), Domain: "d", Slots: 4, Held: []facts.Held{{Model: "m", Revision: 1}},
	})
}

const thirdEvent = "id: 3\ndata: c\n\n"

var _ = Describe("an answer without a length", func() {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	suspect := identityOf("x")

	DescribeTable("is complete and clears suspicions only once its upstream has answered a later request", func(kind catalog.Kind, resumable bool) {
		r := route(kind, "engines")
		r.Resumable = resumable
		b := newTestbed(r)
		b.addUnframedUpstream("u", "engines", unframed{body: events})
		b.reportCrashes(suspect, 2)
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
		Expect(b.list.Check(suspect)).To(Equal(quarantine.Alone), "a connection that is accepted proves nothing")
		_, _, err = b.sendRequest("POST", "/p/", "y", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() quarantine.Verdict { return b.list.Check(suspect) }).WithTimeout(time.Second).Should(Equal(quarantine.Pass))
	},
		Entry("a stream", catalog.Streaming, false),
		Entry("a stream that others may continue", catalog.Streaming, true),
		Entry("no stream", catalog.Safe, false),
	)

	It("never looks complete if its upstream crashes in a stream that no other may continue, and counts against the request", func() {
		r := route(catalog.Streaming, "engines")
		r.Resumable = false
		b := newTestbed(r)
		b.addUnframedUpstream("u", "engines", unframed{body: events, crashes: true})
		b.reportCrashes(suspect, 1)
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(events))
		Eventually(func() quarantine.Verdict { return b.list.Check(suspect) }).WithTimeout(time.Second).Should(Equal(quarantine.Alone))
	})

	DescribeTable("is continued by another upstream if its own crashes in it", func(closesAfter time.Duration) {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUnframedUpstream("u", "engines", unframed{body: events, crashes: true, closesAfter: closesAfter})
		b.addUnframedUpstream("v", "engines", unframed{body: events, crashes: true, closesAfter: closesAfter})
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events + thirdEvent))
	},
		Entry("and its listener closes at once", time.Duration(0)),
		Entry("and its listener closes 60 ms later", 60*time.Millisecond),
	)

	It("is complete, but clears no suspicion, if its upstream ends after it has announced that it leaves", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUnframedUpstream("u", "engines", unframed{body: events, leaves: true})
		b.reportCrashes(suspect, 2)
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
		Expect(b.list.Check(suspect)).To(Equal(quarantine.Alone))
	})

	It("is answered as failed if its upstream crashes and it is no stream", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		b.addUnframedUpstream("u", "plain", unframed{body: "half", crashes: true})
		a, body, err := b.sendRequest("POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(body).NotTo(ContainSubstring("half"))
	})
})
