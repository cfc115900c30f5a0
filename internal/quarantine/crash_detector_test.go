package quarantine

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a crash detector", func() {
	var (
		now      time.Time
		timers   []func()
		reported []Crash
		ended    bool
		known    bool
		detector *CrashDetector
	)
	start := Incarnation{Instance: "i"}
	inFlight := func(name string) InFlightRequest { return InFlightRequest{Fingerprint: request(name)} }
	BeforeEach(func() {
		now, timers, reported, ended, known = time.Unix(1000, 0), nil, nil, true, true
		detector = NewCrashDetector(func(context.Context, Incarnation) (bool, bool) { return ended, known }, func(e Crash) { reported = append(reported, e) }, func() time.Time { return now })
		detector.after = func(_ time.Duration, f func()) { timers = append(timers, f) }
	})

	It("reports all requests that broke off once the upstream's process is known to have ended", func() {
		detector.RequestBroken(start, inFlight("a"))
		detector.RequestBroken(start, inFlight("b"))
		Expect(timers).To(HaveLen(1))
		timers[0]()
		Expect(reported).To(Equal([]Crash{{Incarnation: start, Requests: []InFlightRequest{inFlight("a"), inFlight("b")}}}))
	})

	It("reports nothing if the process is alive: its connections were reset", func() {
		ended = false
		detector.RequestBroken(start, inFlight("a"))
		timers[0]()
		Expect(reported).To(BeEmpty())
	})

	It("checks a few times if no answer comes: the link to the upstream may have a long queue", func() {
		ended, known = false, false
		detector.RequestBroken(start, inFlight("a"))
		timers[0]()
		Expect(timers).To(HaveLen(2))
		timers[1]()
		ended, known = true, true
		timers[2]()
		Expect(reported).To(HaveLen(1))
		ended, known = false, false
		detector.RequestBroken(start, inFlight("a"))
		for n := 3; n < len(timers); n++ {
			timers[n]()
		}
		Expect(timers).To(HaveLen(3 + maxProbes))
		Expect(reported).To(HaveLen(1))
	})

	It("reports requests that were abandoned shortly before, because the upstream may have started them", func() {
		detector.RequestAbandoned(start, inFlight("left"))
		detector.RequestAbandoned(Incarnation{Instance: "other"}, inFlight("elsewhere"))
		detector.RequestBroken(start, inFlight("a"))
		timers[0]()
		Expect(reported[0].Requests).To(Equal([]InFlightRequest{inFlight("a"), inFlight("left")}))
		now = now.Add(abandonedTTL)
		detector.RequestBroken(start, inFlight("a"))
		timers[1]()
		Expect(reported[1].Requests).To(Equal([]InFlightRequest{inFlight("a")}))
		for range maxAbandoned + 5 {
			detector.RequestAbandoned(start, inFlight("many"))
		}
		Expect(detector.abandoned).To(HaveLen(maxAbandoned))
	})
})
