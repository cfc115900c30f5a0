package facts

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestFacts(t *testing.T) {
	spec.Run(t, "Facts")
}

var _ = Describe("facts", func() {
	var now time.Time
	var f *Facts
	published := func(r id.Revision) Publication {
		return Publication{Revision: r, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: now}
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})

	It("never return to an older configuration or version", func() {
		Expect(f.SetCatalog(catalog.New(5, nil, nil, nil, catalog.Limits{}))).To(BeTrue())
		Expect(f.SetCatalog(catalog.New(4, nil, nil, nil, catalog.Limits{}))).To(BeFalse())
		Expect(f.Catalog().Revision).To(Equal(uint64(5)))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(1)))
		Expect(f.SetWanted("m", published(3)).New).To(BeTrue())
		Expect(f.SetWanted("m", published(2)).New).To(BeFalse())
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(3)))
	})

	It("limit a version to a given time after the first newer one was published", func() {
		Expect(f.ServableUntil("m", 1, time.Second)).To(BeZero())
		f.SetWanted("m", published(2))
		publishedAt := now
		now = now.Add(time.Second)
		f.SetWanted("m", published(5))
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(publishedAt.Add(time.Second)))
		Expect(f.ServableUntil("m", 2, time.Second)).To(Equal(now.Add(time.Second)))
		Expect(f.ServableUntil("m", 3, time.Second)).To(Equal(now.Add(time.Second)))
		Expect(f.ServableUntil("m", 5, time.Second)).To(BeZero())
	})

	It("let no older version take requests while the publish time of a newer one is unknown", func() {
		Expect(f.SetWanted("m", Publication{Revision: 2}).New).To(BeTrue())
		Expect(f.MinRevision("m", time.Second)).To(Equal(id.Revision(2)))
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(now))
		publishedAt := now.Add(-200 * time.Millisecond)
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: publishedAt}}).New).To(BeFalse(), "the version is known")
		Expect(f.MinRevision("m", time.Second)).To(BeZero())
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(publishedAt.Add(time.Second)))
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}}).New).To(BeFalse())
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(publishedAt.Add(time.Second)), "the first known publish time stays")
	})

	It("count the time of a version from the first newer one, also if only a later one was read", func() {
		lastRead := now.Add(-3 * time.Second)
		f.SetWanted("m", published(2))
		f.SetWanted("m", Publication{Revision: 4, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: lastRead})
		Expect(f.ServableUntil("m", 2, 10*time.Second)).To(Equal(lastRead.Add(10 * time.Second)))
		Expect(f.ServableUntil("m", 3, 10*time.Second)).To(Equal(now.Add(10 * time.Second)))
	})

	It("accept no publish time for a version that is after a process knew of a later version", func() {
		start := now
		now = now.Add(20 * time.Second)
		f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now.Add(-time.Second)}})
		f.SetWanted("m", Publication{Revision: 4, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: now})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(start.Add(27 * time.Second)))
		Expect(f.ServableUntil("m", 2, 8*time.Second)).To(Equal(start.Add(28 * time.Second)))
		f.MergePublishTime("m", 4, dating.TimeBounds{After: start.Add(4 * time.Second), KnownAt: start.Add(5 * time.Second)})
		Expect(f.ServableUntil("m", 3, 8*time.Second)).To(Equal(start.Add(12 * time.Second)))
		Expect(f.ServableUntil("m", 2, 8*time.Second)).To(Equal(now), "version 3 was published before version 4 was known")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now), "and so was version 2")
	})

	It("withdraw a contradicted publish time also if the later version is read afterwards, and notify waiters", func() {
		start := now
		now = now.Add(20 * time.Second)
		f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		f.SetWanted("m", Publication{Revision: 3, PublishTime: dating.TimeBounds{KnownAt: start.Add(21 * time.Second)}})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now.Add(8 * time.Second)))
		changed := f.Changed()
		f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: start.Add(20 * time.Second)})
		Expect(changed).NotTo(BeClosed(), "no decision depends on the change")
		f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: start.Add(5 * time.Second)})
		Expect(changed).To(BeClosed(), "the publish time of version 2 was withdrawn")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now))

		f.SetWanted("n", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		f.SetWanted("n", Publication{Revision: 3, PublishTime: dating.TimeBounds{KnownAt: start}})
		Expect(f.ServableUntil("n", 1, 8*time.Second)).To(Equal(now))
	})

	It("refuse a publish time after the version was known, and notify waiters when one is withdrawn", func() {
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now.Add(time.Second)}}).DateOutcome).To(Equal(dating.Refused))
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now))
		f.SetWanted("m", published(3))
		publishedAt := now.Add(-2 * time.Second)
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: publishedAt}}).DateOutcome).To(Equal(dating.Taken), "a version that is no longer the newest")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(publishedAt.Add(8 * time.Second)))
		changed := f.Changed()
		Expect(f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: now.Add(-time.Second)})).To(Equal(dating.Withdrawn))
		Expect(changed).To(BeClosed())
	})

	It("require each version within the time since its own publication, whatever is published after it", func() {
		f.SetWanted("m", published(2))
		now = now.Add(4 * time.Second)
		f.SetWanted("m", published(3))
		Expect(f.MinRevision("m", 8*time.Second)).To(BeZero())
		now = now.Add(5 * time.Second)
		Expect(f.MinRevision("m", 8*time.Second)).To(Equal(id.Revision(2)))
		now = now.Add(4 * time.Second)
		Expect(f.MinRevision("m", 8*time.Second)).To(Equal(id.Revision(3)))
	})

	It("keep a bounded number of versions", func() {
		for r := range id.Revision(2 * maxVersions) {
			f.SetWanted("m", published(r+2))
		}
		Expect(f.wanted["m"]).To(HaveLen(maxVersions))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(2*maxVersions + 1)))
	})

	It("know the end of a version with many newer versions published within the time of a swap", func() {
		end := now.Add(8 * time.Second)
		for r := range id.Revision(80) {
			f.SetWanted("m", published(r+2))
			now = now.Add(100 * time.Millisecond)
		}
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(end))
	})

	It("assign an address to the entry that was written last", func() {
		f.SetInstance(&Instance{ID: "new", Address: "a", ListPosition: 9})
		f.SetInstance(&Instance{ID: "old", Address: "a", ListPosition: 3})
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("new")))
		f.DropInstance("new", 9)
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("old")))
	})

	It("notify waiters of a change", func() {
		c := f.Changed()
		f.SetInstance(&Instance{ID: "i", Address: "a"})
		Expect(c).To(BeClosed())
		c = f.Changed()
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 2})
		Expect(c).NotTo(BeClosed())
		f.SetInstance(&Instance{ID: "i", Address: "a", Leaving: true})
		Expect(c).To(BeClosed())
	})

	It("remove an upstream without an entry at once, and after a grace period if the list was unavailable", func() {
		a := NewAbsenceTracker(f, func() time.Time { return now }, &log.Logger{Level: log.PanicLevel})
		add := func(n id.Instance) { f.SetInstance(&Instance{ID: n, Address: string(n)}) }
		add("a")
		a.NoteEntry("a", false)
		a.Sweep()
		Expect(f.Instances()).To(BeEmpty())
		for _, n := range []id.Instance{"a", "b"} {
			add(n)
		}
		a.NoteListReturned()
		a.SetListed(nil)
		Expect(f.Instances()).To(HaveLen(2))
		now = now.Add(absenceGrace / 2)
		a.NoteEntry("a", true)
		now = now.Add(absenceGrace)
		a.Sweep()
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("a")))
	})
})
