package quarantine

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what a gateway knows of held requests", func() {
	var now time.Time
	var k *Knowledge
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		k = &Knowledge{}
		k.begin(func() time.Time { return now }, discardLog)
	})

	It("is not taken for complete before the records have been read", func() {
		Expect(k.Known()).To(BeFalse())
		Expect(k.Wait(context.Background(), time.Millisecond)).To(BeFalse())
		k.noteStore(nil)
		Expect(k.Known()).To(BeTrue())
	})

	It("does not keep a gateway from serving while the store is away", func() {
		k.noteStore(errors.New("unavailable"))
		Expect(k.Known()).To(BeTrue())
	})

	It("does not keep a gateway from serving for ever, counted from when it could serve", func() {
		now = now.Add(time.Minute)
		Expect(k.Known()).To(BeFalse())
		now = now.Add(maxLearningTime - 1)
		Expect(k.Known()).To(BeFalse())
		Expect(k.Remaining()).To(BeEquivalentTo(1))
		now = now.Add(1)
		Expect(k.Known()).To(BeTrue())
	})
})
