package kernel

import (
	"context"
	"time"
)

// Pause sleeps for the duration d or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
