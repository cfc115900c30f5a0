// Package catalog holds the operators' routing configuration: which host and path lead to which pool, which callers are
// allowed, and the properties of each pool. A Catalog is immutable.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Kind classifies requests by whether they may be retried.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events; they run at most once unless their route is resumable.
	Streaming
)

// Share is the weight of a pool in a route's traffic split.
type Share struct {
	Pool   id.Pool
	Weight int
}

// Route maps the requests of a host and path prefix to pools.
type Route struct {
	Name       id.Route
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the total time of a request.
	Timeout time.Duration
	// LatencyTarget is the time to the response, or to a stream's first event, up to which a request has its full value.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream that still counts as on time.
	GapTarget time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another upstream after the last complete event.
	Resumable bool
	// AllowedRegions are the regions in which the requests may be served.
	AllowedRegions Regions
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// StepTime is the duration of one decoding step, and StepTimePerRequest the time that each running request adds to
	// it.
	StepTime, StepTimePerRequest time.Duration
	// StepTimePer1kContext is the time that 1,000 tokens of context of a running request add to a step.
	StepTimePer1kContext time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond float64
	// MaxPrefillTokens is the maximum number of prompt tokens processed in one pass.
	MaxPrefillTokens int
	// StepsPerPass is the number of decoding steps in a pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// ContextTokens is the number of context tokens that fit into memory beside the weights.
	ContextTokens float64
	// Layers, Chunks and ChunkBytes describe the size of a model's weights.
	Layers, Chunks int
	ChunkBytes     int
	// LoadTime is the time that an engine takes to load a complete model.
	LoadTime time.Duration
	Models   []id.Model
}

// Service is a pool of upstreams, or an origin of weights.
type Service struct {
	Name id.Pool
	// MaxConnections is the maximum number of connections that one upstream accepts from all callers together.
	MaxConnections int
	// ColdRate is the number of requests per second that an upstream accepts from all gateways together while it is cold,
	// which it is for some time after its start; 0 is no limit.
	ColdRate float64
	// Engine is set for pools of model engines.
	Engine *Engine
	// Origin is the address of an origin of weights; such a service has no upstreams.
	Origin string
}

// Organisation is an organisation that uses the shared service.
type Organisation struct {
	Name id.Organisation
	Keys []string
	// Priority ranks organisations; 0 is the highest.
	Priority int
	// AllowedRegions are the regions in which the organisation's requests may be served.
	AllowedRegions Regions
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one revision of the configuration.
type Catalog struct {
	Revision       uint64
	Services       map[id.Pool]*Service
	Limits         Limits
	Organisations  int
	byHost         map[string][]*Route
	byKey          map[string]*Organisation
	latencyTargets map[id.Pool]time.Duration
	rankTargets    map[poolRank]time.Duration
	ranks          map[id.Pool][]Rank
}

// New indexes a configuration so that the routes of a host are tried by descending prefix length.
func New(revision uint64, routes []*Route, services []*Service, orgs []*Organisation, l Limits) *Catalog {
	c := &Catalog{
		Revision: revision, Services: map[id.Pool]*Service{}, Limits: l, Organisations: len(orgs),
		byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}, latencyTargets: map[id.Pool]time.Duration{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		h := normaliseHost(r.Host)
		c.byHost[h] = append(c.byHost[h], r)
		for _, p := range r.Shares {
			if shortest, ok := c.latencyTargets[p.Pool]; r.LatencyTarget > 0 && (!ok || r.LatencyTarget < shortest) {
				c.latencyTargets[p.Pool] = r.LatencyTarget
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
	c.ranks, c.rankTargets = poolRanks(routes, orgs), rankTargets(routes)
	return c
}

// normaliseHost removes the port from a host name and lower-cases it.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest prefix for a host and path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that a caller's key belongs to, or nil.
func (c *Catalog) Organisation(key string) *Organisation {
	return c.byKey[key]
}

// KeysPassedOn returns how many keys of an older configuration belong to another organisation in this one.
func (c *Catalog) KeysPassedOn(older *Catalog) (n int) {
	if older == nil {
		return 0
	}
	for k, o := range c.byKey {
		if before := older.byKey[k]; before != nil && before.Name != o.Name {
			n++
		}
	}
	return n
}

// LatencyTarget returns the shortest latency target of the routes to a pool. Admission control applies it to all
// requests for the pool: with targets by route, the route with the longest one would fill the queue and leave no room
// for the others.
func (c *Catalog) LatencyTarget(p id.Pool) time.Duration {
	return c.latencyTargets[p]
}

// Origin returns the address of the origin of weights, or an empty string if there is none.
func (c *Catalog) Origin() string {
	for _, s := range c.Services {
		if s.Origin != "" {
			return s.Origin
		}
	}
	return ""
}

// Pick returns the pool of a request by the weights of its route; point is uniform in [0, 1).
func (r *Route) Pick(point float64) id.Pool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := int(point * float64(total))
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Pool
}
