package soak

import (
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/standin"
)

var _ = Describe("the check of retries", func() {
	var h *history
	BeforeEach(func() { h = newHistory() })
	// play sends requests at regular intervals, of which each arrives a number of times.
	play := func(requests int, every time.Duration, arrivals int) {
		for n := range requests {
			id := fmt.Sprint(h.at.UnixNano(), "-", n)
			h.RecordSent(id, &request{gateway: h.gateway, path: lookPath})
			for range arrivals {
				h.RecordArrival(id, "u", "a")
			}
			h.advance(every)
		}
	}

	It("accepts what the ratio and the slack allow", func() {
		play(200, 50*time.Millisecond, 1)
		play(140, 50*time.Millisecond, 2)
		play(400, 50*time.Millisecond, 1)
		play(140, 50*time.Millisecond, 2)
		Expect(h.brokenChecks()).To(BeEmpty())
	})

	It("reports more in any window", func() {
		play(200, 50*time.Millisecond, 1)
		play(150, 50*time.Millisecond, 2)
		Expect(h.brokenChecks()).To(Equal([]string{"retry-budget"}))
	})

	It("counts pools apart", func() {
		h.RecordSent("engine", &request{gateway: h.gateway, path: chatPath})
		for range 101 {
			h.RecordArrival("engine", "u", "a")
		}
		Expect(h.brokenChecks()).To(BeEmpty())
		h.RecordArrival("engine", "u", "a")
		Expect(h.brokenChecks()).To(Equal([]string{"retry-budget"}))
	})
})

var _ = Describe("the check of attempts", func() {
	var h *history
	BeforeEach(func() { h = newHistory() })
	// runEach runs requests, one after the other, on a number of upstreams each.
	runEach := func(requests, upstreams int) {
		for n := range requests {
			id := fmt.Sprint(upstreams, "-", n)
			h.RecordSent(id, &request{gateway: h.gateway, path: lookPath})
			for u := range upstreams {
				h.RecordRun(standin.RequestRun{Request: id, Instance: fmt.Sprintf("a%d-1", u), At: h.at})
				h.RecordRun(standin.RequestRun{Request: id, Instance: fmt.Sprintf("a%d-1", u), At: h.at})
			}
		}
	}

	It("reports the fourth request that runs on more upstreams than its route allows", func() {
		runEach(10, maxAttempts)
		runEach(maxOverAttempts, maxAttempts+1)
		Expect(h.brokenChecks()).To(BeEmpty())
		runEach(1, maxAttempts+1)
		Expect(h.brokenChecks()).To(Equal([]string{"attempts"}))
	})

	It("leaves out upstreams that have been hurt since", func() {
		h.RecordSent("1", &request{gateway: h.gateway, path: deskPath})
		for n := range 10 {
			a := fmt.Sprint("a", n)
			h.RecordRun(standin.RequestRun{Request: "1", Instance: a + "-1", At: h.at})
			h.BeginFault(a, "crashed")
		}
		Expect(h.brokenChecks()).To(BeEmpty())
	})
})

var _ = Describe("the check of deadlines", func() {
	var h *history
	BeforeEach(func() { h = newHistory() })
	// arrive makes requests reach an upstream some time after they were sent, with a time stated in ms.
	arrive := func(requests int, late time.Duration, stated string) {
		for n := range requests {
			id := fmt.Sprint(h.at.UnixNano(), "-", n)
			h.RecordSent(id, &request{gateway: h.gateway, path: lookPath})
			h.advance(late)
			h.RecordDeadline(id, "u", "a", stated)
		}
	}

	It("accepts the time that remains, and a little more", func() {
		arrive(100, time.Second, "2000")
		arrive(100, time.Second, "2500")
		Expect(h.brokenChecks()).To(BeEmpty())
	})

	DescribeTable("reports more than twenty requests with more time", func(stated string) {
		arrive(maxLongDeadlines, time.Second, stated)
		Expect(h.brokenChecks()).To(BeEmpty())
		arrive(1, time.Second, stated)
		Expect(h.brokenChecks()).To(Equal([]string{"deadline"}))
	},
		Entry("too much", "2501"),
		Entry("none stated", ""),
	)

	It("leaves out gateways that were hurt", func() {
		defer h.BeginFault("g", "paused")()
		arrive(100, time.Second, "3000")
		Expect(h.brokenChecks()).To(BeEmpty())
	})
})

var _ = Describe("a link that closes later", func() {
	DescribeTable("resets its connections at once and refuses new ones in the end", func(c closing, accepts bool) {
		l, err := listenLink("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			for {
				if _, err := l.Accept(); err != nil {
					ended <- err
					return
				}
			}
		}()
		existing, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		l.CloseLater(c)
		Expect(l.Close()).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
		_, err = existing.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		n, err := net.Dial("tcp", l.Addr().String())
		Expect(err == nil).To(Equal(accepts))
		if accepts && c.turnsAway {
			_, err = n.Read(make([]byte, 1))
			Expect(err).To(HaveOccurred())
		}
		Eventually(func() error {
			_, err := net.Dial("tcp", l.Addr().String())
			return err
		}).WithTimeout(time.Second).Should(HaveOccurred())
	},
		Entry("with its connections", closing{}, false),
		Entry("some time after them", closing{after: 300 * time.Millisecond}, true),
		Entry("behind a proxy", closing{after: 300 * time.Millisecond, turnsAway: true}, true),
	)
})
