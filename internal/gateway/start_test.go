package gateway

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/placement"
)

// Power came back, callers came back with it, and each gateway had its configuration within 0.3 to 0.8 s. Each request that came before
// was refused, told to come back after a second, and late by then.
var _ = Describe("a request that comes to a gateway without a configuration", func() {
	var b *backstage
	var listed []*catalog.Route
	configure := func() {
		b.facts.SetCatalog(catalog.New(1, listed, []*catalog.Service{{Name: "plain"}}, nil, catalog.Limits{}))
	}
	BeforeEach(func() {
		listed = []*catalog.Route{route(catalog.Safe, "plain")}
		b = newBackstage(listed...)
		b.upstream("u", "plain", func(q *http.Request, body string, c net.Conn) { reply(c, q, 200, "", body) })
		i := *b.facts.Instances()[0]
		b.facts = facts.New(time.Now)
		b.facts.SetInstance(&i)
		b.tracker = placement.NewTracker(time.Now)
		b.gateway.facts, b.gateway.load.Tracker = b.facts, b.tracker
	})

	It("is served where that comes in a moment", func() {
		time.AfterFunc(noConfigWait/2, configure)
		a, _, err := b.ask("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})

	It("is refused as not run after that moment, with a time to come back, and not held until its caller gives up", func() {
		began := time.Now()
		a, _, err := b.ask("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get(xRetry)).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", 2*noConfigWait))
		Expect(b.runs("1")).To(BeZero())
	})
})
