package stager

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/reports"
)

var _ = Describe("an order to load", func() {
	const look = time.Second
	// wait plays an upstream that finishes its requests after some looks and then takes some more to load, and waits
	// for the version.
	wait := func(running, loading int) error {
		now, looks := time.Unix(1000, 0), 0
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		quiet := &log.Logger{Level: log.PanicLevel}
		f := facts.New(time.Now)
		s := &Stager{
			facts: f, log: quiet, now: func() time.Time { return now }, settings: &Settings{}, reporter: reports.NewReporter(c, "d", f, time.Now, quiet),
			ports: &Ports{Upstream: Upstream{State: func(context.Context) (State, error) {
				now = now.Add(look)
				looks++
				u := State{Busy: true, Orders: 1}
				if looks <= running {
					u.Running = 1
				} else if looks > running+loading {
					u = State{Orders: 1, Held: []facts.Held{{Model: "m", Revision: 2}}}
				}
				return u, nil
			}}},
		}
		return s.waitServed(context.Background(), &goal{model: "m", wanted: facts.Wanted{Revision: 2}}, 1)
	}

	It("is waited for as long as requests run, and for a time after", func() {
		const afterRequests = int(loadTimeout / look)
		Expect(wait(3*afterRequests, afterRequests-2)).To(Succeed())
		Expect(wait(3*afterRequests, afterRequests+2)).To(MatchError(ErrOrderRefused))
	})
})
