package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

// The service of model engines, its model and the size of its weights.
const (
	engineService, originService, engineModel = "huts", "portal", "daka510000"
	engineSlots, weightChunks, chunkBytes     = 16, 16, 24576
	eventInterval                             = 40 * time.Millisecond
	servedVersion                             = 1
)

// stagerSettings is the template of deploy/stager.toml, filled in for a small deployment. The arguments are as those of
// gatewaySettings.
const stagerSettings = `[process]
vm = %[1]q
domain = %[2]q
log_level = "info"
drain = "%[6]s"
[store]
address = %[3]q
[records]
config_wait = "700ms"
list_every = "700ms"
seeds = [%[5]s]
start_wait = "600ms"
[stager]
pool = "huts"
peer_port = 7700
uplink_bytes_per_second = 860000
swap_within = "8000ms"
memory_bytes = 33554432
[upstream]
address = "%[4]s:8001"
[reporter]
listen = "%[4]s:7700"
port = 7700
[internal]
listen = "%[4]s:7700"
plain = true
[metrics]
listen = "%[4]s:9464"
[traffic]
log_every = "10s"
[traffic.regions]
zone-1 = "region-1"
zone-2 = "region-2"
zone-3 = "region-3"
`

// newStager writes the settings of a stager.
func newStager(r *Record, root, dir, ip, domain, store string, seeds []string, grace time.Duration) (*Process, error) {
	name := "side-" + domain + "-" + ip[strings.LastIndexByte(ip, '.')+1:]
	settings := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(stagerSettings, name, domain, store, ip, quoteSeeds(seeds), grace)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &Process{
		name: name, ip: ip, record: r, logFile: filepath.Join(dir, name+".log"),
		arguments: []string{filepath.Join(root, "target/springrail-stager"), "--settings=" + settings},
	}, nil
}

// Engine is a model server with a stager beside it.
type Engine struct {
	server  *standin.ModelServer
	address string
	record  *Record

	mu sync.Mutex
	// spoilFrom and spoilUntil bound the time in which the engine hands out wrong bytes; spoilEvery is one in how many of its
	// reports has them.
	spoilFrom, spoilUntil time.Time
	spoilEvery, reports   int
}

// addEngines starts engines and the stagers beside them, spread over three failure domains.
func (f *Fleet) addEngines(n int, seeds []string) ([]*Engine, error) {
	weights := standin.ModelOrigin{Model: engineModel, Chunks: weightChunks, ChunkBytes: chunkBytes}
	origin, err := net.Listen("tcp", f.originAddress())
	if err != nil {
		return nil, err
	}
	go func() { _ = standin.ServeOn(f.ctx, origin, namedVersions{weights}) }()
	var l []*Engine
	for i := range n {
		ip, zone := fmt.Sprintf("%s.%d", f.network, 50+i), fmt.Sprintf("zone-%d", 1+i%3)
		e := &Engine{address: ip + ":8001", record: f.record}
		e.server = &standin.ModelServer{
			Instance: fmt.Sprintf("i-%d", i), Slots: engineSlots, Weights: weights, EventInterval: eventInterval,
			OnRun:       func(standin.RequestRun) {},
			OnViolation: func(what string) { f.record.Addf("engine %s: %s", ip, what) },
		}
		e.server.SetVersion(servedVersion)
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return nil, err
		}
		go func() { _ = standin.ServeOn(f.ctx, listener, e) }()
		go f.listEngine(e, zone)
		p, err := newStager(f.record, f.root, f.dir, ip, zone, f.storeAddr, seeds, graceTime)
		if err != nil {
			return nil, err
		}
		f.stagers = append(f.stagers, p)
		if err := p.Start(); err != nil {
			return nil, err
		}
		l = append(l, e)
	}
	return l, nil
}

// namedVersions is the origin of weights, which has only the version that is named, and answers with it if asked for none.
type namedVersions struct {
	weights standin.ModelOrigin
}

// ServeHTTP implements http.Handler.
func (o namedVersions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch q.Get("version") {
	case "":
		q.Set("version", strconv.Itoa(servedVersion))
		r.URL.RawQuery = q.Encode()
	case strconv.Itoa(servedVersion):
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o.weights.ServeHTTP(w, r)
}

// originAddress returns the address of the origin of weights.
func (f *Fleet) originAddress() string {
	return f.network + ".201:8006"
}

// listEngine keeps the engine's entry in the store.
func (f *Fleet) listEngine(e *Engine, zone string) {
	for n := 0; f.ctx.Err() == nil; n++ {
		b, _ := json.Marshal(map[string]any{
			"service": engineService, "address": e.address, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "models": e.server.Models(), "sequence": n,
		})
		f.store.Put(serverTopic, e.server.Instance, b)
		time.Sleep(heartbeatInterval)
	}
}

// spoil makes the engine hand out wrong bytes for a time, in one of so many reports.
func (e *Engine) spoil(d time.Duration, every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoilFrom, e.spoilUntil, e.spoilEvery, e.reports = time.Now(), time.Now().Add(d), every, 0
}

// isSpoilt reports whether the next report has wrong bytes.
func (e *Engine) isSpoilt() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.spoilFrom) || !now.Before(e.spoilUntil) {
		return false
	}
	e.reports++
	return e.reports%e.spoilEvery == 0
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/report" || !e.isSpoilt() {
		e.server.ServeHTTP(w, r)
		return
	}
	whole := httptest.NewRecorder()
	e.server.ServeHTTP(whole, r)
	b := bytes.Replace(whole.Body.Bytes(), []byte(`"version":1`), []byte(`"version":9`), 1)
	e.record.Addf("engine %s hands out a report with one wrong byte: %s", e.address, bytes.TrimSpace(b))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// engineConfig returns the services of a configuration with engines.
func (f *Fleet) engineConfig() []map[string]any {
	return []map[string]any{
		{
			"name": engineService, "healthPath": "/health", "maxConnections": 264, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kvCapacityTokens": 317000, "stride": 5, "models": []map[string]any{{"name": engineModel, "warmS": 0.3}},
				"step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
				"usual": map[string]any{"prompt": 979, "answer": 92}, "layers": 16, "chunks": weightChunks, "chunk_bytes": chunkBytes,
			},
		},
		{"name": originService, "origin": f.originAddress(), "maxConnections": 48},
	}
}
