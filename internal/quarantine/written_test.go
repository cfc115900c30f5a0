package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a part of prompts on which an upstream has written an answer for some time", func() {
	crash := func(d *manualTracker, n int, prompts ...[]string) {
		d.RecordCrash(promptCrash(n, prompts...))
		d.clock = d.clock.Add(time.Second)
	}

	// Guards against a frequent harmless part that explains the crashes of several others.
	DescribeTable("is not held before another one that was present at fewer crashes", func(note func(d *manualTracker, f Fingerprint)) {
		d := newManualTracker()
		note(d, partNamed("frequent"))
		for n := range 5 {
			crash(d, n, []string{"bad", fmt.Sprint("own", n)}, []string{"frequent"})
		}
		crash(d, 5, []string{"frequent"})
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.checkPrompt("frequent")).NotTo(Equal(Held))
	},
		Entry("here", func(d *manualTracker, f Fingerprint) { d.Written(known(Fingerprint{}, f)) }),
		Entry("at another gateway", func(d *manualTracker, f Fingerprint) { d.ApplyNews(CrashNews{Written: []Fingerprint{f}}.Messages()[0]) }),
		Entry("and to its end, several times", func(d *manualTracker, f Fingerprint) {
			for n := range minUsualAnswers {
				d.Served(known(request(fmt.Sprint(n)), f))
			}
		}),
	)

	It("is announced to other gateways once, when it is suspected", func() {
		d := newManualTracker()
		var announced []Fingerprint
		d.OnUnlikely = func(parts []Fingerprint) { announced = append(announced, parts...) }
		d.Written(known(Fingerprint{}, partNamed("a"), partNamed("b")))
		crash(d, 0, []string{"a", "c"}, []string{"b"})
		Expect(announced).To(BeEmpty())
		crash(d, 1, []string{"a", "c"})
		crash(d, 2, []string{"a", "c"})
		Expect(announced).To(Equal(partsNamed([]string{"a"})))
		d.Written(known(Fingerprint{}, partNamed("c")))
		d.Written(known(Fingerprint{}, partNamed("c")))
		Expect(announced).To(Equal(partsNamed([]string{"a", "c"})))
	})

	It("is held in the end if nothing else explains the crashes", func() {
		d := newManualTracker()
		d.Written(known(Fingerprint{}, partNamed("bad")))
		for n := range minCertainCrashes {
			crash(d, n, []string{"bad", fmt.Sprint("own", n)})
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
	})
})

var _ = Describe("parts of prompts with the same crashes", func() {
	// Guards against a hold of parts that no request has together.
	It("are held each for itself if they were in different requests", func() {
		d := newManualTracker()
		for n := range minCertainCrashes {
			d.RecordCrash(promptCrash(n, []string{"x", fmt.Sprint("own", n)}, []string{"y", fmt.Sprint("other", n)}))
			d.clock = d.clock.Add(time.Second)
		}
		d.runTimers()
		Expect(d.checkPrompt("x")).To(Equal(Held))
		Expect(d.checkPrompt("y")).To(Equal(Held))
	})
})
