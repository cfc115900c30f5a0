// Package stager brings the weights that operators name onto the upstream beside it: it fetches their chunks from its
// neighbours and the origin, stages them, and orders the upstream to load them once all are there and verified. It tells
// the gateways what the upstream is doing.
package stager

import (
	"context"
	"errors"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

var (
	// ErrNoChunk says that a chunk is not staged.
	ErrNoChunk = errors.New("the chunk is not staged")
	// ErrRefused says that the upstream did not take an order.
	ErrRefused = errors.New("the upstream refused the order")
)

// State is what the upstream says of itself at this moment.
type State struct {
	// Born is when the upstream started; 0 where it does not say.
	Born             id.Incarnation
	Running, Waiting int
	KVUsed, KVTotal  uint64
	Pace             float64
	// Busy is true while an order is carried out.
	Busy bool
	// Orders counts the orders that the upstream has taken since its start.
	Orders uint64
	// Life is the number of the upstream's life: as long as it stays the same, the upstream has not started anew. It may change
	// without a start.
	Life uint64
	Held []facts.Held
	// Limit is what the upstream says here of the requests that it takes.
	Limit throttle.LimitInfo
	// Leaving says that the upstream is about to end.
	Leaving bool
}

// Order tells the upstream to load what is staged.
type Order struct {
	Model    id.Model
	Revision id.Revision
	// After is the number of orders that the upstream must have taken, so that one that was overtaken is refused.
	After uint64
	// Life is the life in which the chunks were verified. An upstream that has started anew since then gets no order: what
	// lay staged may be gone, and a first order of either life would go by the same count.
	Life uint64
}

// Upstream is the way to the upstream beside the stager; function fields so that tests can replace each.
type Upstream struct {
	State  func(ctx context.Context) (State, error)
	Staged func(ctx context.Context, m id.Model) ([]id.Chunk, error)
	Get    func(ctx context.Context, m id.Model, c id.Chunk) ([]byte, error)
	Put    func(ctx context.Context, m id.Model, c id.Chunk, data []byte) error
	Load   func(ctx context.Context, o Order) error
}

// Origin is the way to the place that weights come from.
type Origin struct {
	// Manifest returns a version's manifest; of revision 0 that of the newest version, with its number.
	Manifest func(ctx context.Context, address string, m id.Model, r id.Revision) (*pb.Manifest, id.Revision, error)
	Chunk    func(ctx context.Context, address string, m id.Model, r id.Revision, c id.Chunk) ([]byte, error)
}

// Ports is what the platform's part gives the stager.
type Ports struct {
	// Address is the upstream's, as the list of upstreams has it.
	Address  string
	Upstream Upstream
	Origin   Origin
}

// PortsPart is the name of the part that gives the Ports.
const PortsPart = "stager ports"
