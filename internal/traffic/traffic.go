// Package traffic counts what a process sends and gets, by kind and by how far it goes, and whom it calls for what. The
// links between regions are the scarcest, and calls to the platform's store are shared by all: an operator has to be
// able to say which part of the system uses them.
package traffic

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Kind is what bytes are for.
type Kind uint8

// The kinds. Datagrams are counted where they are sent; connections, with the bytes both ways, where they are opened.
const (
	// Reports are stagers' reports to gateways, by datagrams.
	Reports Kind = iota
	// Subscriptions are gateways' subscriptions to reports, by datagrams.
	Subscriptions
	// Records are the platform's records, handed on from process to process.
	Records
	// Messages are all others between processes, mostly news of chunks.
	Messages
	// Chunks are chunks of weights between stagers.
	Chunks
	// Requests are callers' requests and their answers, between gateways and upstreams.
	Requests
	// Store is the platform's store.
	Store
	// Origin is the origin of weights.
	Origin
	// Engine is the engine on the same VM.
	Engine
	kinds
)

var kindNames = [kinds]string{
	"reports", "subscriptions", "records", "messages", "chunks", "requests", "store", "origin", "engine",
}

// String names a kind.
func (k Kind) String() string {
	return kindNames[k]
}

// Distance is how far bytes go.
type Distance uint8

// The distances. Unknown is the other end's whose failure domain this process does not know, such as the store.
const (
	SameDomain Distance = iota
	OtherDomain
	OtherRegion
	Unknown
	distances
)

var distanceNames = [distances]string{"near", "other domain", "other region", "unknown"}

// String names a distance.
func (d Distance) String() string {
	return distanceNames[d]
}

// cell is what is counted of a kind and distance.
type cell struct {
	number, sent, got atomic.Int64
}

// Counter counts for one process. Counting takes two atomic additions and no lock, and the number of counts is bounded.
type Counter struct {
	self     id.Domain
	regions  map[id.Domain]string
	domainAt func(host string) (id.Domain, bool)
	now      func() time.Time
	start    time.Time
	life     string
	cells    [kinds][distances]cell
	calls    expvar.Map
}

// New makes the counter of a process in a failure domain. Regions says which region each domain is in; domainAt says
// which domain a host is in, where that is known.
func New(self id.Domain, regions map[id.Domain]string, domainAt func(host string) (id.Domain, bool), now func() time.Time) *Counter {
	return &Counter{
		self: self, regions: regions, domainAt: domainAt, now: now, start: now(), life: fmt.Sprintf("%016x", rand.Uint64()),
	}
}

// DistanceTo says how far a failure domain is. One whose region is not known counts as in the same.
func (c *Counter) DistanceTo(d id.Domain) Distance {
	switch {
	case d == c.self:
		return SameDomain
	case c.regions[d] != c.regions[c.self] && c.regions[d] != "":
		return OtherRegion
	default:
		return OtherDomain
	}
}

// CountDatagram counts one that was sent to a failure domain.
func (c *Counter) CountDatagram(k Kind, d id.Domain, bytes int) {
	l := &c.cells[k][c.DistanceTo(d)]
	l.number.Add(1)
	l.sent.Add(int64(bytes))
}

// CountCall counts a call to something, such as the store, for a reason. Both are fixed texts, so that their number is bounded.
func (c *Counter) CountCall(to, reason string) {
	c.calls.Add(to+" "+reason, 1)
}

// CountConn counts a connection that this process has opened to an address, and what goes over it.
func (c *Counter) CountConn(k Kind, address string, n net.Conn) net.Conn {
	t, ok := n.(*net.TCPConn)
	if !ok {
		return n
	}
	d := Unknown
	if host, _, err := net.SplitHostPort(address); err == nil {
		if at, known := c.domainAt(host); known {
			d = c.DistanceTo(at)
		}
	}
	l := &c.cells[k][d]
	l.number.Add(1)
	return &conn{TCPConn: t, cell: l}
}

// Count is what was counted of a kind and distance: datagrams or connections, and bytes.
type Count struct {
	Number   int64 `json:"number"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"got"`
}

// Snapshot is what a process has counted since its start.
type Snapshot struct {
	// Incarnation tells the process from an earlier one on its VM.
	Incarnation string                      `json:"life"`
	UptimeMs    int64                       `json:"uptime_ms"`
	Kinds       map[string]map[string]Count `json:"kinds"`
	Calls       map[string]int64            `json:"calls"`
}

// Snapshot returns what has been counted; kinds and distances without anything are left out.
func (c *Counter) Snapshot() Snapshot {
	s := Snapshot{
		Incarnation: c.life, UptimeMs: c.now().Sub(c.start).Milliseconds(), Kinds: map[string]map[string]Count{}, Calls: map[string]int64{},
	}
	for k := range kinds {
		by := map[string]Count{}
		for d := range distances {
			l := &c.cells[k][d]
			if n := (Count{Number: l.number.Load(), Sent: l.sent.Load(), Received: l.got.Load()}); n != (Count{}) {
				by[d.String()] = n
			}
		}
		if len(by) > 0 {
			s.Kinds[k.String()] = by
		}
	}
	c.calls.Do(func(v expvar.KeyValue) {
		if n, ok := v.Value.(*expvar.Int); ok {
			s.Calls[v.Key] = n.Value()
		}
	})
	return s
}

// String is the snapshot as JSON, so that a Counter is a metric.
func (c *Counter) String() string {
	b, err := json.Marshal(c.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(b)
}
