package quarantine

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a crash detector", func() {
	var (
		now      time.Time
		timers   []timer
		reported []Crash
		sign     Sign
		connects int
		looks    int
		closed   int
		ranAt    time.Time
		means    Means
		detector *CrashDetector
	)
	start := Incarnation{Instance: "i"}
	inFlight := func(name string) InFlightRequest { return InFlightRequest{Fingerprint: request(name)} }
	// pass lets time pass and calls what is due.
	pass := func(d time.Duration) { passTime(&now, &timers, d) }
	BeforeEach(func() {
		now, timers, reported, sign, connects, looks, closed, ranAt = time.Unix(1000, 0), nil, nil, Ended, 0, 0, 0, time.Time{}
		observe := func(Incarnation, time.Time) Observer {
			return Observer{
				Look: func(_ context.Context, _ time.Time, by Means) Sign {
					looks++
					if by == ByConnection {
						connects++
					}
					means = by
					return sign
				},
				LastRan: func() time.Time { return ranAt },
				Close:   func() { closed++ },
			}
		}
		detector = NewCrashDetector(observe, func(e Crash) { reported = append(reported, e) }, func() time.Time { return now })
		detector.after = func(d time.Duration, f func()) { timers = append(timers, timer{at: now.Add(d), do: f}) }
	})

	It("reports all requests that broke off once the upstream's process is known to have ended", func() {
		detector.RequestBroken(start, inFlight("a"), now)
		detector.RequestBroken(start, inFlight("b"), now)
		pass(gatherTime)
		Expect(reported).To(Equal([]Crash{{Incarnation: start, Requests: []InFlightRequest{inFlight("a"), inFlight("b")}}}))
		Expect(closed).To(Equal(1))
		pass(questionTTL)
		Expect(looks).To(Equal(1))
	})

	It("reports nothing if the process runs: its connections were reset", func() {
		sign = Runs
		detector.RequestBroken(start, inFlight("a"), now)
		pass(questionTTL)
		Expect(reported).To(BeEmpty())
		Expect([]int{looks, closed}).To(Equal([]int{1, 1}))
	})

	// Guards against a connection that is accepted being taken for proof that the process runs.
	It("goes on looking until there is proof, and connects only at first", func() {
		sign = NoSign
		detector.RequestBroken(start, inFlight("a"), now)
		pass(questionTTL / 2)
		Expect(connects).To(Equal(len(lookTimes)))
		Expect(looks).To(BeNumerically(">", connects))
		sign = Ended
		pass(lateLookInterval)
		Expect(reported).To(HaveLen(1))
	})

	// Guards against evidence that is dated by when a gateway noticed the end of a process.
	It("dates a crash and its evidence by the last sign of the process, however late its connections close", func() {
		silent := func(name string, sentAt, firstDataAt, lastAt time.Duration) InFlightRequest {
			r := inFlight(name)
			r.Parts = partsNamed([]string{name})
			r.Times = AnswerTimes{SentAt: now.Add(sentAt), HeadAt: now.Add(firstDataAt), FirstDataAt: now.Add(firstDataAt), LastAt: now.Add(lastAt)}
			return r
		}
		r := silent("begins", 0, 20*time.Millisecond, 40*time.Millisecond)
		older := silent("writes", -2*time.Second, -time.Second, 30*time.Millisecond)
		queued := inFlight("queued")
		queued.Times.SentAt = now.Add(time.Second)
		last := r.Times.LastAt
		pass(4 * time.Second)
		for _, p := range []InFlightRequest{r, older, queued} {
			detector.RequestBroken(start, p, p.Times.SentAt)
		}
		pass(gatherTime)
		Expect(reported).To(HaveLen(1))
		Expect(reported[0].At).To(Equal(last))
		Expect(reported[0].Requests[0].Progress).To(Equal(Beginning))
		Expect(reported[0].Requests[0].Parts).To(Equal(r.Parts))
		Expect(reported[0].Requests[1].Progress).To(Equal(Writing))
		Expect(reported[0].Requests[1].Parts).To(BeEmpty())
		Expect(reported[0].Requests[2].Progress).To(Equal(Waiting))

		By("the stager beside it proves that the process ran later")
		ranAt = now.Add(-100 * time.Millisecond)
		detector.RequestBroken(start, r, r.Times.SentAt)
		pass(gatherTime)
		Expect(reported[1].At).To(BeZero())
		Expect(reported[1].Requests[0].Progress).To(Equal(Writing))
	})

	Describe("of a request that is given up", func() {
		var a *Attempt
		BeforeEach(func() { a, sign = detector.Begin(start, inFlight("a")), NoSign })
		giveUp := func() bool {
			defer a.End()
			return detector.RequestAbandoned(start, a.Request())
		}

		// Guards against crashes that close no connection and are never looked for.
		It("reports it once the process of an upstream that was silent is known to have ended", func() {
			a.Received(true)
			last := now
			pass(2 * time.Second)
			Expect(giveUp()).To(BeTrue())
			pass(4 * time.Second)
			Expect([]int{connects, int(means)}).To(Equal([]int{0, int(ByRestart)}))
			sign = Ended
			pass(lateLookInterval)
			Expect(reported).To(HaveLen(1))
			Expect(reported[0].At).To(Equal(last))
			Expect(reported[0].Requests).To(HaveLen(1))
			Expect(reported[0].Requests[0].Progress).To(Equal(Beginning))
		})

		It("counts it if nothing shows in the end whether the process has ended", func() {
			pass(2 * time.Second)
			giveUp()
			pass(questionTTL + time.Second)
			_, unresolved, silent := detector.Questions()
			Expect([]int64{unresolved, silent}).To(Equal([]int64{0, 1}))
			Expect(reported).To(BeEmpty())
		})

		It("asks nothing if the upstream was not silent", func() {
			other := detector.Begin(start, inFlight("b"))
			for range 8 {
				pass(sweepInterval)
				other.Received(true)
			}
			Expect(giveUp()).To(BeFalse())
			Expect(detector.questions).To(BeEmpty())
		})

		It("asks no more once the upstream sends anything", func() {
			other := detector.Begin(start, inFlight("b"))
			pass(2 * time.Second)
			Expect(giveUp()).To(BeTrue())
			pass(time.Millisecond)
			other.Received(true)
			pass(lateLookInterval)
			Expect(detector.questions).To(BeEmpty())
			Expect(reported).To(BeEmpty())
		})

		It("reports it also if an answer whose end proves nothing ended there before", func() {
			detector.EndUnproven(start, inFlight("complete"), func() {})
			pass(4 * time.Second)
			sign = Ended
			pass(lateLookInterval)
			Expect(reported).To(HaveLen(1))
			Expect(reported[0].Requests).To(HaveLen(1))
			Expect(reported[0].Requests[0].Fingerprint).To(Equal(request("a")))
		})

		It("reports it with one that breaks off later", func() {
			other := detector.Begin(start, inFlight("b"))
			pass(2 * time.Second)
			giveUp()
			pass(3 * time.Second)
			sign = Ended
			detector.RequestBroken(start, other.Request(), now.Add(-5*time.Second))
			pass(gatherTime)
			Expect(reported).To(HaveLen(1))
			Expect(reported[0].At).To(Equal(now.Add(-gatherTime - 5*time.Second)))
			Expect(reported[0].Requests).To(HaveLen(2))
		})
	})

	Describe("of an upstream that is lost for good", func() {
		var a *Attempt
		BeforeEach(func() {
			a, sign = detector.Begin(start, inFlight("a")), Lapsed
			a.Received(true)
		})

		// Guards against crashes that count only once a successor is seen.
		It("reports once that its process is presumed to have ended, and later any proof", func() {
			last := now
			pass(questionTTL / 2)
			Expect(reported).To(HaveLen(1))
			Expect([]any{reported[0].Presumed, reported[0].At, reported[0].Requests[0].Progress}).To(Equal([]any{true, last, Beginning}))
			sign = Ended
			pass(lateLookInterval)
			Expect(reported).To(HaveLen(2))
			Expect([]any{reported[1].Presumed, reported[1].At}).To(Equal([]any{false, last}))
		})

		It("counts the processes that are silent under a request, in flight or given up, until there is a sign of them", func() {
			other := Incarnation{Instance: "j"}
			b := detector.Begin(other, inFlight("a"))
			sign = NoSign
			Expect(detector.SilentUnder(request("a"))).To(BeZero())
			pass(minSilence + 2*sweepInterval)
			Expect(detector.SilentUnder(request("a"))).To(Equal(2))
			detector.RequestAbandoned(other, b.Request())
			b.End()
			pass(2 * time.Second)
			Expect(detector.SilentUnder(request("a"))).To(Equal(2))
			a.Received(true)
			pass(sweepInterval)
			Expect(detector.SilentUnder(request("a"))).To(Equal(1))
			sign = Ended
			pass(lateLookInterval)
			Expect(detector.SilentUnder(request("a"))).To(BeZero())
			Expect(reported).NotTo(BeEmpty())
		})

		It("presumes nothing while it sends anything", func() {
			for range 20 {
				pass(sweepInterval)
				a.Received(true)
			}
			Expect(reported).To(BeEmpty())
		})

		It("presumes nothing if a request breaks off under an upstream that was not silent", func() {
			pass(minSilence / 2)
			a.Received(true)
			detector.RequestBroken(start, a.Request(), now)
			a.End()
			pass(questionTTL)
			Expect(reported).To(BeEmpty())
		})
	})

	// Guards against a crash that is found only after the deadlines of the requests there.
	It("reports the requests in flight at a silent upstream as soon as its successor is listed, and once", func() {
		a := detector.Begin(start, inFlight("a"))
		sign = NoSign
		pass(3 * time.Second)
		sign = Ended
		detector.ListChanged()
		Expect(reported).To(HaveLen(1))
		Expect(reported[0].Requests).To(HaveLen(1))
		Expect(connects).To(BeZero())
		pass(2 * time.Second)
		detector.RequestAbandoned(start, a.Request())
		a.End()
		pass(2 * questionTTL)
		Expect(reported).To(HaveLen(1))
		Expect([]int{len(detector.processes), len(timers)}).To(Equal([]int{0, 0}))
	})

	It("gives up in the end", func() {
		sign = NoSign
		detector.RequestBroken(start, inFlight("a"), now)
		pass(questionTTL + time.Second)
		Expect(reported).To(BeEmpty())
		Expect(timers).To(BeEmpty())
		Expect(closed).To(Equal(1))
		open, unresolved, _ := detector.Questions()
		Expect([]int64{open, unresolved}).To(Equal([]int64{0, 1}))
	})

	It("keeps no more requests than a crash may have", func() {
		sign = NoSign
		for n := range 2 * maxPresent {
			detector.RequestBroken(start, inFlight(fmt.Sprint(n)), now)
			detector.EndUnproven(start, inFlight(fmt.Sprint("whole", n)), func() {})
		}
		q := detector.questions[start]
		Expect([]int{len(q.requests), len(q.served)}).To(Equal([]int{maxPresent, maxPresent}))
	})

	It("asks no more once a request is answered that was sent after the break, but not by an earlier one", func() {
		sign = NoSign
		detector.RequestBroken(start, inFlight("a"), now)
		detector.Answered(start, now)
		detector.Answered(Incarnation{Instance: "other"}, now.Add(time.Hour))
		pass(time.Second)
		Expect(detector.open.Load()).To(BeEquivalentTo(1))
		detector.Answered(start, now)
		sign = Ended
		pass(questionTTL)
		Expect(reported).To(BeEmpty())
		Expect(closed).To(Equal(1))
	})

	DescribeTable("takes connections that are closed at once for the end of the process", func(sentBefore time.Duration, crashes int) {
		sign = TurnedAway
		detector.RequestBroken(start, inFlight("a"), now.Add(-sentBefore))
		pass(time.Second)
		Expect(reported).To(HaveLen(crashes))
	},
		Entry("if the upstream had accepted a request", establishedAfter, 1),
		Entry("but not if it may be at its limit of connections", time.Duration(0), 0),
	)

	It("reports requests that were abandoned shortly before, because the upstream may have started them", func() {
		detector.RequestAbandoned(start, inFlight("left"))
		detector.RequestAbandoned(Incarnation{Instance: "other"}, inFlight("elsewhere"))
		detector.RequestBroken(start, inFlight("a"), now)
		pass(gatherTime)
		Expect(reported[0].Requests).To(Equal([]InFlightRequest{inFlight("a"), inFlight("left")}))
		pass(abandonedTTL)
		detector.RequestBroken(start, inFlight("a"), now)
		pass(gatherTime)
		Expect(reported[1].Requests).To(Equal([]InFlightRequest{inFlight("a")}))
		for range maxAbandoned + 5 {
			detector.RequestAbandoned(start, inFlight("many"))
		}
		Expect(detector.abandoned).To(HaveLen(maxAbandoned))
	})

	Describe("of an answer whose end proves nothing", func() {
		served := 0
		endUnproven := func(name string) { detector.EndUnproven(start, inFlight(name), func() { served++ }) }
		BeforeEach(func() { served, sign = 0, NoSign })

		It("clears the request once its upstream answers another one", func() {
			endUnproven("a")
			endUnproven("b")
			pass(time.Second)
			Expect(served).To(BeZero())
			detector.Answered(start, now)
			Expect(served).To(Equal(2))
			pass(questionTTL)
			Expect(connects).To(BeZero())
			Expect(reported).To(BeEmpty())
		})

		It("is not cleared by what the upstream may have sent to another request before", func() {
			other := detector.Begin(start, inFlight("b"))
			endUnproven("a")
			pass(time.Millisecond)
			other.Received(true)
			pass(lateLookInterval)
			Expect(served).To(BeZero())
			sign = Ended
			pass(lateLookInterval)
			Expect(reported).To(HaveLen(1))
			other.End()
		})

		It("reports the request if the process ends soon, and not if it ends late", func() {
			endUnproven("a")
			endedAt := now
			sign = Ended
			pass(time.Second)
			Expect(reported).To(Equal([]Crash{{Incarnation: start, At: endedAt, Requests: []InFlightRequest{inFlight("a")}}}))
			sign = NoSign
			endUnproven("a")
			pass(2 * unprovenTTL)
			sign = Ended
			pass(questionTTL)
			Expect(reported).To(HaveLen(1))
			Expect(served).To(BeZero())
		})

		It("looks as often as after any break if a request breaks off then", func() {
			endUnproven("a")
			pass(2 * time.Second)
			detector.RequestBroken(start, inFlight("b"), now)
			sign = Ended
			pass(gatherTime)
			Expect(reported).To(Equal([]Crash{{Incarnation: start, Requests: []InFlightRequest{inFlight("b")}}}))
		})
	})
})
