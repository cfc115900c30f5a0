package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/spec"
)

func TestConfigLog(t *testing.T) {
	spec.Run(t, "The configuration log")
}

// fakeLog is an in-memory log of the platform. A call fails when the function fail returns true.
type fakeLog struct {
	mu      sync.Mutex
	first   id.Offset
	records [][]byte
	fail    func() bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{first: 1, fail: func() bool { return false }}
}

func (f *fakeLog) append(_ context.Context, data []byte) (id.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail() {
		return 0, platform.ErrUnavailable
	}
	f.records = append(f.records, data)
	if f.fail() {
		return 0, platform.ErrUnavailable
	}
	return f.first + id.Offset(len(f.records)) - 1, nil
}

func (f *fakeLog) read(_ context.Context, from id.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := platform.Batch{First: f.first, Next: f.first + id.Offset(len(f.records))}
	if f.fail() {
		return b, platform.ErrUnavailable
	}
	if from < f.first {
		return b, platform.ErrOffsetExpired
	}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, &pb.LogRecord{Offset: uint64(o), Data: f.records[o-f.first]})
	}
	return b, nil
}

// expire removes the records before an offset.
func (f *fakeLog) expire(before id.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = f.records[before-f.first:]
	f.first = before
}

func newTail(f *fakeLog) (*Tail, *Store) {
	s := NewStore(func(kernel.Time) {})
	return NewTail(s, &log.Logger{Level: log.PanicLevel}, f.read, func(context.Context) error { return platform.ErrUnavailable }), s
}

func putOrganisationChange(i int) *pb.Change {
	name := fmt.Sprintf("o%d", i)
	return &pb.Change{ChangeId: name, Organisation: name, Operation: &pb.Change_PutOrganisation{
		PutOrganisation: &pb.PutOrganisation{Organisation: &pb.Organisation{Id: name}},
	}}
}

var _ = Describe("a reader", func() {
	ctx := context.Background()

	It("starts from the newest snapshot whose next record is still in the log", func() {
		f := newFakeLog()
		writer, full := newTail(f)
		for i := range 10 {
			data, _ := proto.Marshal(&pb.Record{Body: &pb.Record_Change{Change: putOrganisationChange(i)}})
			_, _ = f.append(ctx, data)
			if i == 4 {
				Expect(writer.readOnce(ctx)).To(Succeed())
				snapshot, _ := proto.Marshal(&pb.Record{Body: &pb.Record_Snapshot{Snapshot: full.State().Snapshot()}})
				_, _ = f.append(ctx, snapshot)
			}
		}
		Expect(writer.readOnce(ctx)).To(Succeed())
		f.expire(6)
		reader, s := newTail(f)
		Expect(reader.readOnce(ctx)).To(Succeed())
		Expect(s.Ready()).To(BeTrue())
		Expect(proto.Equal(s.State().Snapshot(), full.State().Snapshot())).To(BeTrue())
	})

	It("is not ready if the oldest records have expired and no snapshot replaces them", func() {
		f := newFakeLog()
		for i := range 5 {
			data, _ := proto.Marshal(&pb.Record{Body: &pb.Record_Change{Change: putOrganisationChange(i)}})
			_, _ = f.append(ctx, data)
		}
		f.expire(3)
		reader, s := newTail(f)
		Expect(reader.readOnce(ctx)).To(MatchError(ErrNoSnapshot))
		Expect(s.NotReady()).NotTo(BeEmpty())
	})
})

var _ = Describe("a change", func() {
	It("is applied once and returns its outcome, though calls and responses get lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFakeLog()
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			f.fail = func() bool { return random.IntN(4) == 0 }
			tail, s := newTail(f)
			reading, end := context.WithCancel(context.Background())
			done := make(chan struct{})
			defer func() { end(); <-done }()
			go func() {
				defer close(done)
				for reading.Err() == nil {
					_ = tail.readOnce(reading)
					time.Sleep(20 * time.Microsecond)
				}
			}()
			c := NewChangeWriter(s, f.append)
			c.retry = func() <-chan time.Time { return time.After(20 * time.Microsecond) }
			for i := range rapid.IntRange(1, 3).Draw(t, "changes") {
				ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
				o, err := c.Submit(ctx, putOrganisationChange(i))
				stop()
				if err != nil || !o.GetAccepted() {
					t.Fatalf("change %d: %v", i, err)
				}
				if got := s.State().Organisation(id.Organisation(fmt.Sprintf("o%d", i))).GetRevision(); got != o.GetOffset() {
					t.Fatalf("in force at %d, answered %d", got, o.GetOffset())
				}
			}
		})
	})
})
