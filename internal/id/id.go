// Package id holds the named types of identifiers and units that all packages share.
package id

// Organisation names one user of the shared service.
type Organisation string

// VM names a virtual machine of the platform's list.
type VM string

// Domain names a failure domain.
type Domain string

// Pool names a group of upstreams of one sort.
type Pool string

// Model is the name that callers ask for: a model or an adapter.
type Model string

// Version tells the versions of one model apart.
type Version string

// Rollout names the decision to have a version live.
type Rollout string

// Request names one caller's request.
type Request string

// Change names one operator's change; the operator makes it.
type Change string

// Offset is a position in the platform's log; the first record has offset 1 and 0 is before it.
type Offset uint64

// Fence orders the instructions to an engine; it is the log offset of the rollout's creation.
type Fence uint64

// Chunk is the index of a chunk in its version, from 0.
type Chunk uint32

// Instance names an upstream process. One that starts again may get a new name or keep the one it had: an Incarnation tells its
// starts apart.
type Instance string

// Incarnation is when an upstream process started, by its own clock in Unix milliseconds; 0 where it does not say.
type Incarnation uint64

// Before says whether a start is known to be earlier than another one.
func (b Incarnation) Before(o Incarnation) bool {
	return b > 0 && b < o
}

// Route names a rule that leads requests to a pool.
type Route string

// Revision orders the weights of one model; a higher one is newer.
type Revision uint64
