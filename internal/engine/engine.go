// Package engine is the client of the model engine beside an agent. No other package knows its wire format.
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
	// ErrUnreachable means that the engine did not respond or responded with an error.
	ErrUnreachable = errors.New("no successful response from the engine")
	// ErrStaleFence means that the engine has already accepted an order with a higher fence.
	ErrStaleFence = errors.New("the engine has accepted an order with a higher fence")
)

// LoadStatus is the load status of a model in an engine.
type LoadStatus string

// The load statuses of a model.
const (
	StatusLoading LoadStatus = "loading"
	StatusReady   LoadStatus = "ready"
	StatusFailed  LoadStatus = "failed"
)

// ModelState is the state of a model that the engine holds or loads.
type ModelState struct {
	Organisation id.Organisation `json:"organisation"`
	Model        id.Model        `json:"model"`
	Version      id.Version      `json:"version"`
	Fence        id.Fence        `json:"fence"`
	Status       LoadStatus      `json:"status"`
	// ManifestSHA256 is the hex-encoded hash of the manifest that the loaded bytes were verified against.
	ManifestSHA256 string `json:"manifest_sha256"`
	Reason         string `json:"reason"`
}

// Load is the engine's reported load, which lags behind the actual one.
type Load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
}

// State is the state that an engine reports.
type State struct {
	// BootID changes with each start of the engine.
	BootID string       `json:"boot"`
	Role   string       `json:"role"`
	Models []ModelState `json:"models"`
	Load   Load         `json:"load"`
}

// FindModel returns the state of a model in the engine, and whether it is present.
func (s State) FindModel(o id.Organisation, m id.Model) (ModelState, bool) {
	for _, l := range s.Models {
		if l.Organisation == o && l.Model == m {
			return l, true
		}
	}
	return ModelState{}, false
}

// Order makes an engine load a version. An engine that checks fencing tokens refuses an order whose fence is lower than
// that of the last one.
type Order struct {
	Organisation   id.Organisation `json:"organisation"`
	Model          id.Model        `json:"model"`
	BaseModel      id.Model        `json:"base_model"`
	Version        id.Version      `json:"version"`
	Fence          id.Fence        `json:"fence"`
	ManifestSHA256 string          `json:"manifest_sha256"`
	// ManifestURL and ContentURL are served by the agent, which runs on the same VM.
	ManifestURL string `json:"manifest_url"`
	ContentURL  string `json:"content_url"`
}

// RoleOrder makes an engine change its role, for example to "prefill" or "decode"; it is fenced like Order.
type RoleOrder struct {
	Name  string   `json:"name"`
	Fence id.Fence `json:"fence"`
}

// Engine is the client of one engine.
type Engine struct {
	baseURL string
	client  *http.Client
	noReuse *http.Client
}

// New returns a client of the engine at a base URL that keeps up to maxIdleConns idle connections.
func New(baseURL string, maxIdleConns int) *Engine {
	return &Engine{
		baseURL: baseURL,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}},
		// Go's transport resends a request with an Idempotency-Key if a reused connection breaks, even if the upstream
		// has already run it. It never does so on a new connection.
		noReuse: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}},
	}
}

const (
	// maxHeaderBytes bounds the header of an answer of the engine, and maxStateBytes its state.
	maxHeaderBytes = 256 << 10
	maxStateBytes  = 4 << 20
)

// adminTimeout bounds calls that read state or send orders; forwarded requests have the caller's deadline.
const adminTimeout = 3 * time.Second

// State requests the engine's state.
func (e *Engine) State(ctx context.Context) (State, error) {
	var s State
	err := e.callAdmin(ctx, http.MethodGet, "/admin/state", nil, &s)
	return s, err
}

// Load sends an order; the engine carries it out after its response.
func (e *Engine) Load(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err)
	}
	return e.callAdmin(ctx, http.MethodPost, "/admin/load", body, nil)
}

// Healthy reports whether a plain service passes its health check.
func (e *Engine) Healthy(ctx context.Context) bool {
	return e.callAdmin(ctx, http.MethodGet, "/healthz", nil, nil) == nil
}

func (e *Engine) callAdmin(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, stop := context.WithTimeout(ctx, adminTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, bytes.NewReader(body))
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
	case a.StatusCode < http.StatusOK || a.StatusCode >= http.StatusMultipleChoices:
		text, _ := io.ReadAll(io.LimitReader(a.Body, 512))
		return trace.Wrap(ErrUnreachable, "status %d: %s", a.StatusCode, text)
	case result == nil:
		return nil
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(a.Body, maxStateBytes)).Decode(result))
}

// Send forwards a request to the engine, at most once unless it is retryable.
func (e *Engine) Send(r *http.Request, retryable bool) (*http.Response, error) {
	c := e.noReuse
	if retryable {
		c = e.client
	}
	a, err := c.Do(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return a, nil
}

// URL returns the engine's URL of a path.
func (e *Engine) URL(path string) string {
	return e.baseURL + path
}
