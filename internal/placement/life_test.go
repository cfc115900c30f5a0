package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what reports show of a process that broke off requests", func() {
	broken := time.Unix(1000, 0)
	report := func(at, echoed time.Duration, r LoadReport) LoadReport {
		r.ReceivedAt, r.EchoedStamp = broken.Add(at), broken.Add(echoed)
		return r
	}
	DescribeTable("is only what the stager read after that", func(state ProcessState, reports ...LoadReport) {
		t := NewTracker(func() time.Time { return broken.Add(time.Second) })
		for _, r := range reports {
			t.SetReport("a", r)
		}
		Expect(t.ProcessSince("a", 0, broken)).To(Equal(state))
	},
		Entry("nothing without reports", ProcessUnknown),
		Entry("nothing from a report of before", ProcessUnknown, report(-time.Second, -2*time.Second, LoadReport{Life: 1})),
		Entry("it runs, from a report that echoes a later time", ProcessRuns,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1}), report(time.Second, 500*time.Millisecond, LoadReport{Life: 1, StateAge: 400 * time.Millisecond})),
		Entry("nothing from a later report of an older state", ProcessUnknown,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1}), report(time.Second, 500*time.Millisecond, LoadReport{Life: 1, StateAge: 600 * time.Millisecond})),
		Entry("nothing from a late report that echoes an earlier time", ProcessUnknown,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1}), report(5*time.Second, -time.Millisecond, LoadReport{Life: 1})),
		Entry("nothing if the connection to it has changed", ProcessUnknown,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1}), report(time.Second, 500*time.Millisecond, LoadReport{Life: 2})),
		Entry("nothing from a stager that does not state it", ProcessUnknown,
			report(-time.Second, -2*time.Second, LoadReport{}), report(time.Second, 500*time.Millisecond, LoadReport{})),
		Entry("it has ended, from the first report that it is down", ProcessDown,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1}), report(time.Millisecond, -time.Second, LoadReport{Life: 1, Down: true})),
		Entry("nothing if it was down before", ProcessUnknown,
			report(-time.Second, -2*time.Second, LoadReport{Life: 1, Down: true}), report(time.Millisecond, -time.Second, LoadReport{Life: 1, Down: true})),
	)

	It("is that it has ended if a later start is reported", func() {
		t := NewTracker(func() time.Time { return broken.Add(time.Second) })
		t.SetReport("a", report(-time.Second, -time.Second, LoadReport{Incarnation: 4}))
		t.SetReport("a", report(time.Second, 0, LoadReport{Incarnation: 5}))
		Expect(t.ProcessSince("a", 4, broken)).To(Equal(ProcessEnded))
	})
})
