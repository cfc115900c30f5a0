// Package engine meets the model engine beside an agent. No other package knows its wire form.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/id"
)

var (
	// ErrUnreachable says that the engine gave no answer.
	ErrUnreachable = errors.New("the engine gives no answer")
	// ErrStaleFence says that the engine has obeyed a later order.
	ErrStaleFence = errors.New("the engine has obeyed a later order")
)

// LoadStatus is where the engine stands with a model.
type LoadStatus string

// The states of a model in an engine.
const (
	StatusLoading LoadStatus = "loading"
	StatusReady   LoadStatus = "ready"
	StatusFailed  LoadStatus = "failed"
)

// ModelState is a model that the engine holds or is loading.
type ModelState struct {
	Organisation id.Organisation `json:"organisation"`
	Model        id.Model        `json:"model"`
	Version      id.Version      `json:"version"`
	Fence        id.Fence        `json:"fence"`
	Status       LoadStatus      `json:"status"`
	// ManifestSHA256 is the hash, in hex, of the manifest that the loaded bytes were checked against.
	ManifestSHA256 string `json:"manifest_sha256"`
	Reason         string `json:"reason"`
}

// Load is how busy the engine is; the report lags.
type Load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
}

// State is what an engine says of itself.
type State struct {
	// BootID changes with each start of the engine.
	BootID string       `json:"boot"`
	Role   string       `json:"role"`
	Models []ModelState `json:"models"`
	Load   Load         `json:"load"`
}

// FindModel returns the engine's entry for a model.
func (s State) FindModel(o id.Organisation, m id.Model) (ModelState, bool) {
	for _, l := range s.Models {
		if l.Organisation == o && l.Model == m {
			return l, true
		}
	}
	return ModelState{}, false
}

// Order tells an engine to load a version. An engine that checks fences refuses one that is lower than the last.
type Order struct {
	Organisation   id.Organisation `json:"organisation"`
	Model          id.Model        `json:"model"`
	BaseModel      id.Model        `json:"base_model"`
	Version        id.Version      `json:"version"`
	Fence          id.Fence        `json:"fence"`
	ManifestSHA256 string          `json:"manifest_sha256"`
	// ManifestURL and ContentURL are on the agent, which is on the same VM.
	ManifestURL string `json:"manifest_url"`
	ContentURL  string `json:"content_url"`
}

// RoleOrder is a fenced order to change what an engine does, for example "prefill" or "decode".
type RoleOrder struct {
	Name  string   `json:"name"`
	Fence id.Fence `json:"fence"`
}

// Engine is the client of one engine.
type Engine struct {
	base   string
	client *http.Client
	once   *http.Client
}

// New makes a client of the upstream at a base URL that keeps a number of connections.
func New(base string, conns int) *Engine {
	return &Engine{
		base:   base,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}},
		// Go's transport sends a request with an Idempotency-Key again by itself when a connection that it has used
		// before breaks, also after the upstream has run it. On a new connection it never does.
		once: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// answerTimeout bounds the calls that ask or order; requests have the caller's deadline.
const answerTimeout = 3 * time.Second

// State asks the engine for its state.
func (e *Engine) State(ctx context.Context) (State, error) {
	var s State
	err := e.admin(ctx, http.MethodGet, "/admin/state", nil, &s)
	return s, err
}

// Load gives an order; the engine carries it out after its answer.
func (e *Engine) Load(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err)
	}
	return e.admin(ctx, http.MethodPost, "/admin/load", body, nil)
}

// Healthy asks a plain service whether it is up.
func (e *Engine) Healthy(ctx context.Context) bool {
	return e.admin(ctx, http.MethodGet, "/healthz", nil, nil) == nil
}

func (e *Engine) admin(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	a, err := e.client.Do(r)
	if err != nil {
		return trace.Wrap(errors.Join(ErrUnreachable, err))
	}
	defer a.Body.Close()
	switch {
	case a.StatusCode == http.StatusConflict:
		return trace.Wrap(ErrStaleFence)
	case a.StatusCode >= http.StatusMultipleChoices:
		text, _ := io.ReadAll(io.LimitReader(a.Body, 512))
		return trace.Wrap(ErrUnreachable, "status %d: %s", a.StatusCode, text)
	case into == nil:
		return nil
	}
	return trace.Wrap(json.NewDecoder(a.Body).Decode(into))
}

// Send passes a request to the upstream, at most once unless it is repeatable. A connection that could not be made is
// ErrUnreachable: nothing was sent.
func (e *Engine) Send(r *http.Request, repeatable bool) (*http.Response, error) {
	c := e.once
	if repeatable {
		c = e.client
	}
	a, err := c.Do(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return a, nil
}

// URL is the upstream's address for a path.
func (e *Engine) URL(path string) string {
	return e.base + path
}
