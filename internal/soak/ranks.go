package soak

import (
	"net/http"
	"strings"
	"time"
)

const (
	// maxRefusalDelay is the time in which a gateway refuses a request that it offers to no upstream. Asking two rounds of
	// stagers and those of another failure domain for reservations takes at most 90 ms.
	maxRefusalDelay = 250 * time.Millisecond
	// maxRankExcess is how much larger the refused share of the most urgent rank may be than that of the least urgent one.
	// They are compared from minRankRequests requests of each on.
	maxRankExcess, minRankRequests = 0.05, 40
	// bulkPriority and labPriority are the priorities of the less urgent route and organisation; those of the others are 0.
	bulkPriority, labPriority = 2, 1
	// The API keys of the two organisations.
	gymKey, labKey = "k", "l"
	// mostUrgent and leastUrgent are the Priority headers of the first and the last rank.
	mostUrgent, leastUrgent = "0", "3"
)

// queuePriorities are the Priority headers of requests at engines, by key and path. The organisation takes precedence.
var queuePriorities = map[string]string{
	gymKey + chatPath: mostUrgent, gymKey + bulkPath: "1", labKey + chatPath: "2", labKey + bulkPath: leastUrgent,
	gymKey + longChatPath: mostUrgent, labKey + longChatPath: "2",
}

// queuePriority returns the Priority header of a request at engines, or "". Clubs have the priority of the first organisation.
func queuePriority(key, path string) string {
	if strings.HasPrefix(key, clubKeyPrefix) {
		key = gymKey
	}
	return queuePriorities[key+path]
}

// ownPriorities are the Priority headers that callers send: one that is valid at upstreams, one that is not, and none.
var ownPriorities = [...]string{"0", "77", ""}

// The prefixes of the counters of requests by their priority, while the fleet was healthy.
const countSentToHealthy, countRefusedByHealthy = "sent to a healthy fleet with priority ", "refused by a healthy fleet with priority "

// countRank counts a request that is sent to a healthy fleet, or then refused by one: nothing that streams depend on has had
// a fault within settleTime. The caller holds the lock.
func (b *History) countRank(r *request) {
	now := b.now()
	if r.priority == "" || r.crashesUpstreams || r.long || b.isStalled(now) || !b.noFault(now.Add(-settleTime), now, b.streamTargets...) {
		return
	}
	if r.refused == 0 {
		b.counts[countSentToHealthy+r.priority]++
		r.countsInRank = true
	} else if r.countsInRank {
		b.counts[countRefusedByHealthy+r.priority]++
	}
}

// CheckRanks checks that the most urgent requests were not refused more often than the least urgent ones.
func (b *History) CheckRanks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, least := b.counts[countSentToHealthy+mostUrgent], b.counts[countSentToHealthy+leastUrgent]
	if most < minRankRequests || least < minRankRequests {
		b.counts["too few requests to compare ranks"]++
		return
	}
	mostRefused, leastRefused := b.counts[countRefusedByHealthy+mostUrgent], b.counts[countRefusedByHealthy+leastUrgent]
	if float64(mostRefused)/float64(most) > float64(leastRefused)/float64(least)+maxRankExcess {
		b.recordViolation("rank", "callers", "", "", "%d of %d of the most urgent requests were refused, and %d of %d of the least urgent ones",
			mostRefused, most, leastRefused, least)
	}
}

// checkRefusalTime checks that a request which reached no upstream was refused as soon as it was complete. The caller holds
// the lock.
func (b *History) checkRefusalTime(r *request, id string, status int) {
	now := b.now()
	late := now.Sub(r.whole)
	if status != http.StatusServiceUnavailable || r.whole.IsZero() || len(r.reached) > 0 || r.offered || late <= maxRefusalDelay {
		return
	}
	excused := b.isStalled(now) || !b.noFault(r.sent.Add(-settleTime), now, r.gateway.name, machineTarget)
	b.violateUnless(excused, "late-refusal", r.gateway.name, id, "", "refused %.3f s after it was complete, without an attempt at an upstream", late.Seconds())
}

// RecordOffered records the request whose header a faulty link to an upstream has received and delays or discards.
func (b *History) RecordOffered(data []byte) {
	_, after, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		r.offered = true
	}
}

// RecordPriority checks that a request reaches an upstream with the Priority header of its rank, not with its caller's.
func (b *History) RecordPriority(id string, values []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, got := b.requests[id], strings.Join(values, ",")
	if r != nil && got != r.priority {
		b.recordViolation("priority", r.gateway.name, id, "priority "+got, "reached an upstream with the Priority %q, want %q; its caller sent %q", got, r.priority, r.ownPriority)
	}
}
