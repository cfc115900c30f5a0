package quarantine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request in flight at a crash", func() {
	end := time.Unix(1000, 0)
	// ago returns a time before the crash; zero is none.
	ago := func(d time.Duration) time.Time {
		if d == 0 {
			return time.Time{}
		}
		return end.Add(-d)
	}

	DescribeTable("is reported as beginning only shortly after it was sent, or as its answer begins", func(sent, header, data time.Duration, want Progress) {
		t := AnswerTimes{SentAt: ago(sent), HeadAt: ago(header), FirstDataAt: ago(data), LastAt: latest(ago(header), ago(data))}
		Expect(t.progress(endTime{from: end, until: end})).To(Equal(want))
	},
		Entry("just sent", time.Millisecond, time.Duration(0), time.Duration(0), Beginning),
		Entry("sent some time before", time.Second, time.Duration(0), time.Duration(0), Waiting),
		Entry("with its header", time.Second, time.Second, time.Duration(0), Beginning),
		Entry("with its first data", time.Second, time.Second, 50*time.Millisecond, Beginning),
		Entry("with data for some time", time.Minute, time.Minute, time.Second, Writing),
		Entry("sent after the process had ended", -beginTime-time.Millisecond, time.Duration(0), time.Duration(0), Waiting),
	)

	It("may have been the first that the upstream did not begin any more", func() {
		requests := []InFlightRequest{{Times: AnswerTimes{SentAt: end.Add(time.Second)}}, {Times: AnswerTimes{SentAt: end.Add(3 * time.Second)}}}
		e := endAfter(end, requests)
		Expect(e).To(Equal(endTime{from: end, until: end.Add(time.Second)}))
		Expect([]Progress{requests[0].asOf(e).Progress, requests[1].asOf(e).Progress}).To(Equal([]Progress{Beginning, Waiting}))
		By("but not if the upstream was sending an answer when it fell silent")
		answered := InFlightRequest{Times: AnswerTimes{SentAt: end.Add(-time.Second), HeadAt: end, LastAt: end}}
		Expect(endAfter(end, append(requests, answered))).To(Equal(endTime{from: end, until: end}))
	})
})
