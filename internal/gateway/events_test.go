package gateway

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A stream that is cut at any byte and continued by any number of attempts, each from some event on that the caller has
// or from the next one, reaches the caller in order, each event once.
func TestEventsOfAnyAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var all []string
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			data := rapid.StringMatching(`[a-z :]{0,20}`).Draw(t, "data")
			all = append(all, fmt.Sprintf("id: %d%sdata: %s%s%s", n+1, end, data, end, end))
		}
		whole := strings.Join(all, "")
		var e events
		var got strings.Builder
		for range rapid.IntRange(0, 6).Draw(t, "attempts that are cut") {
			e.restart()
			from := rapid.IntRange(0, passedOf(&e)).Draw(t, "from")
			rest := strings.Join(all[from:], "")
			feedInPieces(t, &e, &got, rest[:rapid.IntRange(0, len(rest)).Draw(t, "cut")])
			if !strings.HasPrefix(whole, got.String()) {
				t.Fatalf("the caller got %q of %q", got.String(), whole)
			}
		}
		e.restart()
		feedInPieces(t, &e, &got, strings.Join(all[passedOf(&e):], ""))
		if got.String() != whole || e.partial() || e.passed != len(all) {
			t.Fatalf("the caller got %q of %q, %d events", got.String(), whole, e.passed)
		}
	})
}

// passedOf is the id of the last event that was passed on, which counts from 1.
func passedOf(e *events) int {
	n := 0
	_, _ = fmt.Sscan(e.last, &n)
	return n
}

// feedInPieces feeds bytes as they may come from the network.
func feedInPieces(t *rapid.T, e *events, got *strings.Builder, s string) {
	for s != "" {
		n := rapid.IntRange(1, len(s)).Draw(t, "piece")
		got.Write(e.feed([]byte(s[:n]), true))
		s = s[n:]
	}
}
