package reports

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/reservation"
)

const reservedUpstream = "127.0.0.1:9"

// readDatagram reads the next datagram of a socket into a message; it returns false if none comes soon.
func readDatagram(c *net.UDPConn, m proto.Message) bool {
	ginkgo.GinkgoHelper()
	b := make([]byte, maxDatagramBytes)
	Expect(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	n, err := c.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(proto.Unmarshal(b[:n], m)).To(Succeed())
	return true
}

// newReservingReporter returns a reporter beside an idle engine.
func newReservingReporter(now func() time.Time) *Reporter {
	r := NewReporter(newSocket(), "d", facts.New(now), now, discardLog)
	r.Publish(&pb.UpstreamReport{Address: reservedUpstream}, now())
	r.Ledger().SetEngine(&catalog.Engine{Slots: 2, StepTime: time.Millisecond, PrefillTokensPerSecond: 10000, MaxPrefillTokens: 2048, StepsPerPass: 5, MeanPromptTokens: 100, MeanAnswerTokens: 20})
	r.Ledger().RecordState(reservation.State{ReadAt: now(), Slowdown: 1})
	return r
}

// newReservingSubscriber returns a running subscriber whose stager listens on a port.
func newReservingSubscriber(port int) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(stop)
	f := facts.New(time.Now)
	f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Domain: "d", Address: reservedUpstream})
	s := NewSubscriber(newSocket(), port, "d", f, time.Now, discardLog)
	go func() { _ = s.Run(ctx) }()
	return s
}

// ask asks a stager for a reservation.
func ask(s *Subscriber, wait time.Duration) (a reservation.Answer, offered, answered bool) {
	ctx, stop := context.WithTimeout(context.Background(), wait)
	defer stop()
	return s.RequestReservation(ctx, reservedUpstream, 0, reservation.Request{PromptTokens: 100, Target: time.Second, Asked: 3})
}

