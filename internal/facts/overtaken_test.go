package facts

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/dating"
)

var _ = Describe("a version whose time was running out when a second newer one was published", func() {
	It("is distinguished from one with a single newer version", func() {
		now := time.Unix(1000, 0)
		f := New(func() time.Time { return now })
		Expect(f.OvertakenAt("m", 1)).To(BeZero())
		f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		Expect(f.OvertakenAt("m", 1)).To(BeZero(), "its time starts with this publication")
		now = now.Add(5 * time.Second)
		f.SetWanted("m", Publication{Revision: 3, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		Expect(f.OvertakenAt("m", 1)).To(Equal(now))
		Expect(f.OvertakenAt("m", 2)).To(BeZero())
		Expect(f.OvertakenAt("m", 3)).To(BeZero())
	})
})
