package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
	"github.com/springrail/springrail/internal/throttle"
)

var _ = Describe("a request that needs a reservation", func() {
	ctx := context.Background()

	It("takes the soonest of three and releases the others", func() {
		b := newEngines("d1", "d2", "d3", "d4", "d5")
		s := b.reserveWith(func(_ context.Context, name string) (reservation.Answer, bool, bool) {
			return grants(time.Duration(name[1]) * time.Millisecond)
		})
		f := b.newRequest()
		f.organisation, f.rank = "gym", 12
		c, p := f.choose(ctx)
		Expect(p).To(BeNil())
		slices.Sort(s.asked)
		Expect(slices.Compact(s.asked)).To(HaveLen(maxReservationRequests))
		Expect(s.taken).To(Equal(s.asked[:1]))
		Expect(s.released).To(ConsistOf(s.asked[1], s.asked[2]))
		Expect(string(c.Instance)).To(Equal(s.taken[0]))
		Expect(c.Predicted).To(Equal(time.Duration(s.asked[0][1]) * time.Millisecond))
		Expect(f.permit).NotTo(BeZero())
		Expect(s.requests[0]).To(Equal(reservation.Request{
			PromptTokens: 100, AnswerTokens: 20, Target: time.Second, Rank: 12, Organisation: "gym", Asked: 3, Model: "m",
		}))
	})

	It("states the version that the upstream must serve once older ones may begin no request", func() {
		b := newEngines("d1")
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return grants(0) })
		i := *b.facts.Instance("d1")
		i.Held, i.ListPosition = []facts.Held{{Model: "m", Revision: 2}}, 2
		b.facts.SetInstance(&i)
		b.facts.SetWanted("m", facts.Publication{Revision: 1})
		b.facts.ObserveRevision("m", 2)
		_, p := b.newRequest().choose(ctx)
		Expect(p).To(BeNil())
		Expect(s.requests[0].Revision).To(BeEquivalentTo(2))
	})

	// The shortest of several waits counts, as a busy machine adds to each.
	DescribeTable("waits for a stager that does not answer", func(silent int, answer func(ctx context.Context) (reservation.Answer, bool, bool), least, most time.Duration) {
		b := newEngines("d1", "d2", "d3")
		s := b.reserveWith(nil)
		s.reply = func(ctx context.Context, name string) (reservation.Answer, bool, bool) {
			if int(name[1]-'0') <= silent {
				return answer(ctx)
			}
			return grants(time.Millisecond)
		}
		shortest := time.Hour
		for range 5 {
			f := b.newRequest()
			c, p := f.choose(ctx)
			Expect(p).To(BeNil())
			if silent < 3 {
				Expect(int(c.Instance[1] - '0')).To(BeNumerically(">", silent))
			} else {
				Expect(f.permit).To(BeZero(), "the choice by the view, with its admission")
			}
			Expect(f.reservation.took).To(BeNumerically(">=", least))
			shortest = min(shortest, f.reservation.took)
		}
		Expect(shortest).To(BeNumerically("<", most))
		if silent == 3 {
			Expect(s.taken).To(BeEmpty())
		}
	},
		Entry("for 8 ms if another one does", 1, isSilent, stragglerTimeout, reservationTimeout),
		Entry("for 8 ms if another one does and this one is late", 2, func(ctx context.Context) (reservation.Answer, bool, bool) {
			select {
			case <-ctx.Done():
				return reservation.Answer{}, false, false
			case <-time.After(2 * stragglerTimeout):
				return grants(time.Hour)
			}
		}, stragglerTimeout, 2*stragglerTimeout),
		Entry("for 30 ms if none does", 3, isSilent, reservationTimeout, 2*reservationTimeout),
	)

	It("takes the first answer if all come after 8 ms", func() {
		b := newEngines("d1", "d2", "d3")
		s := b.reserveWith(func(ctx context.Context, name string) (reservation.Answer, bool, bool) {
			if name != "d2" {
				return isSilent(ctx)
			}
			time.Sleep(stragglerTimeout + 2*time.Millisecond)
			return grants(time.Second)
		})
		c, p := b.newRequest().choose(ctx)
		Expect(p).To(BeNil())
		Expect(c.Instance).To(BeEquivalentTo("d2"))
		Expect(s.taken).To(Equal([]string{"d2"}))
	})

	DescribeTable("is refused at once if all stagers refuse", func(a reservation.Answer, why string, least time.Duration) {
		b := newEngines("d1", "d2", "d3", "d4")
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return a, true, true })
		start := time.Now()
		r, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xTimeout, "6000")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond), "far below any Retry-After, on a busy machine too")
		Expect(s.asked).To(HaveLen(len(slices.Compact(slices.Sorted(slices.Values(s.asked))))), "no stager is asked twice")
		Expect(r.StatusCode).To(Equal(503))
		Expect(body).To(Equal(why + "\n"))
		Expect(b.upstreamCount("1")).To(BeZero())
		ms, err := strconv.Atoi(r.Header.Get(xRetry))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Duration(ms) * time.Millisecond).To(And(BeNumerically(">=", least), BeNumerically("<=", 2*time.Second)))
		Expect(s.taken).To(BeEmpty())
	},
		Entry("for load", reservation.Answer{Refusal: admission.Busy, RoomIn: 900 * time.Millisecond}, "too busy", 900*time.Millisecond),
		Entry("for more urgent requests", reservation.Answer{Refusal: admission.Rank, RoomIn: time.Hour}, "rank", 1900*time.Millisecond),
		Entry("for its organisation's share, under overload", reservation.Answer{Refusal: admission.Share, RoomIn: 500 * time.Millisecond, Overloaded: true}, "share of the organisation", 500*time.Millisecond),
		Entry("for lack of permits", reservation.Answer{Refusal: admission.Limit}, "limited", time.Duration(0)),
		Entry("as they are about to load", reservation.Answer{Refusal: admission.Closed}, "no upstream", time.Duration(0)),
	)

	It("gets the time until one that only has too much load has room, not that of a closed one", func() {
		b := newEngines("d1", "d2", "d3")
		b.reserveWith(func(_ context.Context, name string) (reservation.Answer, bool, bool) {
			if name == "d1" {
				return refuses(admission.Busy)
			}
			return reservation.Answer{Refusal: admission.Closed}, true, true
		})
		_, p := b.newRequest().choose(ctx)
		Expect(p.text).To(Equal("too busy"))
		Expect(p.retryAfter).To(BeNumerically(">=", time.Second))
	})

	It("leaves out closed upstreams and asks others", func() {
		b := newEngines("d1", "d2", "d3", "d4", "d5", "d6")
		closed := map[string]bool{}
		s := b.reserveWith(nil)
		s.reply = func(_ context.Context, name string) (reservation.Answer, bool, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(closed) < maxReservationRequests {
				closed[name] = true
				return refuses(admission.Closed)
			}
			return grants(0)
		}
		c, p := b.newRequest().choose(ctx)
		Expect(p).To(BeNil())
		Expect(closed).NotTo(HaveKey(string(c.Instance)))
		slices.Sort(s.asked)
		Expect(slices.Compact(s.asked)).To(HaveLen(6))
	})

	It("is sent by the view, but not to closed upstreams, if the others are silent", func() {
		b := newEngines("d1", "d2", "d3", "d4", "e1")
		closed := map[string]bool{}
		s := b.reserveWith(nil)
		s.reply = func(ctx context.Context, name string) (reservation.Answer, bool, bool) {
			s.mu.Lock()
			isClosed := closed[name] || len(closed) < maxReservationRequests
			closed[name] = isClosed
			s.mu.Unlock()
			if isClosed {
				return refuses(admission.Closed)
			}
			return isSilent(ctx)
		}
		f := b.newRequest()
		c, p := f.choose(ctx)
		Expect(p).To(BeNil())
		Expect(closed[string(c.Instance)]).To(BeFalse())
		Expect(f.permit).To(BeZero())
		Expect(s.asked).NotTo(ContainElement("e1"))
	})

	It("returns at a random time under overload, and as soon as there is room otherwise", func() {
		for _, overloaded := range []bool{false, true} {
			b := newEngines("d1")
			b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) {
				return reservation.Answer{Refusal: admission.Busy, RoomIn: 400 * time.Millisecond, Overloaded: overloaded}, true, true
			})
			longest := time.Duration(0)
			for range 50 {
				_, p := b.newRequest().choose(ctx)
				longest = max(longest, p.retryAfter)
			}
			Expect(longest > 1200*time.Millisecond).To(Equal(overloaded))
		}
	})

	DescribeTable("asks another failure domain only if its own has no room", func(names []string, own func(ctx context.Context) (reservation.Answer, bool, bool), want string) {
		b := newEngines(names...)
		s := b.reserveWith(func(ctx context.Context, name string) (reservation.Answer, bool, bool) {
			if name[0] == 'd' {
				return own(ctx)
			}
			return grants(0)
		})
		// By the view the own upstreams are full, so that the assignment places all requests of the domain elsewhere.
		b.gateway.loadSources.Demand = func(id.Pool) placement.Demand { return placement.Demand{"d": {OnTime: 200}} }
		for _, i := range b.facts.Instances() {
			l := placement.LoadReport{Held: i.Held, ReceivedAt: time.Now().Add(-100 * time.Millisecond), ValidUntil: time.Now().Add(time.Hour)}
			if i.Domain == "d" {
				l.Running, l.Waiting = 4, 400
			}
			b.tracker.SetReport(i.Address, l)
		}
		f := b.newRequest()
		if l, _ := b.gateway.balancer().Choices(f.query(), maxReservationRequests); len(names) > 2 {
			Expect(slices.ContainsFunc(l, func(c placement.Choice) bool { return c.Domain == "d" })).To(BeFalse())
		}
		c, p := f.choose(ctx)
		Expect(p).To(BeNil())
		Expect(string(c.Domain)).To(Equal(want))
		Expect(f.permit).NotTo(BeZero())
		if want == "d" {
			Expect(s.asked).To(ConsistOf("d1", "d2"))
		}
	},
		Entry("one there grants it", []string{"d1", "d2", "e1", "e2", "e3", "e4"}, func(context.Context) (reservation.Answer, bool, bool) { return grants(time.Hour) }, "d"),
		Entry("all there refuse", []string{"d1", "d2", "e1", "e2", "e3", "e4"}, func(context.Context) (reservation.Answer, bool, bool) { return refuses(admission.Busy) }, "e"),
		Entry("there is none", []string{"e1", "e2"}, isSilent, "e"),
	)

	It("asks nobody in another failure domain that has no capacity by the view", func() {
		b := newEngines("d1", "e1")
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return refuses(admission.Busy) })
		i := b.facts.Instance("e1")
		b.tracker.SetReport(i.Address, placement.LoadReport{Held: i.Held, Running: 4, Waiting: 4000, ReceivedAt: time.Now().Add(time.Minute), ValidUntil: time.Now().Add(time.Hour)})
		_, p := b.newRequest().choose(ctx)
		Expect(p.text).To(Equal("too busy"))
		Expect(s.asked).To(Equal([]string{"d1"}))
	})

	It("uses the permit of a stager of an older release with its own prediction, and asks others if that has no permit", func() {
		b := newEngines("d1", "d2")
		s := b.reserveWith(func(_ context.Context, name string) (reservation.Answer, bool, bool) {
			if name == "d1" {
				return reservation.Answer{Permit: 77}, false, true
			}
			return reservation.Answer{}, false, true
		})
		f := b.newRequest()
		c, p := f.choose(ctx)
		Expect(p).To(BeNil())
		Expect(c.Instance).To(BeEquivalentTo("d1"))
		Expect(f.permit).To(BeEquivalentTo(77))
		Expect(c.Predicted).To(BeNumerically(">", 0))
		Expect(s.taken).To(Equal([]string{"d1"}))
	})

	It("releases what it was granted if its caller leaves meanwhile, and is not sent", func() {
		b := newEngines("d1", "d2", "d3")
		ctx, leave := context.WithCancel(ctx)
		s := b.reserveWith(func(ctx context.Context, name string) (reservation.Answer, bool, bool) {
			if name == "d1" {
				leave()
				return isSilent(ctx)
			}
			return grants(0)
		})
		_, p := b.newRequest().choose(ctx)
		Expect(p.text).To(Equal(endedWhileAsking))
		Expect(s.taken).To(BeEmpty())
		Expect(s.released).To(ConsistOf("d2", "d3"))
	})

	DescribeTable("counts once as offered load", func(answer func(ctx context.Context, name string) (reservation.Answer, bool, bool)) {
		b := newEngines("d1", "d2", "d3", "d4", "e1", "e2")
		now := time.Now()
		clock := func() time.Time { return now }
		once := placement.NewDemandMeter(clock)
		once.Record("engines", false)
		b.gateway.loadSources.Offers = placement.NewDemandMeter(clock)
		b.reserveWith(answer)
		_, _ = b.newRequest().choose(ctx)
		Expect(b.gateway.loadSources.Offers.Total()).To(Equal(once.Total()))
	},
		Entry("if none answers", func(ctx context.Context, _ string) (reservation.Answer, bool, bool) { return isSilent(ctx) }),
		Entry("if all are asked and are closed", func(context.Context, string) (reservation.Answer, bool, bool) { return refuses(admission.Closed) }),
		Entry("if one grants it", func(context.Context, string) (reservation.Answer, bool, bool) { return grants(0) }),
	)

	It("is sent with a permit of the upstream's rate limit, without a second request for one", func() {
		b := newEngines("d1")
		i := b.facts.Instance("d1")
		b.tracker.SetReport(i.Address, placement.LoadReport{
			Held: i.Held, ReceivedAt: time.Now().Add(time.Minute), ValidUntil: time.Now().Add(time.Hour),
			Limit: throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 2}, Incarnation: 1, Permits: 2},
		})
		b.gateway.loadSources.Permits.Acquire = func(context.Context, string, id.Incarnation) (uint64, bool) {
			defer GinkgoRecover()
			Fail("a permit was requested beside the reservation")
			return 0, false
		}
		b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return grants(0) })
		f := b.newRequest()
		_, p := f.choose(ctx)
		Expect(p).To(BeNil())
		Expect(f.permit).NotTo(BeZero())
	})

	// Guards against a refusal later than 250 ms after the request came.
	It("asks for permits after silence only until 200 ms after it began to ask for reservations", func() {
		b := newEngines("d1", "d2")
		for _, i := range b.facts.Instances() {
			b.tracker.SetReport(i.Address, placement.LoadReport{
				Held: i.Held, ReceivedAt: time.Now().Add(time.Minute), ValidUntil: time.Now().Add(time.Hour),
				Limit: throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 2}, Incarnation: 1, Permits: 2},
			})
		}
		var last time.Time
		b.gateway.loadSources.Permits.Acquire = func(ctx context.Context, _ string, _ id.Incarnation) (uint64, bool) {
			last, _ = ctx.Deadline()
			<-ctx.Done()
			return 0, false
		}
		b.reserveWith(func(ctx context.Context, _ string) (reservation.Answer, bool, bool) { return isSilent(ctx) })
		start := time.Now()
		_, p := b.newRequest().choose(ctx)
		Expect(p).NotTo(BeNil())
		Expect(last.Sub(start)).To(BeNumerically("<", permitSearchTimeout+reservationTimeout/2))
	})

	// Guards against a request that begins after its version's grace period, as its link is narrow or its queue is not known.
	DescribeTable("is sent to a version in the last second of its grace period only if the answer proves the path and the queue",
		func(delay time.Duration, isOffered, sent bool) {
			b := newEngines("d1")
			s := b.reserveWith(nil)
			s.reply = func(context.Context, string) (reservation.Answer, bool, bool) {
				time.Sleep(delay)
				return reservation.Answer{Permit: 7}, isOffered, true
			}
			now := time.Now()
			b.facts.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now.Add(900*time.Millisecond - b.gateway.settings.SwapWithin)}})
			for range 5 { // A busy machine may delay an answer.
				_, _ = b.newRequest().choose(ctx)
			}
			Expect(s.requests[0].Padding).To(Equal(probePadding))
			Expect(s.requests[0].Revision).To(BeEquivalentTo(1))
			Expect(len(s.taken) > 0).To(Equal(sent))
		},
		Entry("and it does", time.Duration(0), true, true),
		Entry("and it comes late", 2*maxProvenRoundTrip, true, false),
		Entry("and it has no prediction", time.Duration(0), false, false),
	)
})
