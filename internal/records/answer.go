package records

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// mergeTopic merges the part of an answer on one topic, if that is fresh enough. A source may have one topic and lack
// another, which this process then gets elsewhere.
func (f *Follower) mergeTopic(ctx context.Context, i int, t *pb.TopicChanges, address string, answeredAt time.Time) error {
	f.logs[i].noteSourceReading(t.GetReading())
	if t.GetReading().GetFirst() {
		// The source has not numbered any change yet, so its changes from the first one on would not be complete.
		f.lastChanges[i] = requestSnapshot
		return nil
	}
	if fresh := f.checkTopic(f.logs[i], t) == nil; !fresh {
		return nil
	}
	f.askInPlaceOf(ctx, f.logs[i], t)
	merged, err := f.mergeChanges(f.logs[i], t, answeredAt)
	if errors.Is(err, errNoPatchBase) {
		// Not an error of the source: this process has meanwhile read other records.
		f.log.Info().Err(err).Str("source", address).Msg("requesting a snapshot: the base of a patch is not held here")
		f.lastChanges[i] = requestSnapshot
		return nil
	}
	if err != nil {
		return err
	}
	f.lastChanges[i] = t.GetFrom()
	if !merged {
		f.log.Info().Str("source", address).Str("topic", t.GetTopic()).Uint64("gap_from", id.Position(t.GetGapFrom()).Offset()).Uint64("era", id.Position(t.GetGapFrom()).Era()).
			Msg("requesting a snapshot: this process had read further than the source before the source's gap")
		f.lastChanges[i] = requestSnapshot
	}
	return nil
}

// compareDigests requests a topic's snapshot if the source at the same offset holds other records. Without this, a
// record that was lost on the way would stay missing.
func (f *Follower) compareDigests(address string, a *pb.FollowResponse) {
	now := f.now()
	for i, t := range a.GetTopics() {
		if t.Digest == nil || !f.logs[i].Differs(id.Position(t.GetNext()), t.GetDigest()) || now.Before(f.nextSnapshotAt[t.GetTopic()]) {
			continue
		}
		f.metrics.Add("differed", 1)
		f.log.Warn().Str("source", address).Str("topic", t.GetTopic()).Uint64("next", id.Position(t.GetNext()).Offset()).Uint64("era", id.Position(t.GetNext()).Era()).
			Msg("requesting a snapshot: the source holds other records at the same offset")
		f.lastChanges[i], f.nextSnapshotAt[t.GetTopic()] = requestSnapshot, now.Add(snapshotRetryPause)
	}
}

// checkSource returns an error if the source follows this process, or the answer does not have the requested topics.
func (f *Follower) checkSource(a *pb.FollowResponse) error {
	if origin := a.GetOrigin(); origin != "" && origin == f.self {
		return trace.Wrap(errFollowsSelf)
	}
	if len(a.GetTopics()) != len(f.logs) {
		return trace.Wrap(errStale, "answer with %d of %d topics", len(a.GetTopics()), len(f.logs))
	}
	for i, t := range a.GetTopics() {
		if t.GetTopic() != f.logs[i].topic.Name {
			return trace.Wrap(errStale, "topic %s", t.GetTopic())
		}
	}
	return nil
}

// checkAnswer returns an error unless each topic of an answer is fresh enough or being read.
func (f *Follower) checkAnswer(a *pb.FollowResponse) error {
	if err := f.checkSource(a); err != nil {
		return err
	}
	for i, t := range a.GetTopics() {
		if err := f.checkTopic(f.logs[i], t); err != nil {
			return err
		}
	}
	return nil
}

// neverReadMs is the age in ms that a process reports for a topic that it has never read.
const neverReadMs = math.MaxInt64 / int64(time.Millisecond)

