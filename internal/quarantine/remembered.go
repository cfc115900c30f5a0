package quarantine

import (
	"slices"
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
			n.Remembered = append(n.Remembered, &pb.UpstreamEnd{
				Start: e.incarnation.toProto(), Requests: inFlightToProto(r), AgeMs: l.ageOf(e.recordedAt), Presumed: !e.presumedAt.IsZero(),
			})
		}
	}
	for _, s := range l.suspects {
		for use := range s.sharedUnlikely {
			if at, ok := l.written.servedAt[use]; ok {
				n.Answered = append(n.Answered, &pb.RememberedAnswer{Fingerprint: use[:], Written: true, AgeMs: l.ageOf(at)})
			}
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
		for _, u := range p.uses {
			if !u.cleared {
				l = append(l, e.suspectedRequest(f, u))
			}
		}
	}
	return l
}

func (e *recordedCrash) suspectedRequest(f Fingerprint, u *presentUse) InFlightRequest {
	r := InFlightRequest{Fingerprint: f, Use: u.fingerprint, Organisation: u.organisation, Key: u.key, Alone: u.alone}
	if len(u.attempts) > 0 {
		r.Attempt = u.attempts[0]
	}
	for _, o := range e.unwritten {
		if o.Fingerprint != f || o.use() != u.fingerprint {
			continue
		}
		if o.beginning {
			r.Progress = Beginning
		}
		o.eachPart(func(p, use Fingerprint) {
			if e.isEvidenceOf(p, use) {
				r.Parts, r.PartUses = append(r.Parts, p), append(r.PartUses, use)
			}
		})
	}
	return r
}

// clearAnswered clears what has been answered since a crash that is remembered; the caller holds the lock.
func (l *SuspectTracker) clearAnswered(e *recordedCrash) {
	for use, f := range e.uses() {
		if l.served.servedAt[use].After(e.recordedAt) || l.servedElsewhere.servedAt[use].After(e.recordedAt) {
			l.clearCrash(f, use, e)
		}
	}
}

// clearCrash clears an organisation's use of a request or part of one crash; the caller holds the lock.
func (l *SuspectTracker) clearCrash(f, use Fingerprint, e *recordedCrash) {
	e.present[f].clear(use, false)
	e.causes = nil
	if !e.isEvidence(f) {
		l.removeEvidence(f, e)
	}
}

// applyRemembered notes that another gateway has served a request or part, or that an answer was written on it, some time ago.
func (l *SuspectTracker) applyRemembered(a *pb.RememberedAnswer) {
	use, err := FromBytes(a.GetFingerprint())
	if err != nil {
		l.vars.Add("malformed", 1)
		return
	}
	at := l.timeOf(a.GetAgeMs())
	l.mu.Lock()
	defer l.mu.Unlock()
	// Until this gateway has served the part itself, this is what it knows of its usual answers.
	l.noteWritten(use, at)
	if a.GetWritten() {
		return
	}
	l.servedElsewhere.addAt(use, at)
	for _, f := range slices.Compact([]Fingerprint{l.contents.contentOf(use), use}) {
		for _, e := range l.crashes {
			if e.present[f] != nil && e.recordedAt.Before(at) {
				l.clearCrash(f, use, e)
			}
		}
	}
	l.undecided = true
	l.updateWatching()
}
