package quarantine

import (
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// answerBatchDelay is how long answers on parts that were present at a crash are collected before stagers are sent them.
	answerBatchDelay = 200 * time.Millisecond
	// maxAnswerBatch limits the answers of one batch, which then fits into a packet.
	maxAnswerBatch = 48
)

// answerBatch collects answers on parts that were present at a crash, and sends them to stagers that remember crashes. It is
// safe for concurrent use.
type answerBatch struct {
	send    func(n *pb.CrashNews)
	after   func(d time.Duration, f func())
	mu      sync.Mutex
	pending []*pb.RememberedAnswer
}

func newAnswerBatch(send func(n *pb.CrashNews), after func(d time.Duration, f func())) *answerBatch {
	return &answerBatch{send: send, after: after}
}

// add adds parts that were served, and parts on which answers were written. Those beyond maxAnswerBatch are dropped.
func (b *answerBatch) add(served, written []Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.after(answerBatchDelay, b.flush)
	}
	for _, f := range served {
		b.addOne(&pb.RememberedAnswer{Fingerprint: f[:]})
	}
	for _, f := range written {
		b.addOne(&pb.RememberedAnswer{Fingerprint: f[:], Written: true})
	}
}

// addOne adds an answer; the caller holds the lock.
func (b *answerBatch) addOne(a *pb.RememberedAnswer) {
	if len(b.pending) < maxAnswerBatch {
		b.pending = append(b.pending, a)
	}
}

func (b *answerBatch) flush() {
	b.mu.Lock()
	l := b.pending
	b.pending = nil
	b.mu.Unlock()
	b.send(&pb.CrashNews{Answered: l, RememberOnly: true})
}
