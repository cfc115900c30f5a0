// Package catalog holds the operators' configuration for requests that are passed on by route: which host and path
// lead to which pool, who may call, and what each pool is like. A Catalog does not change once it is made.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Kind says what may be done again with a request.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests answer with a series of events; they run at most once unless their route is resumable.
	Streaming
)

// Share is a pool with its part of a route's requests.
type Share struct {
	Pool   id.Pool
	Weight int
}

// Route leads the requests of one host below one path to pools.
type Route struct {
	Name       id.Route
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, within which it has its full worth.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream that is still in time.
	GapTarget time.Duration
	// Priority ranks routes; 0 comes first.
	Priority int
	Shares   []Share
	// MaxAttempts is the largest number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another upstream after the last whole event.
	Resumable bool
}

// Idempotent says whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine is what the model engines of a pool are like.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// StepTime is the time of a token step, and StepTimePerRequest what each running request adds to it.
	StepTime, StepTimePerRequest time.Duration
	// StepTimePer1kContext is what 1,000 tokens of context of a running request add to a step.
	StepTimePer1kContext time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// MaxPrefillTokens is the most prompt tokens that one pass reads.
	MaxPrefillTokens int
	// StepsPerPass is the number of token steps in a pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean tokens of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// ContextTokens is the number of tokens of context that fit into the memory beside the weights.
	ContextTokens float64
	// Layers, Chunks and ChunkBytes are the shape of a model's weights.
	Layers, Chunks int
	ChunkBytes     int
	// LoadTime is how long an engine takes to load a whole model.
	LoadTime time.Duration
	Models   []id.Model
}

// Service is a pool of upstreams, or a place that weights come from.
type Service struct {
	Name id.Pool
	// MaxConnections is what one upstream takes from all callers together.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
	// Origin is the address of a service that gives weights; such a service has no upstreams.
	Origin string
}

// Organisation is one user of the shared service.
type Organisation struct {
	Name id.Organisation
	Keys []string
	// Priority ranks organisations; 0 comes first.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one revision of the configuration.
type Catalog struct {
	Revision      uint64
	Services      map[id.Pool]*Service
	Limits        Limits
	Organisations int
	byHost        map[string][]*Route
	byKey         map[string]*Organisation
	aims          map[id.Pool]time.Duration
}

// New indexes a configuration. Routes of one host are tried longest prefix first.
func New(revision uint64, routes []*Route, services []*Service, orgs []*Organisation, l Limits) *Catalog {
	c := &Catalog{
		Revision: revision, Services: map[id.Pool]*Service{}, Limits: l, Organisations: len(orgs),
		byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}, aims: map[id.Pool]time.Duration{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		h := normalHost(r.Host)
		c.byHost[h] = append(c.byHost[h], r)
		for _, p := range r.Shares {
			if old, ok := c.aims[p.Pool]; r.LatencyTarget > 0 && (!ok || r.LatencyTarget < old) {
				c.aims[p.Pool] = r.LatencyTarget
			}
		}
	}
	for _, l := range c.byHost {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].PathPrefix) > len(l[j].PathPrefix) })
	}
	for _, o := range orgs {
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
	return c
}

// normalHost drops the port and the case of a host name.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host and path with the longest prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the holder of a caller's key, or nil.
func (c *Catalog) Organisation(key string) *Organisation {
	return c.byKey[key]
}

// LatencyTarget is the shortest aim of a pool's routes. All requests for the pool are let in by it: by its own, the route with the
// longest aim would fill the queue and leave the others none.
func (c *Catalog) LatencyTarget(p id.Pool) time.Duration {
	return c.aims[p]
}

// Origin returns the address that weights come from, or nothing.
func (c *Catalog) Origin() string {
	for _, s := range c.Services {
		if s.Origin != "" {
			return s.Origin
		}
	}
	return ""
}

// Pick chooses the pool of a request by the shares of its route; point is in [0, 1).
func (r *Route) Pick(point float64) id.Pool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(point * float64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Pool
}
