package stager

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/swapplan"
)

// askReservations returns a function that asks a stager for a reservation over the network and returns its answer.
func askReservations(to *net.UDPAddr) func() *pb.PermitAnswer {
	gateway, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gateway.Close)
	number := uint64(0)
	return func() *pb.PermitAnswer {
		number++
		b, err := proto.Marshal(&pb.ReportSubscription{Permit: &pb.PermitRequest{
			Sender: gateway.LocalAddr().String(), Number: number, Reservation: &pb.ReservationRequest{TargetMs: 1000, Asked: 3},
		}})
		Expect(err).NotTo(HaveOccurred())
		_, err = gateway.WriteToUDP(b, to)
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 4096)
		Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		n, err := gateway.Read(answer)
		Expect(err).NotTo(HaveOccurred())
		var r pb.UpstreamReport
		Expect(proto.Unmarshal(answer[:n], &r)).To(Succeed())
		return r.GetPermit()
	}
}

var _ = Describe("a stager that is asked for reservations", func() {
	start := func() (e *fakeUpstream, s *Stager, to *net.UDPAddr, ask func() *pb.PermitAnswer) {
		e = newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		s, _, to = startReporting(e, time.Second)
		Eventually(s.reporter.Ledger().Ready).Should(BeTrue())
		return e, s, to, askReservations(to)
	}

	It("polls its upstream when the figures are older than 20 ms, and not for each question", func() {
		e, _, _, ask := start()
		var polls atomic.Int64
		e.withLock(func() { e.onPoll = func() { polls.Add(1) } })
		began := time.Now()
		for range 100 {
			ask()
			time.Sleep(reservationPollAge / 4)
		}
		took := time.Since(began)
		Expect(polls.Load()).To(BeNumerically(">", 2*took/pollInterval), "without questions it polls every 100 ms")
		Expect(polls.Load()).To(BeNumerically("<=", took/reservationPollAge+2))
	})

	It("answers without waiting for the poll", func() {
		e, _, _, ask := start()
		polled, release := make(chan struct{}, 100), make(chan struct{})
		defer close(release)
		e.withLock(func() { e.onPoll = func() { polled <- struct{}{}; <-release } })
		Eventually(polled).Should(Receive())
		time.Sleep(2 * reservationPollAge)
		Expect(ask().GetPermit()).NotTo(BeZero())
	})

	It("refuses them as soon as its upstream is about to load, and grants them as soon as that has ended", func() {
		_, s, _, ask := start()
		Expect(ask().GetPermit()).NotTo(BeZero())
		s.setClosed(true)
		Expect(ask().GetReservation().GetRefusal()).To(Equal(pb.ReservationRefusal(admission.Closed)))
		s.setClosed(false)
		Expect(ask().GetPermit()).NotTo(BeZero())
	})

	// A gateway whose copy of the list lacked that an upstream leaves sent it requests for 3.1 s.
	It("refuses them while the list has its upstream as leaving, until another one is listed at its address", func() {
		_, s, _, ask := start()
		list := func(name string, leaving bool, position id.Position) {
			s.facts.SetInstance(&facts.Instance{ID: id.Instance(name), Pool: "p", Address: s.ports.Address, Domain: "d", Leaving: leaving, ListPosition: position})
		}
		closed := func() bool { return ask().GetReservation().GetRefusal() == pb.ReservationRefusal(admission.Closed) }
		list("first", false, 1)
		Consistently(closed).WithTimeout(3 * pollInterval).Should(BeFalse())
		list("first", true, 2)
		Eventually(closed).Should(BeTrue())
		list("second", false, 3)
		Eventually(closed).Should(BeFalse())
	})

	DescribeTable("refuses them once a poll shows that its upstream takes no requests", func(change func(e *fakeUpstream)) {
		e, _, _, ask := start()
		e.withLock(func() { change(e) })
		Eventually(func() pb.ReservationRefusal { return ask().GetReservation().GetRefusal() }).Should(Equal(pb.ReservationRefusal(admission.Closed)))
	},
		Entry("as it is down", func(e *fakeUpstream) { e.down = true }),
		Entry("as it is leaving", func(e *fakeUpstream) { e.state.Leaving = true }),
	)

	// Guards against reports every 450 ms: polls for questions come so often that each report would be early.
	It("reports every 500 ms", func() {
		_, _, to, ask := start()
		ask()
		ctx, stop := context.WithCancel(context.Background())
		var asking sync.WaitGroup
		defer asking.Wait()
		defer stop()
		asking.Go(func() {
			defer GinkgoRecover()
			for ctx.Err() == nil {
				ask()
				time.Sleep(reservationPollAge / 4)
			}
		})
		read := subscribeIn("d", to)
		read()
		began := time.Now()
		const reports = 5
		for range reports {
			Expect(read().GetEveryMs()).To(BeEquivalentTo(500))
		}
		Expect(time.Since(began)).To(BeNumerically(">", reports*500*time.Millisecond-pollInterval))
	})

	// A gateway that loses the first report of a change would send requests to an upstream that has begun to load: the stager
	// waits for them for 250 ms. The shortest of several times counts, as a busy machine adds to each.
	It("repeats the report that its upstream is about to load within the time that it waits for late requests", func() {
		_, s, to, ask := start()
		ask()
		read := subscribeIn("d", to)
		shortest := time.Hour
		for range 3 {
			for range 3 {
				Expect(read().GetEveryMs()).To(BeEquivalentTo(500))
			}
			ask()
			closedAt := time.Now()
			s.setClosed(true)
			for range 2 {
				Expect(read().GetClosed()).To(BeTrue())
			}
			shortest = min(shortest, time.Since(closedAt))
			s.setClosed(false)
		}
		Expect(shortest).To(BeNumerically("<", swapplan.LateArrivalWait))
	})
})
