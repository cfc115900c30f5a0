package transfer

import "sync/atomic"

// Stats counts the transfers of a VM.
type Stats struct {
	// sent and received count chunk bytes to and from neighbours.
	sent, received atomic.Int64
	// origin and store count bytes fetched from the sources, including failed fetches.
	origin, store atomic.Int64
	// broken counts chunk bytes of incomplete transfers, including those that a transfer from a second neighbour
	// overtook.
	broken atomic.Int64
	// busy, corrupt and failed count rejected, discarded and failed transfers.
	busy, corrupt, failed atomic.Int64
	// polls counts this VM's requests for the chunks that its neighbours hold.
	polls atomic.Int64
}

// Counters is a snapshot of the counters; sizes are in bytes.
type Counters struct {
	Sent, Received, Broken, Origin, Store int64
	Busy, Corrupt, Failed, Messages       int64
}

// Since returns the difference to an earlier snapshot.
func (c Counters) Since(b Counters) Counters {
	return Counters{
		Sent: c.Sent - b.Sent, Received: c.Received - b.Received, Broken: c.Broken - b.Broken,
		Origin: c.Origin - b.Origin, Store: c.Store - b.Store,
		Busy: c.Busy - b.Busy, Corrupt: c.Corrupt - b.Corrupt, Failed: c.Failed - b.Failed,
		Messages: c.Messages - b.Messages,
	}
}

// Read returns a snapshot of the counters.
func (s *Stats) Read() Counters {
	return Counters{
		Sent: s.sent.Load(), Received: s.received.Load(), Broken: s.broken.Load(),
		Origin: s.origin.Load(), Store: s.store.Load(),
		Busy: s.busy.Load(), Corrupt: s.corrupt.Load(), Failed: s.failed.Load(), Messages: s.polls.Load(),
	}
}

// AddOrigin adds to the bytes fetched from the origin.
func (s *Stats) AddOrigin(n int64) {
	s.origin.Add(n)
}
