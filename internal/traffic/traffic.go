// Package traffic counts the bytes that a process sends and receives, by kind of traffic and by network distance, and
// its calls to shared services by reason. Links between regions have the least capacity, and all processes share the
// platform's store, so an operator needs to see which part of the system uses them.
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

// Kind is the purpose of a datagram or connection.
type Kind uint8

// The kinds of traffic. A datagram is counted by its sender. A connection and its bytes in both directions are counted by
// the process that opened it.
const (
	// Reports are datagrams from stagers to gateways that report the state of an upstream.
	Reports Kind = iota
	// Subscriptions are datagrams by which gateways subscribe to stagers' reports.
	Subscriptions
	// Records are connections over which processes forward the platform's records to each other.
	Records
	// Messages are all other RPCs between processes, mostly announcements of available chunks.
	Messages
	// Chunks are transfers of chunks of model weights between stagers.
	Chunks
	// Requests are callers' requests and the responses to them, between gateways and upstreams.
	Requests
	// Store is traffic with the platform's store.
	Store
	// Origin is traffic with the origin server of the model weights.
	Origin
	// Engine is traffic with the model engine on the same VM.
	Engine
	numKinds
)

var kindNames = [numKinds]string{
	"reports", "subscriptions", "records", "messages", "chunks", "requests", "store", "origin", "engine",
}

// String returns the kind's name in logs, metrics and printed tables.
func (k Kind) String() string {
	return kindNames[k]
}

// Distance classifies the network path to a peer by failure domain and region.
type Distance uint8

// The distances, from this process's failure domain. Unknown applies to peers whose failure domain the process does not
// know, such as the store.
const (
	SameDomain Distance = iota
	OtherDomain
	OtherRegion
	Unknown
	numDistances
)

var distanceNames = [numDistances]string{"near", "other domain", "other region", "unknown"}

// String returns the distance's name in logs, metrics and printed tables.
func (d Distance) String() string {
	return distanceNames[d]
}

// trafficCounts holds the live counters for one kind and distance: datagrams or connections, bytes sent and received.
type trafficCounts struct {
	number, sent, got atomic.Int64
}

// Counter counts the traffic of one process. Counting takes two atomic additions and no lock, and the number of counters
// is bounded.
type Counter struct {
	ownDomain   id.Domain
	regions     map[id.Domain]id.Region
	domainAt    func(host string) (id.Domain, bool)
	now         func() time.Time
	start       time.Time
	incarnation string
	counts      [numKinds][numDistances]trafficCounts
	calls       expvar.Map
}

// New returns the counter of a process in a failure domain. regions maps failure domains to regions. domainAt returns
// the failure domain of a host and whether it is known.
func New(self id.Domain, regions map[id.Domain]id.Region, domainAt func(host string) (id.Domain, bool), now func() time.Time) *Counter {
	return &Counter{
		ownDomain: self, regions: regions, domainAt: domainAt, now: now, start: now(), incarnation: fmt.Sprintf("%016x", rand.Uint64()),
	}
}

// Region returns the region of a failure domain, or an empty one if it is unknown.
func (c *Counter) Region(d id.Domain) id.Region {
	return c.regions[d]
}

// DistanceTo returns the distance to a failure domain. A failure domain whose region is unknown counts as in the same region.
func (c *Counter) DistanceTo(d id.Domain) Distance {
	switch {
	case d == c.ownDomain:
		return SameDomain
	case c.regions[d] != c.regions[c.ownDomain] && c.regions[d] != "":
		return OtherRegion
	default:
		return OtherDomain
	}
}

// CountDatagram counts a datagram that was sent to a failure domain.
func (c *Counter) CountDatagram(k Kind, d id.Domain, bytes int) {
	l := &c.counts[k][c.DistanceTo(d)]
	l.number.Add(1)
	l.sent.Add(int64(bytes))
}

// CountCall counts a call to a service, such as the store, by reason. Callers pass only constant texts, so that the number
// of counters is bounded.
func (c *Counter) CountCall(to, reason string) {
	c.calls.Add(to+" "+reason, 1)
}

// CountConn counts a connection that this process has opened to an address, and returns it wrapped so that its bytes are
// counted. A connection that is not TCP is returned unchanged and not counted.
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
	l := &c.counts[k][d]
	l.number.Add(1)
	return &conn{TCPConn: t, counts: l}
}

// Count holds the counts for one kind and distance: the number of datagrams or connections, and the bytes.
type Count struct {
	Number   int64 `json:"number"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"got"`
}

// Snapshot holds the counts of a process since its start.
type Snapshot struct {
	// Incarnation identifies one lifetime of the process; it changes at each restart.
	Incarnation string                      `json:"life"`
	UptimeMs    int64                       `json:"uptime_ms"`
	Kinds       map[string]map[string]Count `json:"kinds"`
	Calls       map[string]int64            `json:"calls"`
}

// Snapshot returns the current counts, without the kinds and distances for which nothing was counted.
func (c *Counter) Snapshot() Snapshot {
	s := Snapshot{
		Incarnation: c.incarnation, UptimeMs: c.now().Sub(c.start).Milliseconds(), Kinds: map[string]map[string]Count{}, Calls: map[string]int64{},
	}
	for k := range numKinds {
		by := map[string]Count{}
		for d := range numDistances {
			l := &c.counts[k][d]
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

// String returns the snapshot as JSON; it implements expvar.Var.
func (c *Counter) String() string {
	b, err := json.Marshal(c.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(b)
}
