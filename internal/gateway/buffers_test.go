package gateway

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the buffer budget", func() {
	// Guards against a request that waits without end while others hold all space, and against one wait after another.
	It("lets a request wait for space for a bounded time in total, and no longer than its context", func() {
		b := newBufferBudget(10)
		newBufferAccount(b).add(10)
		a, start := newBufferAccount(b), time.Now()
		for range 3 {
			Expect(a.reserve(context.Background(), 1, time.Now)).To(BeFalse())
		}
		Expect(time.Since(start)).To(BeNumerically("~", bufferWait, bufferWait/2))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		start = time.Now()
		Expect(newBufferAccount(b).reserve(ctx, 1, time.Now)).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", bufferWait))
		Expect(a.held).To(BeZero())
	})

	// Guards against a request that sleeps through the release of the space that it waits for.
	It("gives a waiting request the space that another one releases", func() {
		b := newBufferBudget(10)
		first, second := newBufferAccount(b), newBufferAccount(b)
		first.add(10)
		time.AfterFunc(bufferWait/10, first.release)
		Expect(second.reserve(context.Background(), 8, time.Now)).To(BeTrue())
		Expect(second.waitLeft).To(BeNumerically(">", 0))
		second.release()
		Expect(b.stats()).To(Equal(map[string]int64{"now": 0, "peak": 10, "limit": 10}))
	})
})

var _ = Describe("an event without an end", func() {
	// Guards against an upstream that makes the gateway buffer an event of any length.
	It("is forwarded as it comes once it is longer than what is buffered of an event", func() {
		e := &eventSplitter{}
		sent := "id: 1\ndata: a\n\ndata: " + strings.Repeat("x", maxPartialEvent)
		got := string(e.feed([]byte(sent), true)) + string(e.feed([]byte("yz"), true))
		Expect(got == sent+"yz").To(BeTrue(), "%d bytes of %d", len(got), len(sent)+2)
		Expect(e.partialEvent).To(BeEmpty())
		Expect(e.unsplit).To(BeTrue())
	})
})

var _ = DescribeTable("whether a cut-off answer had stayed unread is judged by the times of writes and reads",
	func(unread bool, play func(c *callerPace)) {
		c := &callerPace{}
		play(c)
		Expect(c.isUnread()).To(Equal(unread))
	},
	Entry("one long write", true, func(c *callerPace) { c.recordWrite(2 * unreadPause) }),
	Entry("many short blocked writes, with buffered data read in between", true, func(c *callerPace) {
		for range 20 {
			c.recordWrite(unreadPause / 10)
			c.recordRead(time.Millisecond)
		}
	}),
	Entry("writes that are not blocked", false, func(c *callerPace) {
		for range 10000 {
			c.recordWrite(blockedWrite / 2)
		}
	}),
	Entry("a silence of the upstream after the pause", false, func(c *callerPace) {
		c.recordWrite(10 * unreadPause)
		c.recordRead(catchUpWait)
	}),
	Entry("events at the upstream's pace after the pause", false, func(c *callerPace) {
		c.recordWrite(10 * unreadPause)
		for range 40 {
			c.recordRead(catchUpWait / 30)
			c.recordWrite(time.Microsecond)
		}
	}))
