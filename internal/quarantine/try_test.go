package quarantine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a suspected request that must be sent alone", func() {
	var d *manualTracker
	BeforeEach(func() {
		d = newManualTracker()
		d.RecordCrash(crashOf(1, "a"))
		d.RecordCrash(crashOf(2, "a"))
		Expect(d.Check(known(request("a")))).To(Equal(Alone))
	})

	// Guards against every gateway sending it while the outcome of the last one is not known: its upstream may be silent.
	It("is sent by one gateway at a time, less and less often without an outcome", func() {
		Expect(d.Try(request("a"))).To(BeTrue())
		for _, wait := range []time.Duration{tryTime, 2 * tryTime, 4 * tryTime} {
			d.clock = d.clock.Add(wait - time.Millisecond)
			Expect(d.Try(request("a"))).To(BeFalse())
			d.clock = d.clock.Add(time.Millisecond)
			d.ApplyNews(CrashNews{Tried: []Fingerprint{request("a")}}.Messages()[0])
			Expect(d.Try(request("a"))).To(BeFalse())
		}
	})

	It("is sent again at once by the same gateway if it has reached no upstream", func() {
		Expect(d.Try(request("a"))).To(BeTrue())
		d.EndTry(request("a"))
		Expect(d.Try(request("a"))).To(BeTrue())
	})

	It("is sent again at once when its outcome is known", func() {
		Expect(d.Try(request("a"))).To(BeTrue())
		By("not by another report of an earlier crash")
		d.RecordCrash(crashOf(2, "a"))
		Expect(d.Try(request("a"))).To(BeFalse())
		d.RecordCrash(crashOf(3, "a"))
		Expect(d.Try(request("a"))).To(BeTrue())
	})
})