var _ = describe("a request for a reservation", func() {
	// question encodes a request for a reservation.
	question := func(gateway *net.UDPConn, number uint64) []byte {
		ginkgo.GinkgoHelper()
		b, err := proto.Marshal(&pb.ReportSubscription{Permit: &pb.PermitRequest{
			Sender: gateway.LocalAddr().String(), Number: number, Reservation: &pb.ReservationRequest{PromptTokens: 100, TargetMs: 1000, Asked: 3},
		}})
		Expect(err).NotTo(HaveOccurred())
		return b
	}

	it("is answered by the stager, which learns whether the reservation is taken or released", func() {
		r := newReservingReporter(time.Now)
		asked := make(chan struct{}, 2)
		r.OnReservation = func() { asked <- struct{}{} }
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		go func() { _ = r.Run(ctx) }()
		s := newReservingSubscriber(portOf(r.conn))
		a, offered, answered := ask(s, time.Second)
		Expect([]bool{offered, answered}).To(Equal([]bool{true, true}))
		Expect(a.Permit).NotTo(BeZero())
		Expect(a.FirstEvent).To(BeNumerically(">", 0))
		Expect(asked).To(Receive())
		s.TakeReservation(reservedUpstream, a.Permit)
		Eventually(func() uint64 { return r.Ledger().Stats().Taken }).Should(BeEquivalentTo(1))
		b, _, _ := ask(s, time.Second)
		Expect(b.Permit).NotTo(Equal(a.Permit))
		s.ReleaseReservation(reservedUpstream, b.Permit)
		Eventually(func() uint64 { return r.Ledger().Stats().Released }).Should(BeEquivalentTo(1))
		r.Ledger().RecordState(reservation.State{ReadAt: time.Now(), Closed: true})
		a, offered, _ = ask(s, time.Second)
		Expect(offered).To(BeTrue())
		Expect(a.Refusal).To(Equal(admission.Closed))
	})

	it("that arrives twice gets the same reservation", func() {
		r, gateway := newReservingReporter(time.Now), newSocket()
		var permits []uint64
		for range 2 {
			r.handleDatagram(question(gateway, 7))
			var a pb.UpstreamReport
			Expect(readDatagram(gateway, &a)).To(BeTrue())
			Expect(a.GetPermit().GetNumber()).To(BeEquivalentTo(7))
			permits = append(permits, a.GetPermit().GetPermit())
		}
		Expect(permits[0]).NotTo(BeZero())
		Expect(permits[1]).To(Equal(permits[0]))
		Expect(r.Ledger().Stats()).To(Equal(reservation.Stats{Held: 1, Duplicate: 1}))
	})

	// answerOf answers the next request that a stager's socket receives, with a permit.
	answerOf := func(s *Subscriber, stager *net.UDPConn, address string, permit uint64) []byte {
		ginkgo.GinkgoHelper()
		var q pb.ReportSubscription
		for q.GetPermit().GetNumber() == 0 {
			Expect(readDatagram(stager, &q)).To(BeTrue())
		}
		b, err := proto.Marshal(&pb.UpstreamReport{Address: address, Permit: &pb.PermitAnswer{Number: q.GetPermit().GetNumber(), Permit: permit, Reservation: &pb.ReservationAnswer{}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = stager.WriteToUDP(b, s.conn.LocalAddr().(*net.UDPAddr))
		Expect(err).NotTo(HaveOccurred())
		return b
	}

	// Guards against the release of a reservation whose request is sent, which would also return the permit of a rate limit.
	it("that is answered twice keeps its reservation, unless the second answer has another one", func() {
		stager := newSocket()
		s := newReservingSubscriber(portOf(stager))
		go func() {
			defer ginkgo.GinkgoRecover()
			b := answerOf(s, stager, reservedUpstream, 5)
			_, _ = stager.WriteToUDP(b, s.conn.LocalAddr().(*net.UDPAddr))
		}()
		a, _, _ := ask(s, time.Second)
		Expect(a.Permit).To(BeEquivalentTo(5))
		var q pb.ReportSubscription
		Expect(readDatagram(stager, &q)).To(BeFalse(), "nothing is released")
		b, err := proto.Marshal(&pb.UpstreamReport{Address: reservedUpstream, Permit: &pb.PermitAnswer{Number: s.permitRequests.lastNumber, Permit: 6, Reservation: &pb.ReservationAnswer{}}})
		Expect(err).NotTo(HaveOccurred())
		s.handleDatagram(b)
		Expect(readDatagram(stager, &q)).To(BeTrue())
		Expect(q.GetPermit().GetReleased()).To(BeEquivalentTo(6))
	})

	it("that is answered too late releases the reservation, at a listed upstream only", func() {
		for address, want := range map[string]uint64{reservedUpstream: 5, "127.0.0.1:8": 0} {
			stager := newSocket()
			s := newReservingSubscriber(portOf(stager))
			_, _, answered := ask(s, time.Millisecond)
			Expect(answered).To(BeFalse())
			answerOf(s, stager, address, 5)
			var q pb.ReportSubscription
			Expect(readDatagram(stager, &q)).To(Equal(want > 0))
			Expect(q.GetPermit().GetReleased()).To(Equal(want))
		}
	})

	it("has numbers that an earlier process at the same address has not used", func() {
		first, second := newPendingPermits(), newPendingPermits()
		a, _ := first.add()
		b, _ := second.add()
		Expect(a).NotTo(Equal(b))
	})

	it("is remembered in a bounded number of cases", func() {
		q := newPendingPermits()
		for range 3 * maxSettledPermits {
			n, _ := q.add()
			q.cancel(n)
		}
		Expect(q.settled).To(HaveLen(maxSettledPermits))
		Expect(q.pending).To(BeEmpty())
	})

	it("with invalid fields counts as one of unknown size, within bounds", func() {
		for _, n := range []float64{math.NaN(), math.Inf(-1), -1} {
			q := reservationFromProto(&pb.PermitRequest{Reservation: &pb.ReservationRequest{PromptTokens: n, AnswerTokens: n}})
			Expect([]float64{q.PromptTokens, q.AnswerTokens}).To(Equal([]float64{0, 0}))
			Expect(q.Asked).To(Equal(1))
		}
		q := reservationFromProto(&pb.PermitRequest{Reservation: &pb.ReservationRequest{
			PromptTokens: math.Inf(1), TargetMs: math.MaxUint32, Rank: math.MaxUint32, Asked: math.MaxUint32,
		}})
		Expect(q.PromptTokens).To(Equal(float64(maxTokens)))
		Expect([]int{q.Rank, q.Asked}).To(Equal([]int{maxRank, maxAsked}))
		Expect(q.Target).To(BeNumerically(">", 0))
		r := newReservingReporter(time.Now)
		b, _ := proto.Marshal(&pb.ReportSubscription{Permit: &pb.PermitRequest{Sender: "nowhere", Number: 1, Reservation: &pb.ReservationRequest{}}})
		r.handleDatagram(b)
		Expect(r.Ledger().Stats().Held).To(BeZero())
		Expect(r.vars.Get("malformed").String()).To(Equal("1"))
	})

	it("is refused by an answer with an unknown reason, or without a permit", func() {
		for _, n := range []pb.ReservationRefusal{-1, 7, 256, 257, math.MaxInt32} {
			a := answerFromProto(&pb.PermitAnswer{Permit: 1, Reservation: &pb.ReservationAnswer{Refusal: n}})
			Expect(a.Refusal).To(Equal(admission.Busy), n.String())
		}
		Expect(answerFromProto(&pb.PermitAnswer{Reservation: &pb.ReservationAnswer{}}).Refusal).To(Equal(admission.Busy))
		a := answerFromProto(answerAsSent(reservation.Answer{Permit: 3, FirstEvent: 1000 * time.Hour, RoomIn: -time.Second, Overloaded: true}))
		Expect(a).To(Equal(reservation.Answer{Permit: 3, FirstEvent: maxAnsweredTime, Overloaded: true}))
	})

	it("is answered with a permit only, for a gateway that asks for no reservation and while the engine is unknown", func() {
		gateway := newSocket()
		older, err := proto.Marshal(&pb.ReportSubscription{Permit: &pb.PermitRequest{Sender: gateway.LocalAddr().String(), Number: 1}})
		Expect(err).NotTo(HaveOccurred())
		r, unready := newReservingReporter(time.Now), NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		r.handleDatagram(older)
		unready.handleDatagram(question(gateway, 1))
		for range 2 {
			var a pb.UpstreamReport
			Expect(readDatagram(gateway, &a)).To(BeTrue())
			Expect(a.GetPermit().GetPermit()).NotTo(BeZero())
			Expect(a.GetPermit().GetReservation()).To(BeNil())
		}
		Expect(r.Ledger().Stats().Held).To(BeZero())
		Expect(r.Interval()).To(Equal(reportInterval))
	})

	it("makes reports to the own failure domain rarer, and leaves those to others at about one a second", func() {
		now := time.Unix(1000, 0)
		r := newReservingReporter(func() time.Time { return now })
		local, remote := newSocket(), newSocket()
		for c, d := range map[*net.UDPConn]string{local: "d", remote: "e"} {
			b, _ := proto.Marshal(&pb.ReportSubscription{Sender: c.LocalAddr().String(), Domain: d})
			r.handleDatagram(b)
		}
		// publish sends reports and returns the intervals that they state, and how many reach the remote gateway.
		publish := func(n int, closed bool) (localEvery, remoteEvery uint32, toRemote int) {
			for range n {
				r.Publish(&pb.UpstreamReport{Address: reservedUpstream, Closed: closed}, now)
				var p, q pb.UpstreamReport
				Expect(readDatagram(local, &p)).To(BeTrue())
				localEvery = p.GetEveryMs()
				_ = remote.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				b := make([]byte, maxDatagramBytes)
				if k, err := remote.Read(b); err == nil {
					Expect(proto.Unmarshal(b[:k], &q)).To(Succeed())
					remoteEvery = q.GetEveryMs()
					toRemote++
				}
			}
			return localEvery, remoteEvery, toRemote
		}
		publish(urgentReports, false)
		localEvery, remoteEvery, toRemote := publish(10, false)
		Expect([]any{localEvery, remoteEvery, toRemote}).To(Equal([]any{uint32(0), uint32(1000), 2}))
		r.handleDatagram(question(newSocket(), 1))
		Expect(r.Interval()).To(Equal(reservedReportInterval))
		localEvery, remoteEvery, toRemote = publish(10, false)
		Expect([]any{localEvery, remoteEvery, toRemote}).To(Equal([]any{uint32(500), uint32(1000), 5}))
		_, _, toRemote = publish(urgentReports, true)
		Expect(toRemote).To(Equal(urgentReports), "a change is reported at once")
		now = now.Add(reservationMemory)
		Expect(r.Interval()).To(Equal(reportInterval))
	})

	// In the last seconds of a version, only recent echoes show a queue on the path to an upstream that serves it.
	it("does not make reports rarer while the upstream serves an outdated version", func() {
		r := newReservingReporter(time.Now)
		r.handleDatagram(question(newSocket(), 1))
		Expect(r.Interval()).To(Equal(reservedReportInterval))
		named := &pb.NamedWeights{Model: "m", Revision: 2}
		publish := func(held uint64) {
			r.Publish(&pb.UpstreamReport{Address: reservedUpstream, Named: named, Held: []*pb.HeldWeights{{Model: "m", Revision: held}}}, time.Now())
		}
		publish(1)
		Expect(r.Interval()).To(Equal(reportInterval))
		publish(2)
		Expect(r.Interval()).To(Equal(reservedReportInterval))
	})

	it("leaves reports valid until the next ones at the longer interval", func() {
		now := time.Unix(1000, 0)
		s := NewSubscriber(newSocket(), 1, "d", facts.New(time.Now), func() time.Time { return now }, discardLog)
		b, _ := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1, EveryMs: uint32(reservedReportInterval.Milliseconds())})
		s.handleDatagram(b)
		now = now.Add(2 * reservedReportInterval)
		l, fresh := s.Tracker().FreshReport("a")
		Expect(fresh).To(BeTrue(), "one report may be lost")
		Expect(l.Interval).To(Equal(reservedReportInterval))
	})
})

// answerAsSent returns the message that a stager sends.
func answerAsSent(a reservation.Answer) *pb.PermitAnswer {
	return &pb.PermitAnswer{Permit: a.Permit, Reservation: answerToProto(&a)}
}
