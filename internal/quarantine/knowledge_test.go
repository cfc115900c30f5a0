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
	var asking uint64
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		k = &Knowledge{}
		k.begin(func() time.Time { return now }, func(q uint64) { asking = q }, discardLog)
	})

	answerAll := func() {
		k.noteAsked(asking, []string{"a", "b"}, true)
		question := asking
		k.noteAnswer(question, "a", true)
		k.noteAnswer(question, "b", true)
	}

	It("is not taken for complete before the records have been read", func() {
		answerAll()
		Expect(k.Known()).To(BeFalse())
		Expect(k.Wait(context.Background(), time.Millisecond)).To(BeFalse())
		k.noteStore(nil)
		Expect(k.Known()).To(BeTrue())
	})

	It("is not taken for complete before the stagers have answered, or had time to", func() {
		k.noteStore(nil)
		k.noteAsked(asking, nil, false)
		now = now.Add(maxLearningTime)
		Expect(k.Known()).To(BeFalse(), "the list of upstreams has not been read")
		k.noteAsked(asking, []string{"a", "b"}, true)
		k.noteAnswer(asking, "a", true)
		k.noteAnswer(asking+1, "b", true)
		Expect(k.Known()).To(BeFalse())
		now = now.Add(maxAnswerTime)
		Expect(k.Known()).To(BeTrue())
		Expect(asking).To(BeZero())
	})

	It("keeps no request waiting once the answers are overdue", func() {
		k.noteAsked(asking, []string{"a"}, true)
		now = now.Add(maxAnswerTime)
		began := time.Now()
		Expect(k.Wait(context.Background(), time.Minute)).To(BeFalse())
		Expect(time.Since(began)).To(BeNumerically("<", maxAnswerTime))
	})

	It("is known without stagers where there are none", func() {
		k.noteStore(nil)
		k.noteAsked(asking, nil, true)
		now = now.Add(maxAnswerTime)
		Expect(k.Known()).To(BeTrue())
	})

	It("does not keep a gateway from serving while the store is away", func() {
		answerAll()
		k.noteStore(errors.New("unavailable"))
		Expect(k.Known()).To(BeTrue())
	})

	It("is not taken for complete by the word of stagers that have just started, while the store is away", func() {
		k.noteAsked(asking, []string{"a", "b"}, true)
		k.noteStore(errors.New("unavailable"))
		k.noteAnswer(asking, "a", false)
		now = now.Add(maxAnswerTime)
		Expect(k.Known()).To(BeFalse())
		k.noteAnswer(asking, "b", true)
		Expect(k.Known()).To(BeTrue())
	})

	It("does not wait for stagers that have just started once the records have been read", func() {
		k.noteAsked(asking, []string{"a"}, true)
		k.noteAnswer(asking, "a", false)
		Expect(k.Known()).To(BeFalse())
		k.noteStore(nil)
		Expect(k.Known()).To(BeTrue())
	})

	Describe("without the records", func() {
		var storeAnsweredAt time.Time
		var reads chan bool
		unavailable := errors.New("unavailable")
		BeforeEach(func() {
			c := make(chan bool, 100)
			storeAnsweredAt, reads = time.Time{}, c
			k.storeAnsweredAt = func() time.Time { return storeAnsweredAt }
			k.OnStoreBack = func() { c <- true }
		})

		It("is not taken for complete when the store returns, until they have been read", func() {
			answerAll()
			k.noteStore(unavailable)
			Expect(k.Known()).To(BeTrue())
			now = now.Add(time.Minute)
			storeAnsweredAt = now
			Expect(k.Known()).To(BeFalse())
			Eventually(reads).Should(Receive())
			k.noteStore(nil)
			Expect(k.Known()).To(BeTrue())
		})

		It("is not taken for complete when the store returns after the process stood still", func() {
			k.Tick()
			answerAll()
			k.noteStore(unavailable)
			Expect(k.Known()).To(BeTrue())
			now = now.Add(MinStop)
			Expect(k.Known()).To(BeFalse())
			answerAll()
			Expect(k.Known()).To(BeTrue())
			k.Tick()
			storeAnsweredAt = now.Add(1)
			Expect(k.Known()).To(BeFalse())
		})

		It("is not taken for complete when upstreams are first listed as the store returns", func() {
			k.noteStore(unavailable)
			now = now.Add(time.Second)
			storeAnsweredAt = now
			answerAll()
			Expect(k.Known()).To(BeFalse())
			Eventually(reads).Should(Receive())
		})

		It("is not taken for complete by a read that failed as the store returned", func() {
			answerAll()
			storeAnsweredAt = now.Add(1 - storeSilence)
			k.noteStore(unavailable)
			Expect(k.Known()).To(BeFalse())
			Eventually(reads).Should(Receive())
		})

		It("does not keep a gateway from serving for ever that the store refuses while it answers others", func() {
			answerAll()
			for waited := time.Duration(0); waited < maxLearningTime; waited += readAgainPause {
				storeAnsweredAt = now
				k.noteStore(unavailable)
				Expect(k.Known()).To(BeFalse())
				now = now.Add(readAgainPause)
			}
			Expect(k.Known()).To(BeTrue())
			storeAnsweredAt = now.Add(time.Second)
			k.noteStore(unavailable)
			Expect(k.Known()).To(BeTrue())
		})

		It("does not keep a gateway from serving for ever after the store's return", func() {
			answerAll()
			k.noteStore(unavailable)
			storeAnsweredAt = now.Add(1)
			Expect(k.Known()).To(BeFalse())
			now = now.Add(maxLearningTime)
			Expect(k.Known()).To(BeTrue())
		})
	})

	It("does not keep a gateway from serving for ever, counted from when upstreams are listed", func() {
		Expect(k.Known()).To(BeFalse())
		now = now.Add(maxLearningTime)
		Expect(k.Known()).To(BeFalse(), "no upstream is listed")
		k.noteAsked(asking, []string{"a"}, true)
		now = now.Add(maxLearningTime - 1)
		Expect(k.Known()).To(BeFalse())
		Expect(k.Remaining()).To(BeEquivalentTo(1))
		now = now.Add(1)
		Expect(k.Known()).To(BeTrue())
	})

	It("does not keep a gateway unready for ever while no upstream is listed", func() {
		now = now.Add(time.Minute)
		Expect(k.Ready()).To(BeFalse())
		now = now.Add(maxLearningTime)
		Expect(k.Ready()).To(BeTrue())
		Expect(k.Known()).To(BeFalse())
	})

	It("is not taken for complete after the process stood still within its start", func() {
		k.Tick()
		k.noteStore(nil)
		k.noteAsked(asking, []string{"a"}, true)
		now = now.Add(MinStop)
		Expect(k.Known()).To(BeFalse(), "the answer may wait in the socket")
		answerAll()
		Expect(k.Known()).To(BeTrue())
	})

	It("is not taken for complete after the process stood still, until the stagers have answered", func() {
		stopped := make(chan bool)
		k.OnStopped = func() { close(stopped) }
		k.Tick()
		k.noteStore(nil)
		answerAll()
		Expect(k.Known()).To(BeTrue())
		now = now.Add(MinStop)
		Expect(k.Known()).To(BeFalse(), "a request is read before anything else")
		Eventually(stopped).Should(BeClosed())
		k.Tick()
		Expect(asking).NotTo(BeZero())
		answerAll()
		Expect(k.Known()).To(BeTrue())
		now = now.Add(MinStop - 1)
		Expect(k.Known()).To(BeTrue())
	})
})
