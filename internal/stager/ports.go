// Package stager deploys published weights to the upstream beside it: it fetches their chunks from neighbours and the
// origin, stages them at the upstream, verifies them, and orders the upstream to load them. It reports the state of the
// upstream to the gateways.
package stager

import (
	"context"
	"errors"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

var (
	// ErrChunkNotStaged means that a chunk is not staged at the upstream.
	ErrChunkNotStaged = errors.New("the chunk is not staged")
	// ErrNotVerified means that the staged chunks could not be verified shortly before an order.
	ErrNotVerified = errors.New("could not verify the staged chunks shortly before the order to load them")
	// ErrOrderRefused means that the upstream refused an order or cannot carry it out.
	ErrOrderRefused = errors.New("the upstream refused the order")
)

// State is the state that the upstream reports.
type State struct {
	// Born is the start time of the upstream; 0 if it is not reported.
	Born             id.Incarnation
	Running, Waiting int
	KVUsed, KVTotal  uint64
	Pace             float64
	// Busy is true while the upstream carries out an order.
	Busy bool
	// Orders counts the orders that the upstream has accepted since its start.
	Orders uint64
	// Incarnation identifies a process lifetime of the upstream: while it stays the same, the upstream has not
	// restarted. It may also change without a restart.
	Incarnation uint64
	Held        []facts.Held
	// Limit is the request limit that the upstream reports.
	Limit throttle.LimitInfo
	// Leaving is true while the upstream shuts down.
	Leaving bool
}

// Order makes the upstream load the staged chunks of a version.
type Order struct {
	Model    id.Model
	Revision id.Revision
	// OrdersBefore is the number of orders that the upstream must have accepted before this one, so that it refuses an
	// order that another one has overtaken.
	OrdersBefore uint64
	// Incarnation is the incarnation of the upstream whose staged chunks were verified. An upstream that has restarted
	// refuses the order: it may have lost its chunks, and the order count alone does not tell the first orders of two
	// incarnations apart.
	Incarnation uint64
	// ValidUntil is when the order may no longer be sent, by package clock: the chunks may have turned corrupt since they were
	// verified.
	ValidUntil time.Time
}

// Upstream is the client of the upstream beside the stager, as functions that tests can replace one by one.
type Upstream struct {
	State        func(ctx context.Context) (State, error)
	StagedChunks func(ctx context.Context, m id.Model) ([]id.Chunk, error)
	ReadChunk    func(ctx context.Context, m id.Model, c id.Chunk) ([]byte, error)
	StageChunk   func(ctx context.Context, m id.Model, c id.Chunk, data []byte) error
	Load         func(ctx context.Context, o Order) error
}

// Origin is the client of the origin that weights are fetched from.
type Origin struct {
	// Manifest returns the manifest and revision of a version; for revision 0 those of the newest version.
	Manifest func(ctx context.Context, address string, m id.Model, r id.Revision) (*pb.Manifest, id.Revision, error)
	Chunk    func(ctx context.Context, address string, m id.Model, r id.Revision, c id.Chunk) ([]byte, error)
}

// Ports holds the clients that the platform package provides to the stager.
type Ports struct {
	// Address is the upstream's address in the list of upstreams.
	Address  string
	Upstream Upstream
	Origin   Origin
}

// PortsPart is the name of the part that provides the Ports.
const PortsPart = "stager ports"
