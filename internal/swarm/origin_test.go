package swarm

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("the time during which the origin answers", func() {
	const maxGap = 400 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("is all the time since a lane's last new chunk while others get answers, so that a dead VM is replaced in time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var o OriginAnswers
			now := start
			o.Record(now, maxGap)
			for range rapid.IntRange(0, 50).Draw(t, "answers") {
				now = now.Add(time.Duration(rapid.IntRange(0, int(maxGap)).Draw(t, "gap")))
				o.Record(now, maxGap)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, int(maxGap/freshShare)).Draw(t, "since")))
			lastNew := start.Add(time.Duration(rapid.IntRange(0, int(now.Sub(start))).Draw(t, "last")))
			if got := o.AnsweringSince(lastNew, maxGap, now); got != now.Sub(lastNew) {
				t.Fatalf("%v of %v", got, now.Sub(lastNew))
			}
		})
	})

	It("does not include an outage, so that no higher rank is due in it or at its end", func() {
		var o OriginAnswers
		o.Record(at(0), maxGap)
		for ms := range 5000 {
			Expect(o.AnsweringSince(at(0), maxGap, at(ms))).To(BeNumerically("<=", maxGap/freshShare))
		}
		Expect(o.AnsweringSince(at(0), maxGap, at(5000))).To(BeZero())
		o.Record(at(5000), maxGap)
		Expect(o.AnsweringSince(at(0), maxGap, at(5000))).To(BeZero())
		o.Record(at(5300), maxGap)
		Expect(o.AnsweringSince(at(0), maxGap, at(5300))).To(Equal(300 * time.Millisecond))
	})

	It("begins with the first answer for a VM that got none while others did, so that it does not overtake the first rank", func() {
		var o OriginAnswers
		o.RecordFailure(at(0))
		for ms := 0; ms <= 2000; ms += 100 {
			o.Record(at(ms), maxGap)
			Expect(o.AnsweringSince(at(0), maxGap, at(ms))).To(BeZero())
		}
		o.RecordOwn(at(2000), maxGap)
		Expect(o.AnsweringSince(at(0), maxGap, at(2100))).To(Equal(100 * time.Millisecond))
	})

	It("is not interrupted by a single failure that the next request repairs", func() {
		var o OriginAnswers
		o.Record(at(0), maxGap)
		o.RecordFailure(at(100))
		o.RecordFailure(at(150))
		Expect(o.Unknown(at(150), maxGap)).To(BeTrue())
		o.RecordOwn(at(300), maxGap)
		Expect(o.Unknown(at(300), maxGap)).To(BeFalse())
		Expect(o.AnsweringSince(at(0), maxGap, at(300))).To(Equal(300 * time.Millisecond))
	})
})
