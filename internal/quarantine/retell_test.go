package quarantine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var _ = Describe("a held request that another gateway still forwards", func() {
	var holder *manualTracker
	var told []HeldRequest
	BeforeEach(func() {
		holder, told = newManualTracker(), nil
		holder.OnMissed = func(h HeldRequest) { told = append(told, h) }
		holder.AddHeld(HeldRequest{Fingerprint: partNamed("bad"), Parts: partsNamed([]string{"bad"})})
	})
	hear := func(instance int) {
		for _, m := range (CrashNews{Crashes: []Crash{promptCrash(instance, []string{"first", "bad"})}}).Messages() {
			holder.ApplyNews(m)
		}
	}

	It("is told again, once for several crashes", func() {
		holder.clock = holder.clock.Add(retellInterval)
		hear(1)
		hear(2)
		holder.runTimers()
		Expect(told).To(HaveLen(1))
		unaware := newManualTracker()
		Expect(unaware.checkPrompt("first", "bad")).To(Equal(Pass))
		for _, m := range (CrashNews{Held: told}).Messages() {
			unaware.ApplyNews(m)
		}
		Expect(unaware.checkPrompt("first", "bad")).To(Equal(Held))
	})

	It("is not told for requests that were in flight when it was decided", func() {
		holder.clock = holder.clock.Add(retellInterval - 1)
		hear(1)
		holder.runTimers()
		Expect(told).To(BeEmpty())
	})

	It("is told by one of those that hold it", func() {
		holder.clock = holder.clock.Add(retellInterval)
		hear(1)
		holder.ApplyNews(&pb.CrashNews{Held: (CrashNews{Held: holder.HeldRequests()}).Messages()[0].GetHeld()})
		holder.clock = holder.clock.Add(minRetellSpread - time.Millisecond)
		holder.runTimers()
		Expect(told).To(BeEmpty())
	})

	It("is not told if it was released meanwhile", func() {
		holder.clock = holder.clock.Add(retellInterval)
		hear(1)
		holder.Lift(partNamed("bad"))
		holder.runTimers()
		Expect(told).To(BeEmpty())
	})
})
