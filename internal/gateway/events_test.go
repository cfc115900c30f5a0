package gateway

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A stream that is cut at any byte and continued by any number of attempts, each from any event up to the one after
// the caller's last, reaches the caller in order, with each event once.
func TestEventsOfAnyAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var all []string
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			data := rapid.StringMatching(`[a-z :]{0,20}`).Draw(t, "data")
			all = append(all, fmt.Sprintf("id: %d%sdata: %s%s%s", n+1, end, data, end, end))
		}
		whole := strings.Join(all, "")
		var e eventSplitter
		var got strings.Builder
		for range rapid.IntRange(0, 6).Draw(t, "interrupted attempts") {
			e.dropPartial()
			from := rapid.IntRange(0, lastForwardedID(&e)).Draw(t, "from")
			rest := strings.Join(all[from:], "")
			feedInChunks(t, &e, &got, rest[:rapid.IntRange(0, len(rest)).Draw(t, "cut")])
			if !strings.HasPrefix(whole, got.String()) {
				t.Fatalf("the caller got %q of %q", got.String(), whole)
			}
		}
		e.dropPartial()
		feedInChunks(t, &e, &got, strings.Join(all[lastForwardedID(&e):], ""))
		if got.String() != whole || e.hasPartial() || e.forwarded != len(all) {
			t.Fatalf("the caller got %q of %q, %d events", got.String(), whole, e.forwarded)
		}
	})
}

// lastForwardedID returns the ID of the last event that was forwarded; IDs count from 1.
func lastForwardedID(e *eventSplitter) int {
	n := 0
	_, _ = fmt.Sscan(e.lastID, &n)
	return n
}

// feedInChunks feeds bytes in chunks of random size, as they may arrive from the network.
func feedInChunks(t *rapid.T, e *eventSplitter, got *strings.Builder, s string) {
	for s != "" {
		n := rapid.IntRange(1, len(s)).Draw(t, "piece")
		got.Write(e.feed([]byte(s[:n]), true))
		s = s[n:]
	}
}
