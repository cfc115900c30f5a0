package quarantine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var _ = Describe("a held request that another gateway still forwards", func() {
	var holder *manualTracker
	var announced []HeldRequest
	BeforeEach(func() {
		holder, announced = newManualTracker(), nil
		holder.OnMissed = func(h HeldRequest) { announced = append(announced, h) }
		holder.AddHeld(HeldRequest{Fingerprint: partNamed("bad"), Parts: partsNamed([]string{"bad"})})
	})
	learnOf := func(instance int) {
		for _, m := range (CrashNews{Crashes: []Crash{promptCrash(instance, []string{"first", "bad"})}}).Messages() {
			holder.ApplyNews(m)
		}
	}

	It("is announced again, once for several crashes", func() {
		holder.clock = holder.clock.Add(announceInterval)
		learnOf(1)
		learnOf(2)
		holder.runTimers()
		Expect(announced).To(HaveLen(1))
		unaware := newManualTracker()
		Expect(unaware.checkPrompt("first", "bad")).To(Equal(Pass))
		for _, m := range (CrashNews{Held: announced}).Messages() {
			unaware.ApplyNews(m)
		}
		Expect(unaware.checkPrompt("first", "bad")).To(Equal(Held))
	})

	It("is not announced for requests that were in flight when it was decided", func() {
		holder.clock = holder.clock.Add(announceInterval - 1)
		learnOf(1)
		holder.runTimers()
		Expect(announced).To(BeEmpty())
	})

	It("is announced by one of those that hold it", func() {
		holder.clock = holder.clock.Add(announceInterval)
		learnOf(1)
		holder.ApplyNews(&pb.CrashNews{Held: (CrashNews{Held: holder.HeldRequests()}).Messages()[0].GetHeld()})
		holder.clock = holder.clock.Add(minAnnounceSpread - time.Millisecond)
		holder.runTimers()
		Expect(announced).To(BeEmpty())
	})

	It("is not announced if it was released meanwhile", func() {
		holder.clock = holder.clock.Add(announceInterval)
		learnOf(1)
		holder.Lift(partNamed("bad"))
		holder.runTimers()
		Expect(announced).To(BeEmpty())
	})
})
