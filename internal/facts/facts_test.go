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
	named := func(r id.Revision) Publication {
		return Publication{Revision: r, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: now}
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})

	It("never go back to an older configuration or version", func() {
		Expect(f.SetCatalog(catalog.New(5, nil, nil, nil, catalog.Limits{}))).To(BeTrue())
		Expect(f.SetCatalog(catalog.New(4, nil, nil, nil, catalog.Limits{}))).To(BeFalse())
		Expect(f.Catalog().Revision).To(Equal(uint64(5)))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(1)))
		Expect(f.SetWanted("m", named(3)).New).To(BeTrue())
		Expect(f.SetWanted("m", named(2)).New).To(BeFalse())
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(3)))
	})

	It("know when a version may take no new requests any more: a time after the first newer one was named", func() {
		Expect(f.ServableUntil("m", 1, time.Second)).To(BeZero())
		f.SetWanted("m", named(2))
		second := now
		now = now.Add(time.Second)
		f.SetWanted("m", named(5))
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(second.Add(time.Second)))
		Expect(f.ServableUntil("m", 2, time.Second)).To(Equal(now.Add(time.Second)))
		Expect(f.ServableUntil("m", 3, time.Second)).To(Equal(now.Add(time.Second)))
		Expect(f.ServableUntil("m", 5, time.Second)).To(BeZero())
	})

	It("give no time to older versions where it is not known since when a newer one is named, until it is", func() {
		Expect(f.SetWanted("m", Publication{Revision: 2}).New).To(BeTrue())
		Expect(f.MinRevision("m", time.Second)).To(Equal(id.Revision(2)))
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(now))
		since := now.Add(-200 * time.Millisecond)
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: since}}).New).To(BeFalse(), "the version is known")
		Expect(f.MinRevision("m", time.Second)).To(BeZero())
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(since.Add(time.Second)))
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}}).New).To(BeFalse())
		Expect(f.ServableUntil("m", 1, time.Second)).To(Equal(since.Add(time.Second)), "the first that is known stays")
	})

	It("count the time of a version from the first newer one, also where only a later one was read", func() {
		missed := now.Add(-3 * time.Second)
		f.SetWanted("m", named(2))
		f.SetWanted("m", Publication{Revision: 4, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: missed})
		Expect(f.ServableUntil("m", 2, 10*time.Second)).To(Equal(missed.Add(10 * time.Second)))
		Expect(f.ServableUntil("m", 3, 10*time.Second)).To(Equal(now.Add(10 * time.Second)))
	})

	It("take no date for a version that lies after a moment at which somebody knew a later one", func() {
		start := now
		now = now.Add(20 * time.Second)
		f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now.Add(-time.Second)}})
		f.SetWanted("m", Publication{Revision: 4, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: now})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(start.Add(27 * time.Second)))
		Expect(f.ServableUntil("m", 2, 8*time.Second)).To(Equal(start.Add(28 * time.Second)))
		f.MergePublishTime("m", 4, dating.TimeBounds{After: start.Add(4 * time.Second), KnownAt: start.Add(5 * time.Second)})
		Expect(f.ServableUntil("m", 3, 8*time.Second)).To(Equal(start.Add(12 * time.Second)))
		Expect(f.ServableUntil("m", 2, 8*time.Second)).To(Equal(now), "version 3 was named before version 4 was known")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now), "and so was version 2")
	})

	It("withdraw the date of a version also where the later one is read only then, and wake who waits", func() {
		start := now
		now = now.Add(20 * time.Second)
		f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		f.SetWanted("m", Publication{Revision: 3, PublishTime: dating.TimeBounds{KnownAt: start.Add(21 * time.Second)}})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now.Add(8 * time.Second)))
		changed := f.Changed()
		f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: start.Add(20 * time.Second)})
		Expect(changed).NotTo(BeClosed(), "nothing that counts has changed")
		f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: start.Add(5 * time.Second)})
		Expect(changed).To(BeClosed(), "the date of version 2 has gone")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now))

		f.SetWanted("n", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		f.SetWanted("n", Publication{Revision: 3, PublishTime: dating.TimeBounds{KnownAt: start}})
		Expect(f.ServableUntil("n", 1, 8*time.Second)).To(Equal(now))
	})

	It("refuse a date after they learnt of the naming, and wake who waits when one goes", func() {
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now.Add(time.Second)}}).DateOutcome).To(Equal(dating.Refused))
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(now))
		f.SetWanted("m", named(3))
		since := now.Add(-2 * time.Second)
		Expect(f.SetWanted("m", Publication{Revision: 2, PublishTime: dating.TimeBounds{After: since}}).DateOutcome).To(Equal(dating.Taken), "a version that is not the newest any more")
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(since.Add(8 * time.Second)))
		changed := f.Changed()
		Expect(f.MergePublishTime("m", 3, dating.TimeBounds{KnownAt: now.Add(-time.Second)})).To(Equal(dating.Withdrawn))
		Expect(changed).To(BeClosed())
	})

	It("hold each version to the time since its own naming, whatever is named after it", func() {
		f.SetWanted("m", named(2))
		now = now.Add(4 * time.Second)
		f.SetWanted("m", named(3))
		Expect(f.MinRevision("m", 8*time.Second)).To(BeZero())
		now = now.Add(5 * time.Second)
		Expect(f.MinRevision("m", 8*time.Second)).To(Equal(id.Revision(2)))
		now = now.Add(4 * time.Second)
		Expect(f.MinRevision("m", 8*time.Second)).To(Equal(id.Revision(3)))
	})

	It("remember a bounded number of versions", func() {
		for r := range id.Revision(2 * maxNamed) {
			f.SetWanted("m", named(r+2))
		}
		Expect(f.wanted["m"]).To(HaveLen(maxNamed))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(2*maxNamed + 1)))
	})

	It("know the end of a version that many follow within the time of a swap", func() {
		end := now.Add(8 * time.Second)
		for r := range id.Revision(80) {
			f.SetWanted("m", named(r+2))
			now = now.Add(100 * time.Millisecond)
		}
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(end))
	})

	It("give an address to the entry that was written last", func() {
		f.SetInstance(&Instance{ID: "new", Address: "a", ListPosition: 9})
		f.SetInstance(&Instance{ID: "old", Address: "a", ListPosition: 3})
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("new")))
		f.DropInstance("new", 9)
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("old")))
	})

	It("wake who waits for a change", func() {
		c := f.Changed()
		f.SetInstance(&Instance{ID: "i", Address: "a"})
		Expect(c).To(BeClosed())
		c = f.Changed()
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 2})
		Expect(c).NotTo(BeClosed())
		f.SetInstance(&Instance{ID: "i", Address: "a", Leaving: true})
		Expect(c).To(BeClosed())
	})

	It("drop an upstream whose entry goes at once, and later where the list was away", func() {
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
		now = now.Add(lapseGrace / 2)
		a.NoteEntry("a", true)
		now = now.Add(lapseGrace)
		a.Sweep()
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("a")))
	})
})
