// Package id defines the types of the identifiers that all packages share.
package id

// Organisation identifies an organisation that uses the shared service.
type Organisation string

// VM identifies a virtual machine of the platform's list.
type VM string

// Domain identifies a failure domain.
type Domain string

// Region identifies a region, which contains one or more failure domains.
type Region string

// Pool identifies a group of upstreams that a route can send requests to.
type Pool string

// Model is the name of a model or an adapter as callers request it.
type Model string

// PromptPart identifies a part of a prompt that several requests for a model may share. It is a number in hexadecimal digits,
// in lower case and without leading zeros.
type PromptPart string

// Version identifies a version of a model.
type Version string

// Rollout identifies a rollout, which brings a version of a model live.
type Rollout string

// Request identifies a request of a caller.
type Request string

// Change identifies a configuration change. The operator chooses the ID.
type Change string

// Offset is a position in the platform's log. The first record has offset 1; offset 0 is the position before it.
type Offset uint64

// Fence is a fencing token that orders the commands to an engine: the log offset at which the rollout was created.
type Fence uint64

// Chunk is the index of a chunk in its version, starting from 0.
type Chunk uint32

// Instance identifies an upstream process. A process that restarts may get a new ID or keep its old one; the Incarnation
// distinguishes its lifetimes.
type Instance string

// Incarnation distinguishes the lifetimes of an upstream process. It is the start time by the process's own clock, in Unix
// milliseconds, or 0 if the process does not report it.
type Incarnation uint64

// Before reports whether incarnation b is known to be earlier than o.
func (b Incarnation) Before(o Incarnation) bool {
	return b > 0 && b < o
}

// Route identifies a routing rule, which sends requests to a pool.
type Route string

// Revision orders the versions of a model's weights: a higher revision is newer.
type Revision uint64
