package records

import (
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// turnState is where a process is with reading a topic whole.
type turnState int

const (
	turnNone turnState = iota
	turnClaimed
	turnReading
)

const (
	// claimWait bounds the answers to a claim: the way there and back takes 1 ms, and a process that is short of processor time
	// some tens. Who gives none by then is taken to agree, so that a frozen process holds nobody up for longer.
	claimWait = 150 * time.Millisecond
	// rivalFor is how long a process names those that have claimed to others that do: well beyond a reading of 0.12 s
	// on a free link.
	rivalFor = 2 * time.Second
	// mostRivals bounds them; of more that start at the same time the first ones are named, as one of these reads.
	mostRivals = 16
	// quietMost is how long a reading may stand still before others take it over. The store's answers take 0.3 s on a slow day,
	// and a link shared with weights holds one up for as long again.
	quietMost = 800 * time.Millisecond
)

// turn is a process's part in reading a topic whole, which one process of a failure domain does at a time: all at once,
// they took 3 s over a link that carries one reading in 0.12 s. Whoever is about to read claims the turn first, and
// then asks the others. Of two that claim at the same time at least one learns of the other, as each asks after it has
// claimed, and the one that goes first in the order of sources reads, or the one whose last try at the store has not
// failed, which guards against a store that turns away those that go first. It is safe for concurrent use.
type turn struct {
	self string
	// before says whether a process goes before another one.
	before func(a, b string) bool
	now    func() time.Time

	mu    sync.Mutex
	state turnState
	// failed is true where this process's last try at the store has failed.
	failed bool
	bytes  int64
	// moved is when the last bytes came.
	moved  time.Time
	rivals rivals
}

func newTurn(self string, d id.Domain, now func() time.Time) *turn {
	return &turn{self: self, now: now, rivals: rivals{}, before: func(a, b string) bool {
		l := rendezvous.Order(orderKey+string(d), []id.VM{id.VM(a), id.VM(b)})
		return l[0] == id.VM(a)
	}}
}

// claim begins a claim, and names others that have claimed lately.
func (t *turn) claim(failed bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.failed = turnClaimed, failed
	return t.rivals.but(t.self, t.now())
}

// begin makes a claim that nobody has refused a reading. It is false where one that goes before has claimed meanwhile.
func (t *turn) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != turnClaimed {
		return false
	}
	t.state, t.bytes, t.moved = turnReading, 0, t.now()
	return true
}

// progress notes bytes that have come.
func (t *turn) progress(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes += int64(bytes)
	if bytes > 0 {
		t.moved = t.now()
	}
}

// end is the end of a claim or a reading.
func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = turnNone
}

// reading says whether this process reads the topic whole.
func (t *turn) reading() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == turnReading
}

// tell is what followers are told of a reading under way; nil is none.
func (t *turn) tell(first bool) *pb.Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != turnReading {
		return nil
	}
	return &pb.Reading{Bytes: t.bytes, QuietMs: t.now().Sub(t.moved).Milliseconds(), First: first}
}

// answer is what this process says to another one's claim.
func (t *turn) answer(claimant string, failed bool) *pb.ClaimAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	switch {
	case t.state == turnReading && now.Sub(t.moved) < quietMost:
		return &pb.ClaimAnswer{Refused: true, Follow: t.self}
	case t.state == turnClaimed && t.goesBefore(claimant, failed):
		return &pb.ClaimAnswer{Refused: true, Follow: t.self}
	}
	if t.state == turnClaimed {
		t.state = turnNone
	}
	// Whether one of them reads is for it to say.
	l := t.rivals.but(claimant, now)
	t.rivals.note(claimant, now)
	return &pb.ClaimAnswer{Rivals: l}
}

// goesBefore says whether this process's claim goes before another one's; the caller holds the lock.
func (t *turn) goesBefore(claimant string, failed bool) bool {
	if t.failed != failed {
		return failed
	}
	return t.before(t.self, claimant)
}

// rivals are processes that have claimed lately, with the moment until which they count.
type rivals map[string]time.Time

// note takes a claim.
func (r rivals) note(claimant string, now time.Time) {
	if _, known := r[claimant]; known || len(r) < mostRivals {
		r[claimant] = now.Add(rivalFor)
	}
}

// but lists them without one.
func (r rivals) but(one string, now time.Time) (l []string) {
	for a, until := range r {
		switch {
		case now.After(until):
			delete(r, a)
		case a != one:
			l = append(l, a)
		}
	}
	return l
}
