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

// positionInEra returns the position of an offset in an era.
func positionInEra(era, offset uint64) id.Position {
	p, err := id.PositionAt(era, offset)
	Expect(err).NotTo(HaveOccurred())
	return p
}

// versionTopic is a topic whose values are version numbers, which only rise.
func versionTopic(got *string) Topic {
	return Topic{
		Name:  "op",
		Apply: func(r Record) error { *got = string(r.Value); return nil },
		Version: func(r Record) uint64 {
			n, _ := strconv.ParseUint(string(r.Value), 10, 64)
			return n
		},
	}
}

var _ = Describe("a value whose version only rises", func() {
	var got string
	var l *Log
	BeforeEach(func() {
		l = NewLog(versionTopic(&got), facts.New(time.Now), time.Now, silentLogger)
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "config", Value: []byte("5"), Position: 6}}, Next: 7, ConfirmedAt: time.Now()})
	})

	DescribeTable("does not fall when the store is restored from an older copy, and rises again later", func(older ...Record) {
		l.Merge(Batch{Snapshot: true, Records: older, Next: positionInEra(1, 3), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("5"))
		next, _ := l.Position()
		Expect(next).To(Equal(positionInEra(1, 3)))
		l.Merge(Batch{Records: []Record{{Key: "config", Value: []byte("5"), Position: positionInEra(1, 3)}}, Next: positionInEra(1, 4), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("5"))
		l.Merge(Batch{Records: []Record{{Key: "config", Value: []byte("8"), Position: positionInEra(1, 4)}}, Next: positionInEra(1, 5), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("8"))
	},
		Entry("with an older value", Record{Key: "config", Value: []byte("2"), Position: 1<<40 + 1}),
		Entry("that lacks the key"))

	It("is replaced by a newer value at the same offset", func() {
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "config", Value: []byte("8"), Position: positionInEra(1, 6)}}, Next: positionInEra(1, 9), ConfirmedAt: time.Now()})
		Expect(got).To(Equal("8"))
	})
})

var _ = Describe("an upstream after the store was restored from an older copy", func() {
	var now time.Time
	var f *facts.Facts
	var l *Log
	clock := func() time.Time { return now }
	merge := func(snapshot bool, next id.Position, records ...Record) {
		l.Merge(Batch{Snapshot: snapshot, Records: records, Next: next, ConfirmedAt: now, FromStore: true, Uninterrupted: true})
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
		}}, f, clock, silentLogger)
		merge(true, 9, entry("ready", 3))
	})

	It("is still leaving if the copy has it as ready", func() {
		merge(false, 10, entry("leaving", 9))
		merge(true, positionInEra(1, 4), entry("ready", positionInEra(1, 3)))
		Expect(f.Instances()[0].Leaving).To(BeTrue())
	})

	It("is leaving by a record at the offset of the one held", func() {
		merge(true, positionInEra(1, 4), entry("leaving", positionInEra(1, 3)))
		Expect(f.Instances()[0].Leaving).To(BeTrue())
	})

	It("has the grace period of an outage to be written again if the copy lacks it", func() {
		merge(true, positionInEra(1, 2))
		now = now.Add(1900 * time.Millisecond)
		merge(false, positionInEra(1, 2))
		Expect(f.Instances()).To(HaveLen(1))
		merge(false, positionInEra(1, 3), entry("ready", positionInEra(1, 2)))
		now = now.Add(time.Minute)
		merge(false, positionInEra(1, 3))
		Expect(f.Instances()).To(HaveLen(1))
	})

	It("is removed after that grace period", func() {
		merge(true, positionInEra(1, 2))
		now = now.Add(2100 * time.Millisecond)
		merge(false, positionInEra(1, 2))
		Expect(f.Instances()).To(BeEmpty())
	})

	It("has the grace period also at a follower with fresh records throughout", func() {
		source := newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{entry("ready", 3)}, Next: 9, ConfirmedAt: now})
		follower := &replica{Log: l}
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: positionInEra(1, 2), ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(f.Instances()).To(HaveLen(1))
		next, _ := l.Position()
		Expect(next).To(Equal(positionInEra(1, 2)))
	})
})

var _ = Describe("a reader of a store whose answers contradict each other", func() {
	// run starts a reader, and returns its offset after a time.
	run := func(s *Store, d time.Duration) id.Position {
		p, _ := startProcess("a", 0, *s, noPeers, func(context.Context, *process) {})
		time.Sleep(d)
		next, _ := p.service.logs[0].Position()
		return next
	}
	probe := func(context.Context, string, id.Position) error { return nil }

	It("backs off between snapshots if the store never serves records from the offset that it returned", func() {
		var snapshots atomic.Int32
		run(&Store{
			Probe: probe,
			Snapshot: func(_ context.Context, topic string, _ Progress) ([]Record, id.Position, error) {
				if topic == "op" {
					snapshots.Add(1)
				}
				return nil, 5, nil
			},
			Read: func(context.Context, string, id.Position, time.Duration) (ReadResult, error) {
				return ReadResult{}, platform.ErrOffsetExpired
			},
		}, 3*time.Second)
		Expect(snapshots.Load()).To(BeNumerically("<=", 5))
	})

	It("ignores answers of an earlier era, and polls no faster than during an outage", func() {
		var calls, era atomic.Int64
		era.Store(3)
		at := func() id.Position { return id.Position(era.Load()<<40 + 5) }
		go func() {
			time.Sleep(500 * time.Millisecond)
			era.Store(2)
		}()
		next := run(&Store{
			Probe: probe,
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
		Expect(next).To(Equal(positionInEra(3, 5)))
		Expect(calls.Load()).To(BeNumerically("<=", 70))
	})
})
