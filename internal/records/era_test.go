package records

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// inEra is a position that a spec names.
func inEra(era, offset uint64) id.Position {
	p, err := id.PositionAt(era, offset)
	Expect(err).NotTo(HaveOccurred())
	return p
}

// versions is a topic of values that are numbers, which only rise.
func versions(got *string) Topic {
	return Topic{
		Name:  "op",
		Apply: func(r Record) error { *got = string(r.Value); return nil },
		Version: func(r Record) uint64 {
			n, _ := strconv.ParseUint(string(r.Value), 10, 64)
			return n
		},
	}
}

var _ = Describe("a value whose number only rises", func() {
	var got string
	var l *Log
	BeforeEach(func() {
		l = NewLog(versions(&got), facts.New(time.Now), time.Now, quiet)
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "config", Value: []byte("5"), Position: 6}}, Next: 7, ConfirmedAt: time.Now()})
	})

	DescribeTable("does not go back where the store comes back from an older copy, and rises from there", func(older ...Record) {
		l.Merge(Batch{Snapshot: true, Records: older, Next: inEra(1, 3), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("5"))
		next, _ := l.Position()
		Expect(next).To(Equal(inEra(1, 3)))
		l.Merge(Batch{Records: []Record{{Key: "config", Value: []byte("5"), Position: inEra(1, 3)}}, Next: inEra(1, 4), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("5"))
		l.Merge(Batch{Records: []Record{{Key: "config", Value: []byte("8"), Position: inEra(1, 4)}}, Next: inEra(1, 5), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("8"))
	},
		Entry("with an older value", Record{Key: "config", Value: []byte("2"), Position: 1<<40 + 1}),
		Entry("that lacks the key"))

	It("takes a newer value at the very offset of the one held", func() {
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "config", Value: []byte("8"), Position: inEra(1, 6)}}, Next: inEra(1, 9), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("8"))
	})
})

var _ = Describe("an upstream after the store's return from an older copy", func() {
	var now time.Time
	var f *facts.Facts
	var l *Log
	clock := func() time.Time { return now }
	take := func(whole bool, next id.Position, records ...Record) {
		l.Merge(Batch{Snapshot: whole, Records: records, Next: next, ConfirmedAt: now, FromStore: true, Uninterrupted: true})
	}
	entry := func(value string, at id.Position) Record { return Record{Key: "u", Value: []byte(value), Position: at} }
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = facts.New(clock)
		l = NewLog(Topic{Name: "up", KeysAreUpstreams: true, Apply: func(r Record) error {
			if r.Value != nil {
				f.SetInstance(&facts.Instance{ID: "u", Address: "a", ListPosition: r.Position, Leaving: string(r.Value) == "leaving"})
			}
			return nil
		}}, f, clock, quiet)
		take(true, 9, entry("ready", 3))
	})

	It("leaves still where the copy has it as ready", func() {
		take(false, 10, entry("leaving", 9))
		take(true, inEra(1, 4), entry("ready", inEra(1, 3)))
		Expect(f.Instances()[0].Leaving).To(BeTrue())
	})

	It("leaves by a record at the offset of the one held", func() {
		take(true, inEra(1, 4), entry("leaving", inEra(1, 3)))
		Expect(f.Instances()[0].Leaving).To(BeTrue())
	})

	It("has the grace of a return to be written again where the copy lacks it", func() {
		take(true, inEra(1, 2))
		now = now.Add(1900 * time.Millisecond)
		take(false, inEra(1, 2))
		Expect(f.Instances()).To(HaveLen(1))
		take(false, inEra(1, 3), entry("ready", inEra(1, 2)))
		now = now.Add(time.Minute)
		take(false, inEra(1, 3))
		Expect(f.Instances()).To(HaveLen(1))
	})

	It("is gone after that grace", func() {
		take(true, inEra(1, 2))
		now = now.Add(2100 * time.Millisecond)
		take(false, inEra(1, 2))
		Expect(f.Instances()).To(BeEmpty())
	})

	It("has the grace also at a follower that had fresh records all the time", func() {
		source := newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{entry("ready", 3)}, Next: 9, ConfirmedAt: now})
		follower := &replica{Log: l}
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: inEra(1, 2), ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(f.Instances()).To(HaveLen(1))
		next, _ := l.Position()
		Expect(next).To(Equal(inEra(1, 2)))
	})
})

var _ = Describe("a reader of a store whose answers contradict each other", func() {
	// run has a reader read for a time, and returns the number of whole readings and how far it has read.
	run := func(s *Store, d time.Duration) id.Position {
		p, _ := startProcess("a", 0, *s, nobody, func(context.Context, *process) {})
		time.Sleep(d)
		next, _ := p.service.logs[0].Position()
		return next
	}
	answers := func(context.Context, string, id.Position) error { return nil }

	It("reads all again ever more rarely where no position that it is given can be read on from", func() {
		var whole atomic.Int32
		run(&Store{
			Probe: answers,
			Snapshot: func(_ context.Context, topic string, _ Progress) ([]Record, id.Position, error) {
				if topic == "op" {
					whole.Add(1)
				}
				return nil, 5, nil
			},
			Read: func(context.Context, string, id.Position, time.Duration) (ReadResult, error) {
				return ReadResult{}, platform.ErrOffsetExpired
			},
		}, 3*time.Second)
		Expect(whole.Load()).To(BeNumerically("<=", 5))
	})

	It("takes nothing of an earlier era, and asks no faster than a store that is away", func() {
		var calls, era atomic.Int64
		era.Store(3)
		at := func() id.Position { return id.Position(era.Load()<<40 + 5) }
		go func() {
			time.Sleep(500 * time.Millisecond)
			era.Store(2)
		}()
		next := run(&Store{
			Probe: answers,
			Snapshot: func(context.Context, string, Progress) ([]Record, id.Position, error) {
				calls.Add(1)
				return nil, at(), nil
			},
			Read: func(ctx context.Context, _ string, _ id.Position, wait time.Duration) (ReadResult, error) {
				calls.Add(1)
				select {
				case <-ctx.Done():
				case <-time.After(max(wait, 20*time.Millisecond)):
				}
				return ReadResult{Next: at(), End: at()}, nil
			},
		}, 2500*time.Millisecond)
		Expect(next).To(Equal(inEra(3, 5)))
		Expect(calls.Load()).To(BeNumerically("<=", 70))
	})
})
