package dating

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/spec"
)

func TestDating(t *testing.T) {
	spec.Run(t, "Dating")
}

var _ = Describe("a bracket", func() {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return start.Add(time.Duration(s) * time.Second)
	}
	for _, c := range []struct {
		text               string
		after, had         int
		toldAfter, toldHad int
		wantAfter, wantHad int
		want               Outcome
	}{
		{"takes a date where it has none", 0, 9, 5, 8, 5, 8, Taken},
		{"keeps its date where another one says less", 6, 9, 5, 8, 6, 8, Kept},
		{"keeps its date where another one is later", 5, 9, 6, 8, 5, 8, Kept},
		{"refuses a date after the moment at which this process knew", 0, 9, 10, 0, 0, 9, Refused},
		{"refuses a date after the moment at which its own teller knew", 0, 0, 10, 9, 0, 9, Refused},
		{"refuses a wrong date beside a right one", 5, 9, 10, 0, 5, 9, Refused},
		{"gives its date up where somebody knew before it", 8, 9, 0, 7, 0, 7, Withdrawn},
		{"puts an earlier one in its place", 8, 9, 6, 7, 6, 7, Withdrawn},
		{"knows nothing of nothing", 0, 0, 0, 0, 0, 0, Kept},
	} {
		It(c.text, func() {
			got, o := TimeBounds{After: at(c.after), KnownAt: at(c.had)}.Merge(TimeBounds{After: at(c.toldAfter), KnownAt: at(c.toldHad)})
			Expect(got).To(Equal(TimeBounds{After: at(c.wantAfter), KnownAt: at(c.wantHad)}))
			Expect(o).To(Equal(c.want))
		})
	}

	It("never moves its date later, and ends before what anybody knew, in any order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			moment := rapid.IntRange(0, 20)
			var b TimeBounds
			for range rapid.IntRange(1, 12).Draw(t, "told") {
				o := TimeBounds{After: at(moment.Draw(t, "after")), KnownAt: at(moment.Draw(t, "had"))}
				n, _ := b.Merge(o)
				if b.dated() && n.dated() && n.After.After(b.After) {
					t.Fatalf("%v became %v", b, n)
				}
				if n.wrong() {
					t.Fatalf("%v is after %v", n.After, n.KnownAt)
				}
				b = n
			}
		})
	})

	It("is told with its origin, and takes a kind of evidence that it does not know for none", func() {
		o := DateSource{Observer: "a", Evidence: StoreReturn}
		Expect(SourceFromProto(o.Proto())).To(Equal(o))
		Expect(DateSource{}.Proto()).To(BeNil())
		Expect(SourceFromProto(&pb.DateOrigin{By: "a", Evidence: 200})).To(Equal(DateSource{Observer: "a"}))
		Expect(SourceFromProto(&pb.DateOrigin{By: "a", Evidence: -1})).To(Equal(DateSource{Observer: "a"}))
	})

	It("names its evidence and outcomes", func() {
		Expect([]string{StoreReturn.String(), Evidence(200).String(), Withdrawn.String()}).To(Equal([]string{"return of the store", "none", "withdrawn"}))
	})
})
