package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

var _ = Describe("requests over a link on which a queue may build up at any moment", func() {
	It("are not sent on the older version if the VM lacks a configuration, which may be transferred over its link at any moment", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		report := placement.LoadReport{Held: []facts.Held{{Model: "m", Revision: 1}}, ConfigVersion: 6, ReceivedAt: time.Now()}
		b.tracker.SetReport(b.facts.Instances()[0].Address, report)
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK), "no newer version is published")
		b.facts.SetWanted("m", newSecondVersion())
		a, _, err = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("2")).To(BeZero())
	})

	// Guards against a stream that begins on a version after its grace period because a new configuration delays it. A
	// gateway received a configuration of 0.6 MB 0.4 s before it sent a stream to an upstream behind a narrow link.
	// The VM's last report was 0.54 s old and showed the previous configuration, which both had at the time, so the
	// gateway did not expect the new one on the link. The stream arrived 4.4 s later. The cause was that the
	// configurations were compared when the report arrived and not when the request was sent.
	It("are not sent on the older version if this gateway has received a configuration since the VM's last report", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		old := b.facts.Catalog()
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
			Held: []facts.Held{{Model: "m", Revision: 1}}, ConfigVersion: old.Revision, ReceivedAt: time.Now(),
		})
		b.facts.SetWanted("m", newSecondVersion())
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		var services []*catalog.Service
		for _, s := range old.Services {
			services = append(services, s)
		}
		b.facts.SetCatalog(catalog.New(old.Revision+1, []*catalog.Route{route(catalog.Streaming, "engines")}, services, nil, old.Limits))
		a, _, err = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("2")).To(BeZero())
	})

	// Guards against requests that begin on version 1 after its grace period because chunks of version 3 delay them.
	// Six links became narrow when version 3 was published, 2.3 s before the end of version 1's grace period, and chunks
	// queued on them. Requests over links probed 0.2 s before arrived 1.3 s later.
	It("are not sent on the older version in its last 2 s if a newer one has just been published: its chunks may queue on any link", func() {
		s := &suspendableClock{}
		b := newTestbedAt(s.now, route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		publish := func(r id.Revision) {
			now := s.now()
			b.facts.SetWanted("m", facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		}
		statusOf := func(request string) int {
			stamp := s.now()
			b.tracker.RecordProbe(b.facts.Instances()[0].Address, stamp)
			b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
				Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: stamp, EchoedStamp: stamp, Interval: 200 * time.Millisecond,
			})
			a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, request)
			Expect(err).NotTo(HaveOccurred())
			return a.StatusCode
		}
		publish(2)
		s.suspension.Store(int64(3 * time.Second))
		publish(3)
		Expect(statusOf("5 s left")).To(Equal(http.StatusOK))
		s.suspension.Store(int64(6400 * time.Millisecond))
		Expect(statusOf("1.6 s left")).To(Equal(http.StatusOK), "the newest version was published long ago")
		publish(4)
		Expect(statusOf("just named")).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("just named")).To(BeZero())
	})
})
