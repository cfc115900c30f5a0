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

var _ = Describe("requests over a way on which something may queue at any moment", func() {
	It("are not sent on the older version where the VM lacks a configuration, which comes onto its link at any moment", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		report := placement.LoadReport{Held: []facts.Held{{Model: "m", Revision: 1}}, ConfigVersion: 6, ReceivedAt: time.Now()}
		b.tracker.SetReport(b.facts.Instances()[0].Address, report)
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK), "no newer version is named")
		b.facts.SetWanted("m", secondNamed())
		a, _, err = b.ask("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("2")).To(BeZero())
	})

	// A configuration of 0.6 MB came to a gateway 0.4 s before it sent a stream on to an upstream behind a narrow link,
	// whose last report was older than that: both had had the same configuration then. The stream came to the upstream
	// 4.4 s later, and began on a version whose time was over. Cause: whether a VM is behind was asked as its report
	// came. Evidence: config 8 at the gateway at 21.56 s, a report 0.54 s old at 21.96 s, config 8 at that VM at 30 s
	// or later.
	It("are not sent on the older version where this gateway has got a configuration since the VM's last report", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		old := b.facts.Catalog()
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
			Held: []facts.Held{{Model: "m", Revision: 1}}, ConfigVersion: old.Revision, ReceivedAt: time.Now(),
		})
		b.facts.SetWanted("m", secondNamed())
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		var services []*catalog.Service
		for _, s := range old.Services {
			services = append(services, s)
		}
		b.facts.SetCatalog(catalog.New(old.Revision+1, []*catalog.Route{route(catalog.Streaming, "engines")}, services, nil, old.Limits))
		a, _, err = b.ask("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("2")).To(BeZero())
	})

	// Six links became narrow just as version 3 was named, 2.3 s before the end of version 1's time, and chunks queued
	// on them: requests that went over ways proven 0.2 s before arrived 1.3 s later and began on version 1 after its
	// time.
	It("are not sent on the older version in its last 2 s where a newer one has just been named: its chunks may begin to queue on any way", func() {
		s := &sleeper{}
		b := newTestbedAt(s.now, route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		named := func(r id.Revision) {
			now := s.now()
			b.facts.SetWanted("m", facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		}
		status := func(request string) int {
			stamp := s.now()
			b.tracker.RecordProbe(b.facts.Instances()[0].Address, stamp)
			b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{
				Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: stamp, EchoedStamp: stamp, Interval: 200 * time.Millisecond,
			})
			a, _, err := b.ask("POST", "/p/", "x", xModel, "m", xRequest, request)
			Expect(err).NotTo(HaveOccurred())
			return a.StatusCode
		}
		named(2)
		s.lost.Store(int64(3 * time.Second))
		named(3)
		Expect(status("5 s left")).To(Equal(http.StatusOK))
		s.lost.Store(int64(6400 * time.Millisecond))
		Expect(status("1.6 s left")).To(Equal(http.StatusOK), "the newest was named long ago")
		named(4)
		Expect(status("just named")).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("just named")).To(BeZero())
	})
})
