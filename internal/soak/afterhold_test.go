package soak

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/standin"
)

var _ = Describe("the check of requests that crash upstreams", func() {
	It("counts requests that crash upstreams at a gateway that has just started, and while the store is away", func() {
		h := newHistory()
		for range 3 {
			h.RecordCrash("crash-1")
		}
		h.advance(settleTime)
		h.BeginFault(h.gateway.name, spanKilled)()
		h.BeginFault(storeTarget, doStoreDown)
		for n := range 4 {
			r := fmt.Sprintf("crash-1.%d", n)
			h.RecordSent(r, &request{gateway: h.gateway, crashesUpstreams: true})
			h.RecordRun(standin.RequestRun{Request: r, Instance: "u", At: h.at})
		}
		Expect(h.brokenChecks()).To(Equal([]string{"crashing"}))
	})
})
