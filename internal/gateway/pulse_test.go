package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

const (
	// pulsePause is the pause between two pulses, and pulseTime is longer than that and a request take on a machine that is
	// not busy.
	pulsePause, pulseTime = 20 * time.Millisecond, 25 * time.Millisecond
)

// pulse counts requests to a server of its own, one after another. Few of them in a time show that the process waited for a
// processor.
type pulse struct {
	count atomic.Int64
}

func startPulse(ctx context.Context) *pulse {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	DeferCleanup(s.Close)
	p := &pulse{}
	go func() {
		c := s.Client()
		for ctx.Err() == nil {
			time.Sleep(pulsePause)
			if a, err := c.Get(s.URL); err == nil {
				a.Body.Close()
				p.count.Add(1)
			}
		}
	}()
	return p
}

// measure returns how long f takes, or less if the process waited for a processor meanwhile.
func (p *pulse) measure(f func()) time.Duration {
	start, before := time.Now(), p.count.Load()
	f()
	return min(time.Since(start), time.Duration(p.count.Load()-before)*pulseTime)
}
