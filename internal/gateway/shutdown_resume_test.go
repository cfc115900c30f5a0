package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a graceful shutdown on a VM that is suspended past its end", func() {
	It("answers the requests in flight after the resume, within the time that its context has left", func() {
		r := route(catalog.Unsafe, "plain")
		r.Timeout = 6 * time.Second
		p := startProcess(newTestbed(r))
		const inFlight = 40
		for i := range inFlight / 4 {
			p.addWorkingUpstream(strconv.Itoa(i))
		}
		var suspended atomic.Int64
		p.gateway.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		p.terminate(5 * time.Second)
		time.AfterFunc(time.Second, func() { suspended.Store(int64(10 * time.Second)) })
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range inFlight {
			wg.Go(func() {
				if status, _, err := p.send(strconv.Itoa(i), r.Timeout, 5*time.Second, 0, 0); err == nil && status == http.StatusBadGateway {
					answered.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(answered.Load()).To(BeEquivalentTo(inFlight))
	})

	It("answers a request whose body was still arriving", func() {
		r := route(catalog.Unsafe, "plain")
		r.Timeout = 3 * time.Second
		p := startProcess(newTestbed(r))
		p.addWorkingUpstream("u")
		var suspended atomic.Int64
		p.gateway.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		p.terminate(5 * time.Second)
		time.AfterFunc(time.Second, func() { suspended.Store(int64(10 * time.Second)) })
		status, _, err := p.send("1", time.Minute, 0, 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
	})
})
