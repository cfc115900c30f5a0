package records

import (
	"errors"
	"math"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// takeTopic takes what an answer brings of one topic, if that is fresh enough: a source may have one topic and lack
// another, which is to be had elsewhere.
func (f *Follower) takeTopic(i int, t *pb.TopicChanges, address string, answered time.Time) error {
	if t.GetReading().GetFirst() {
		// The source has numbered no change yet: those from the first one on will be no whole.
		f.from[i] = askWhole
		return nil
	}
	if fresh := f.usable(f.logs[i], t) == nil; !fresh {
		return nil
	}
	taken, err := f.take(f.logs[i], t, answered)
	if errors.Is(err, errNoBase) {
		// No fault of the source: this process has read other records meanwhile.
		f.log.Info().Err(err).Str("source", address).Msg("records are asked for as a whole")
		f.from[i] = askWhole
		return nil
	}
	if err != nil {
		return err
	}
	f.from[i] = t.GetFrom()
	if !taken {
		f.log.Info().Str("source", address).Str("topic", t.GetTopic()).Uint64("gap_from", id.Position(t.GetGapFrom()).Offset()).Uint64("era", id.Position(t.GetGapFrom()).Era()).
			Msg("records are asked for as a whole: this process has read further than the source had")
		f.from[i] = askWhole
	}
	return nil
}

// compare asks for a whole topic where the source holds other records although it has read just as far: a word that was
// lost on the way would otherwise be missing for good.
func (f *Follower) compare(address string, a *pb.FollowResponse) {
	now := f.now()
	for i, t := range a.GetTopics() {
		if t.Digest == nil || !f.logs[i].Differs(id.Position(t.GetNext()), t.GetDigest()) || now.Before(f.wholeAgain[t.GetTopic()]) {
			continue
		}
		f.vars.Add("differed", 1)
		f.log.Warn().Str("source", address).Str("topic", t.GetTopic()).Uint64("next", id.Position(t.GetNext()).Offset()).Uint64("era", id.Position(t.GetNext()).Era()).
			Msg("the source holds other records; they are asked for as a whole")
		f.from[i], f.wholeAgain[t.GetTopic()] = askWhole, now.Add(differPause)
	}
}

// known says whether an answer is of a source that does not follow this process, and has the topics that were asked for.
func (f *Follower) known(a *pb.FollowResponse) error {
	if o := a.GetOrigin(); o != "" && o == f.self {
		return trace.Wrap(errOwn)
	}
	if len(a.GetTopics()) != len(f.logs) {
		return trace.Wrap(errStale, "%d of %d topics", len(a.GetTopics()), len(f.logs))
	}
	for i, t := range a.GetTopics() {
		if t.GetTopic() != f.logs[i].topic.Name {
			return trace.Wrap(errStale, "topic %s", t.GetTopic())
		}
	}
	return nil
}

// check says whether an answer has all topics, each fresh enough or being read.
func (f *Follower) check(a *pb.FollowResponse) error {
	if err := f.known(a); err != nil {
		return err
	}
	for i, t := range a.GetTopics() {
		if err := f.usable(f.logs[i], t); err != nil {
			return err
		}
	}
	return nil
}

// neverReadMs is the age in ms that a process gives for a topic that it has never read.
const neverReadMs = math.MaxInt64 / int64(time.Millisecond)

// usable says whether what an answer has of a topic is fresh enough, or is being read.
func (f *Follower) usable(l *Log, t *pb.TopicChanges) error {
	if r := t.GetReading(); r != nil {
		if r.GetQuietMs() >= quietMost.Milliseconds() {
			return trace.Wrap(errStale, "the reading of topic %s stands still at %d bytes", t.GetTopic(), r.GetBytes())
		}
		return nil
	}
	if t.GetAgeMs() >= neverReadMs {
		return trace.Wrap(errStale, "topic %s, not read yet", t.GetTopic())
	}
	age := time.Duration(t.GetAgeMs()) * time.Millisecond
	if age < 0 || age >= f.ageMost(l) {
		return trace.Wrap(errStale, "topic %s, age %v", t.GetTopic(), age)
	}
	return nil
}

// ageMost is the greatest age of records that will do. A peer follows a gateway in its turn, so that its records are
// older than that one's by up to the wait of a question, and it serves only until a gateway is known here.
func (f *Follower) ageMost(l *Log) time.Duration {
	if f.viaPeer {
		return slowMost
	}
	return l.ageMost()
}

// take merges what a source tells of a topic; it answered at the moment given or later.
func (f *Follower) take(l *Log, t *pb.TopicChanges, answered time.Time) (bool, error) {
	now := f.now()
	b := Batch{
		Snapshot: t.GetWhole(), Next: id.Position(t.GetNext()),
		ConfirmedAt: now.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond),
		GraceUntil:  now.Add(time.Duration(t.GetGraceMs()) * time.Millisecond),
		CaughtUpAt:  before(answered, t.SettledMs),
		FirstReadAt: before(answered, t.BeganMs),
		HasGap:      t.GapFrom != nil,
		GapFrom:     id.Position(t.GetGapFrom()),
	}
	if n := id.Position(t.GetReturnedNext()); n > 0 {
		// A source that does not say how far it had read before may have read all of this then.
		b.OutageEnd = outageEnd{at: before(answered, t.ReturnedMs), next: n}
	}
	for _, r := range t.GetRecords() {
		v, err := l.valueOf(r)
		if err != nil {
			return false, err
		}
		d := dating.TimeBounds{After: before(answered, r.AbsentMs), KnownAt: before(now, r.HadMs), Source: dating.SourceFromProto(r.GetOrigin())}
		b.Records = append(b.Records, Record{Key: r.GetKey(), Value: v, Position: id.Position(r.GetOffset()), TimeBounds: d})
	}
	return l.Merge(b), nil
}

// before is the moment an age before another; zero where the age is not known.
func before(t time.Time, age *int64) time.Time {
	if age == nil || *age < 0 {
		return time.Time{}
	}
	return t.Add(-time.Duration(*age) * time.Millisecond)
}

// errNoBase says that a patch builds on a value that this process does not have.
var errNoBase = errors.New("the record that a patch builds on is not there")

// valueOf unpacks a value, and keeps an empty one apart from none.
func (l *Log) valueOf(r *pb.RelayedRecord) ([]byte, error) {
	switch {
	case r.GetDropped():
		return nil, nil
	case r.GetPatched():
		at := id.Position(r.GetBase())
		base := l.valueAt(r.GetKey(), at)
		if base == nil {
			return nil, trace.Wrap(errNoBase, "key %s, offset %s", r.GetKey(), at)
		}
		return unpack(r.GetValue(), base)
	case r.GetPacked():
		return unpack(r.GetValue(), nil)
	case r.GetValue() == nil:
		return []byte{}, nil
	default:
		return r.GetValue(), nil
	}
}
