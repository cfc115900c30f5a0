package id_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestID(t *testing.T) {
	spec.Run(t, "Identifiers")
}

var _ = Describe("a position in the store", func() {
	It("orders by era, then by offset, and returns both", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			era, offset := rapid.Uint64Range(0, 1<<24-1), rapid.Uint64Range(0, 1<<40-1)
			e, o := era.Draw(t, "era"), offset.Draw(t, "offset")
			f, q := era.Draw(t, "other era"), offset.Draw(t, "other offset")
			a, err := id.PositionAt(e, o)
			if err != nil || a.Era() != e || a.Offset() != o {
				t.Fatalf("%v: era %d, offset %d, %v", a, a.Era(), a.Offset(), err)
			}
			b, _ := id.PositionAt(f, q)
			if (a < b) != (e < f || e == f && o < q) {
				t.Fatalf("%v and %v", a, b)
			}
		})
	})

	It("equals the offset in era 0, and is formatted with the era in others", func() {
		p, err := id.PositionAt(0, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(p).To(Equal(id.Position(7)))
		Expect(p.String()).To(Equal("7"))
		p, _ = id.PositionAt(3, 7)
		Expect(p.String()).To(Equal("3/7"))
	})

	It("is rejected if the era or the offset is out of range", func() {
		_, err := id.PositionAt(1<<24, 0)
		Expect(err).To(MatchError(id.ErrPositionRange))
		_, err = id.PositionAt(0, 1<<40)
		Expect(err).To(MatchError(id.ErrPositionRange))
	})
})
