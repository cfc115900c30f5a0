package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// clubs is the number of organisations besides those of all other requests, each with one key. One more key passes to the next
	// of them with each configuration.
	clubs                      = 9
	clubKeyPrefix, passedOnKey = "club-key-", "club-key-passed-on"
	// manySendersTime is the duration of one step in which several organisations send requests that crash upstreams.
	manySendersTime = 12 * time.Second
	// manySendersInterval is the mean interval at which the requests are sent, and turnTime how long one organisation sends if they
	// follow each other.
	manySendersInterval, turnTime = 120 * time.Millisecond, 1200 * time.Millisecond
	// minPassOn and maxPassOn bound the time between two configurations that pass a key on.
	minPassOn, maxPassOn = time.Second, 4 * time.Second
)

// Who sends the requests of such a step: the organisations in turn, one after the other, or callers whose key passes on, with a
// part of prompts or always the same request.
const (
	inTurn = iota
	oneAfterTheOther
	keyPassesOn
	sameRequestKeyPassesOn
	senderChoices
)

func clubKey(n int) string { return fmt.Sprint(clubKeyPrefix, n) }

// clubOrganisations returns the entries of the clubs in a configuration.
func clubOrganisations(version int) string {
	var b strings.Builder
	for n := range clubs {
		keys := fmt.Sprintf("%q", clubKey(n))
		if n == version%clubs {
			keys += fmt.Sprintf(",%q", passedOnKey)
		}
		fmt.Fprintf(&b, `,{"name":"club%d","apiKeys":[%s]}`, n, keys)
	}
	return b.String()
}

// drawManySenders draws when several organisations send requests that crash upstreams, if that is named, so that the steps of
// other seeds stay the same.
func (p *planner) drawManySenders(allowed []string) {
	if slices.Contains(allowed, doManySenders) {
		p.drawSuccessive(doManySenders, manySendersTime)
	}
}

// sendFromMany sends requests that crash upstreams for the same reason from several organisations, or from callers whose key
// passes from one to another.
func (w *Fleet) sendFromMany(ctx context.Context, s Step) {
	ctx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	who, began := int(s.Selector>>8%senderChoices), time.Now()
	// A part of prompts, or a request that is repeated: crashingRequest draws them by the selector.
	s.Selector = s.Selector/3*3 + 2
	if who == sameRequestKeyPassesOn {
		s.Selector -= 2
	}
	if who >= keyPassesOn {
		w.runningSteps.Go(func() { w.passKeyOn(ctx, minPassOn+time.Duration(s.Magnitude*float64(maxPassOn-minPassOn))) })
	}
	w.history.RecordEvent("organisations send requests that crash upstreams: %s, choice %d", crashingRequest(s, 0).body, who)
	for n := 0; ctx.Err() == nil; n++ {
		a := crashingRequest(s, n)
		switch who {
		case inTurn:
			a.key = clubKey(n % clubs)
		case oneAfterTheOther:
			a.key = clubKey(int(time.Since(began)/turnTime) % clubs)
		default:
			a.key = passedOnKey
		}
		g := w.gateways[n%len(w.gateways)]
		w.runningSteps.Go(func() { w.sendOnce(ctx, &a, g) })
		kernel.Pause(ctx, time.Duration((0.3+1.4*s.Magnitude)*float64(manySendersInterval)))
	}
}

// passKeyOn writes configurations, each of which passes a key to another organisation, until the context ends.
func (w *Fleet) passKeyOn(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, interval)
		w.publishConfig(0)
	}
}
