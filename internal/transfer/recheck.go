package transfer

import (
	"context"
	"time"
)

// maxRecheckDoublings bounds the time between two comparisons of the manifest to 64 times the takeover delay.
const maxRecheckDoublings = 6

// recheckManifest fetches the manifest from the source once more after a chunk did not match it: where the rollout pins no hash,
// the manifest may be what is corrupt. The time to the next comparison doubles.
func (d *Download) recheckManifest(ctx context.Context) {
	if d.holding.IsPinned() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.rechecking || now.Before(d.recheckAt) {
		return
	}
	d.rechecking = true
	go d.compareManifest(ctx)
}

// compareManifest notes where the source's manifest differs from the one in use.
func (d *Download) compareManifest(ctx context.Context) {
	fetchCtx, stop := context.WithTimeout(ctx, d.settings.SourceTimeout)
	defer stop()
	got, err := d.transport.FetchFromSource(fetchCtx, d.rollout, objectManifest, 0, -1)
	d.originBytes.Add(got.OriginBytes)
	if err == nil {
		err = d.holding.AddAlternative(got.Data)
	}
	d.log.Info().Err(err).Msg("compared the manifest with the source's, as a chunk does not match it")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rechecking = false
	d.recheckAt = time.Now().Add(d.settings.TakeoverDelay << min(d.manifestRechecks, maxRecheckDoublings))
	d.manifestRechecks++
	d.wakeScheduler()
}
