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
	const pollStep = time.Second
	// waitForLoad simulates an upstream that finishes its requests after a number of polls and loads for another number
	// of polls, and waits until it serves the version.
	waitForLoad := func(running, loading int) error {
		now, polls := time.Unix(1000, 0), 0
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		quiet := &log.Logger{Level: log.PanicLevel}
		f := facts.New(time.Now)
		s := &Stager{
			facts: f, log: quiet, now: func() time.Time { return now }, settings: &Settings{}, reporter: reports.NewReporter(c, "d", f, time.Now, quiet),
			ports: &Ports{Upstream: Upstream{State: func(context.Context) (State, error) {
				now = now.Add(pollStep)
				polls++
				u := State{Busy: true, Orders: 1}
				if polls <= running {
					u.Running = 1
				} else if polls > running+loading {
					u = State{Orders: 1, Held: []facts.Held{{Model: "m", Revision: 2}}}
				}
				return u, nil
			}}},
		}
		return s.waitUntilServed(context.Background(), &targetVersion{model: "m", wanted: facts.Wanted{Revision: 2}}, 1)
	}

	It("is awaited while requests run and for loadTimeout after that", func() {
		const afterRequests = int(loadTimeout / pollStep)
		Expect(waitForLoad(3*afterRequests, afterRequests-2)).To(Succeed())
		Expect(waitForLoad(3*afterRequests, afterRequests+2)).To(MatchError(ErrOrderRefused))
	})
})