// checkTopic returns an error unless a topic in an answer is fresh enough, or is being read and makes progress.
func (f *Follower) checkTopic(l *Log, t *pb.TopicChanges) error {
	if r := t.GetReading(); r != nil {
		if r.GetQuietMs() >= maxReadStall.Milliseconds() {
			return trace.Wrap(errStale, "reading of topic %s stalled at %d bytes", t.GetTopic(), r.GetBytes())
		}
		return nil
	}
	if t.GetAgeMs() >= neverReadMs {
		return trace.Wrap(errStale, "topic %s, not read yet", t.GetTopic())
	}
	age := time.Duration(t.GetAgeMs()) * time.Millisecond
	if age < 0 || age >= f.maxAge(l) {
		return trace.Wrap(errStale, "topic %s, age %v", t.GetTopic(), age)
	}
	return nil
}

// maxAge returns the maximum age of records accepted from the current source. A peer or a process named in a redirect
// follows another one itself, so its records are older by up to the wait of a request. A gateway does not wait longer for
// a named process than for any other: its turn to take over may come first, and that of a stager comes last.
func (f *Follower) maxAge(l *Log) time.Duration {
	if f.viaPeer || (f.viaRedirect && !slices.Contains(f.gateways(), f.self)) {
		return maxOperatorsAge
	}
	return l.maxAge()
}

// mergeChanges merges a source's changes of a topic. The source answered at the given time or later.
func (f *Follower) mergeChanges(l *Log, t *pb.TopicChanges, answeredAt time.Time) (bool, error) {
	now := f.now()
	b := Batch{
		Snapshot: t.GetWhole(), Next: id.Position(t.GetNext()),
		ConfirmedAt: now.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond),
		GraceUntil:  now.Add(time.Duration(t.GetGraceMs()) * time.Millisecond),
		CaughtUpAt:  timeBefore(answeredAt, t.SettledMs),
		FirstReadAt: timeBefore(answeredAt, t.BeganMs),
		// Counted from the end of the request, so that the period is never taken to be longer.
		AvailableSince: timeBefore(now, t.AvailableMs),
		HasGap:         t.GapFrom != nil,
		GapFrom:        id.Position(t.GetGapFrom()),
	}
	if n := id.Position(t.GetReturnedNext()); n > 0 {
		// Without n, the offset that the source had read up to before the outage, it is unknown which records the outage
		// dates: the source may have read all of these before.
		b.OutageEnd = outageEnd{at: timeBefore(answeredAt, t.ReturnedMs), next: n}
	}
	for _, r := range t.GetRecords() {
		v, err := l.valueOf(r)
		if err != nil {
			return false, err
		}
		d := dating.TimeBounds{After: timeBefore(answeredAt, r.AbsentMs), KnownAt: timeBefore(now, r.HadMs), Source: dating.SourceFromProto(r.GetOrigin())}
		b.Records = append(b.Records, Record{Key: r.GetKey(), Value: v, Position: id.Position(r.GetOffset()), TimeBounds: d})
	}
	return l.Merge(b), nil
}

// timeBefore returns t less an age in ms; zero if the age is unknown.
func timeBefore(t time.Time, age *int64) time.Time {
	if age == nil || *age < 0 {
		return time.Time{}
	}
	return t.Add(-time.Duration(*age) * time.Millisecond)
}

// errNoPatchBase says that this process lacks the value that a patch refers to.
var errNoPatchBase = errors.New("the record that a patch refers to is not held here")

// valueOf decompresses a value, and returns an empty value, not nil, for a key that is not dropped.
func (l *Log) valueOf(r *pb.RelayedRecord) ([]byte, error) {
	switch {
	case r.GetDropped():
		return nil, nil
	case r.GetPatched():
		at := id.Position(r.GetBase())
		base := l.valueAt(r.GetKey(), at)
		if base == nil {
			return nil, trace.Wrap(errNoPatchBase, "key %s, offset %s", r.GetKey(), at)
		}
		return decompress(r.GetValue(), base)
	case r.GetPacked():
		return decompress(r.GetValue(), nil)
	case r.GetValue() == nil:
		return []byte{}, nil
	default:
		return r.GetValue(), nil
	}
}

// valueAt returns the value of a key if its newest record is at the given position, or else nil.
func (l *Log) valueAt(key string, offset id.Position) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil && e.Position == offset {
		return e.Value
	}
	return nil
}
