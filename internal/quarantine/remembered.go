package quarantine

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/reports"
)

// maxEvidence limits the crashes, newest first, that a gateway sends to a stager that has started.
const maxEvidence = maxCounted

// timeOf returns the time of something of a given age.
func (l *SuspectTracker) timeOf(ageMs uint32) time.Time {
	return l.now().Add(-time.Duration(ageMs) * time.Millisecond)
}

// ageOf returns the age of something in ms.
func (l *SuspectTracker) ageOf(at time.Time) uint32 {
	return uint32(l.now().Sub(at).Milliseconds())
}

// evidence lists the newest crashes that nothing held explains, with the requests and parts that may be the cause, and the
// suspected parts that are unlikely to be.
func (l *SuspectTracker) evidence() *pb.CrashNews {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := &pb.CrashNews{}
	for i := len(l.crashes) - 1; i >= 0 && len(n.GetRemembered()) < maxEvidence; i-- {
		e := l.crashes[i]
		if l.now().Sub(e.recordedAt) >= reports.CrashMemoryTTL {
			break
		}
		if r := e.suspectedRequests(); !e.explained && len(r) > 0 {
			n.Remembered = append(n.Remembered, &pb.UpstreamEnd{Start: e.incarnation.toProto(), Requests: inFlightToProto(r), AgeMs: l.ageOf(e.recordedAt)})
		}
	}
	for f, s := range l.suspects {
		if at, ok := l.written.servedAt[f]; ok && s.sharedUnlikely {
			n.Answered = append(n.Answered, &pb.RememberedAnswer{Fingerprint: f[:], Written: true, AgeMs: l.ageOf(at)})
		}
	}
	return n
}

// suspectedRequests lists the requests at a crash that have not been cleared, without parts that have.
func (e *recordedCrash) suspectedRequests() (l []InFlightRequest) {
	for f, p := range e.present {
		if p.part || !e.isEvidence(f) {
			continue
		}
		r := InFlightRequest{Fingerprint: f, Organisation: p.organisation, Attempt: p.attempt, Alone: p.alone}
		for _, u := range e.unwritten {
			if u.fingerprint != f {
				continue
			}
			if u.beginning {
				r.Progress = Beginning
			}
			for _, o := range u.parts {
				if e.isEvidence(o) {
					r.Parts = append(r.Parts, o)
				}
			}
		}
		l = append(l, r)
	}
	return l
}

// clearAnswered clears what has been answered since a crash that is remembered; the caller holds the lock.
func (l *SuspectTracker) clearAnswered(e *recordedCrash) {
	for f := range e.present {
		if l.served.servedAt[f].After(e.recordedAt) || l.servedElsewhere.servedAt[f].After(e.recordedAt) {
			l.clearCrash(f, e)
		}
	}
}

// clearCrash clears a request or part of one crash; the caller holds the lock.
func (l *SuspectTracker) clearCrash(f Fingerprint, e *recordedCrash) {
	e.cleared[f], e.causes = struct{}{}, nil
	l.removeEvidence(f, e)
}

// applyRemembered notes that another gateway has served a request or part, or that an answer was written on it, some time ago.
func (l *SuspectTracker) applyRemembered(a *pb.RememberedAnswer) {
	f, err := FromBytes(a.GetFingerprint())
	if err != nil {
		l.vars.Add("malformed", 1)
		return
	}
	at := l.timeOf(a.GetAgeMs())
	l.mu.Lock()
	defer l.mu.Unlock()
	// Until this gateway has served the part itself, this is what it knows of its usual answers.
	l.noteWritten(f, at)
	if a.GetWritten() {
		return
	}
	l.servedElsewhere.addAt(f, at)
	for _, e := range l.crashes {
		if e.present[f] != nil && e.recordedAt.Before(at) {
			l.clearCrash(f, e)
		}
	}
	l.undecided = true
	l.updateWatching()
}
