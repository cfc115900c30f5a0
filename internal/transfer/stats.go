package transfer

import "sync/atomic"

// Stats counts what the transfers of a VM moved.
type Stats struct {
	// sent and received count chunk bytes to and from neighbours.
	sent, received atomic.Int64
	// origin and store count bytes drawn from the sources, failed draws included.
	origin, store atomic.Int64
	// broken counts chunk bytes of transfers that did not end, also those that a second neighbour had overtaken.
	broken atomic.Int64
	// busy, corrupt and failed count refused, thrown away and broken transfers.
	busy, corrupt, failed atomic.Int64
	// questions counts availability polls that this VM made.
	questions atomic.Int64
}

// Counters is a copy of the counters; all sizes are in bytes.
type Counters struct {
	Sent, Received, Broken, Origin, Store int64
	Busy, Corrupt, Failed, Messages       int64
}

// Since returns what was counted after an earlier reading.
func (c Counters) Since(b Counters) Counters {
	return Counters{
		Sent: c.Sent - b.Sent, Received: c.Received - b.Received, Broken: c.Broken - b.Broken,
		Origin: c.Origin - b.Origin, Store: c.Store - b.Store,
		Busy: c.Busy - b.Busy, Corrupt: c.Corrupt - b.Corrupt, Failed: c.Failed - b.Failed,
		Messages: c.Messages - b.Messages,
	}
}

// Read returns a copy.
func (s *Stats) Read() Counters {
	return Counters{
		Sent: s.sent.Load(), Received: s.received.Load(), Broken: s.broken.Load(),
		Origin: s.origin.Load(), Store: s.store.Load(),
		Busy: s.busy.Load(), Corrupt: s.corrupt.Load(), Failed: s.failed.Load(), Messages: s.questions.Load(),
	}
}

// AddOrigin counts bytes drawn from the origin.
func (s *Stats) AddOrigin(n int64) {
	s.origin.Add(n)
}
