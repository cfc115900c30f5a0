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

var _ = Describe("time bounds", func() {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return start.Add(time.Duration(s) * time.Second)
	}
	for _, c := range []struct {
		text                       string
		after, knownAt             int
		remoteAfter, remoteKnownAt int
		wantAfter, wantKnownAt     int
		want                       Outcome
	}{
		{"take a date if none is known", 0, 9, 5, 8, 5, 8, Taken},
		{"keep the date if another one is less precise", 6, 9, 5, 8, 6, 8, Kept},
		{"keep the date if another one is later", 5, 9, 6, 8, 5, 8, Kept},
		{"refuse a date after this process knew of the event", 0, 9, 10, 0, 0, 9, Refused},
		{"refuse a date after its sender knew of the event", 0, 0, 10, 9, 0, 9, Refused},
		{"refuse a wrong date and keep the right one", 5, 9, 10, 0, 5, 9, Refused},
		{"withdraw the date if some process knew of the event before it", 8, 9, 0, 7, 0, 7, Withdrawn},
		{"replace a withdrawn date by an earlier one", 8, 9, 6, 7, 6, 7, Withdrawn},
		{"stay empty without any date", 0, 0, 0, 0, 0, 0, Kept},
	} {
		It(c.text, func() {
			got, o := TimeBounds{After: at(c.after), KnownAt: at(c.knownAt)}.Merge(TimeBounds{After: at(c.remoteAfter), KnownAt: at(c.remoteKnownAt)})
			Expect(got).To(Equal(TimeBounds{After: at(c.wantAfter), KnownAt: at(c.wantKnownAt)}))
			Expect(o).To(Equal(c.want))
		})
	}

	It("never move the date later, and never keep one after the event was known, in any order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			moment := rapid.IntRange(0, 20)
			var b TimeBounds
			for range rapid.IntRange(1, 12).Draw(t, "merges") {
				o := TimeBounds{After: at(moment.Draw(t, "after")), KnownAt: at(moment.Draw(t, "known at"))}
				n, _ := b.Merge(o)
				if b.hasLowerBound() && n.hasLowerBound() && n.After.After(b.After) {
					t.Fatalf("%v became %v", b, n)
				}
				if n.contradicted() {
					t.Fatalf("%v is after %v", n.After, n.KnownAt)
				}
				b = n
			}
		})
	})

	It("encode their source, and decode an unknown kind of evidence as none", func() {
		o := DateSource{Observer: "a", Evidence: StoreReturn}
		Expect(SourceFromProto(o.Proto())).To(Equal(o))
		Expect(DateSource{}.Proto()).To(BeNil())
		Expect(SourceFromProto(&pb.DateOrigin{By: "a", Evidence: 200})).To(Equal(DateSource{Observer: "a"}))
		Expect(SourceFromProto(&pb.DateOrigin{By: "a", Evidence: -1})).To(Equal(DateSource{Observer: "a"}))
	})

	It("have names for evidence and outcomes", func() {
		Expect([]string{StoreReturn.String(), Evidence(200).String(), Withdrawn.String()}).To(Equal([]string{"return of the store", "none", "withdrawn"}))
	})
})
