package records

import pb "github.com/springrail/springrail/gen/springrail/v1"

// noteSourceReading notes the progress of the source's reading of its first snapshot; nil if it does not read one.
func (l *Log) noteSourceReading(r *pb.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstReading, l.firstReadingAt = r, l.now()
}

// sourceReading returns the progress of the first snapshot that the source of this process reads, as long as this process
// has no records itself; nil if there is none. It lets processes that follow this one wait too.
func (l *Log) sourceReading() *pb.Reading {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.now().Sub(l.firstReadingAt)
	if l.started || l.firstReading == nil || elapsed > longPollWait+longPollSlack {
		return nil
	}
	return &pb.Reading{Bytes: l.firstReading.GetBytes(), QuietMs: l.firstReading.GetQuietMs() + elapsed.Milliseconds(), First: true}
}

// providedByOthers reports whether the records are fresh, or the source reads the topic and makes progress.
func (l *Log) providedByOthers() bool {
	r := l.sourceReading()
	return l.fresh() || (r != nil && r.GetQuietMs() < maxReadStall.Milliseconds())
}
