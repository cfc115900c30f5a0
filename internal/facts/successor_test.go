package facts

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("the successor of an instance", func() {
	var (
		now time.Time
		f   *Facts
	)
	list := func(n id.Instance, position id.Position) {
		f.SetInstance(&Instance{ID: n, Pool: "engines", Address: "10.0.0.1:8001", ListPosition: position})
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		list("a", 1)
		now = now.Add(time.Second)
	})

	// Guards against a successor being taken for known because it was listed before the question of the end arose.
	It("is another one at its address that was first listed after the request was sent", func() {
		sentAt := now
		Expect(f.HasSuccessor("a", "10.0.0.1:8001", sentAt)).To(BeFalse())
		now = now.Add(time.Second)
		list("b", 2)
		Expect(f.HasSuccessor("a", "10.0.0.1:8001", sentAt)).To(BeTrue())
		Expect(f.HasSuccessor("b", "10.0.0.1:8001", sentAt)).To(BeFalse())
		Expect(f.HasSuccessor("a", "10.0.0.1:8001", now)).To(BeFalse())
		Expect(f.HasSuccessor("a", "10.0.0.2:8001", sentAt)).To(BeFalse())
	})

	It("is not an earlier one whose entry returns from an older copy of the list", func() {
		now = now.Add(time.Second)
		list("b", 2)
		f.DropInstance("a", 3)
		sentAt := now
		now = now.Add(time.Second)
		f.DropInstance("b", 4)
		list("a", 5)
		Expect(f.HasSuccessor("b", "10.0.0.1:8001", sentAt)).To(BeFalse())
	})

	It("is not needed for an entry to have lapsed, without a word and after the request was sent", func() {
		sentAt := now
		Expect(f.IsListed("a", 0)).To(BeTrue())
		now = now.Add(time.Second)
		f.DropInstance("a", 2)
		Expect(f.IsListed("a", 0)).To(BeFalse())
		Expect(f.HasLapsed("a", sentAt)).To(BeTrue())
		Expect(f.HasLapsed("a", now)).To(BeFalse())
		Expect(f.HasLapsed("never listed", sentAt)).To(BeFalse())
		By("the entry is back")
		list("a", 3)
		Expect(f.HasLapsed("a", sentAt)).To(BeFalse())
		Expect(f.IsListed("a", 0)).To(BeTrue())
		By("the instance leaves")
		f.MarkLeaving("a", 0)
		f.DropInstance("a", 4)
		Expect(f.HasLapsed("a", sentAt)).To(BeFalse())
	})

	It("forgets instances that are not listed any more after a while", func() {
		f.DropInstance("a", 3)
		now = now.Add(2 * announcementTTL)
		list("b", 4)
		f.DropInstance("b", 5)
		Expect(f.firstListed).To(HaveLen(1))
		Expect(f.firstListed).To(HaveKey(id.Instance("b")))
	})
})
