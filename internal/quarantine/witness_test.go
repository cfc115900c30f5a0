package quarantine

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a gateway at which requests break off", func() {
	var (
		at     time.Time
		paused []func()
		told   []Crash
		ended  bool
		known  bool
		w      *CrashDetector
	)
	start := Incarnation{Instance: "i"}
	present := func(name string) InFlightRequest { return InFlightRequest{Fingerprint: request(name)} }
	BeforeEach(func() {
		at, paused, told, ended, known = time.Unix(1000, 0), nil, nil, true, true
		w = NewCrashDetector(func(context.Context, Incarnation) (bool, bool) { return ended, known }, func(e Crash) { told = append(told, e) }, func() time.Time { return at })
		w.after = func(_ time.Duration, f func()) { paused = append(paused, f) }
	})

	It("tells of them together once the upstream's process is known to have ended", func() {
		w.RequestBroken(start, present("a"))
		w.RequestBroken(start, present("b"))
		Expect(paused).To(HaveLen(1))
		paused[0]()
		Expect(told).To(Equal([]Crash{{Incarnation: start, Requests: []InFlightRequest{present("a"), present("b")}}}))
	})

	It("tells nothing where the process lives: its connections were reset", func() {
		ended = false
		w.RequestBroken(start, present("a"))
		paused[0]()
		Expect(told).To(BeEmpty())
	})

	It("asks again a few times where no answer comes: the upstream may be behind a queue", func() {
		ended, known = false, false
		w.RequestBroken(start, present("a"))
		paused[0]()
		Expect(paused).To(HaveLen(2))
		paused[1]()
		ended, known = true, true
		paused[2]()
		Expect(told).To(HaveLen(1))
		ended, known = false, false
		w.RequestBroken(start, present("a"))
		for n := 3; n < len(paused); n++ {
			paused[n]()
		}
		Expect(paused).To(HaveLen(3 + probes))
		Expect(told).To(HaveLen(1))
	})

	It("tells of those too that were given up there just before, as the upstream may have begun them", func() {
		w.RequestAbandoned(start, present("left"))
		w.RequestAbandoned(Incarnation{Instance: "other"}, present("elsewhere"))
		w.RequestBroken(start, present("a"))
		paused[0]()
		Expect(told[0].Requests).To(Equal([]InFlightRequest{present("a"), present("left")}))
		at = at.Add(leftLife)
		w.RequestBroken(start, present("a"))
		paused[1]()
		Expect(told[1].Requests).To(Equal([]InFlightRequest{present("a")}))
		for range mostLeft + 5 {
			w.RequestAbandoned(start, present("many"))
		}
		Expect(w.left).To(HaveLen(mostLeft))
	})
})
