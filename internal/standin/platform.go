package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// ListedVM is an entry of the VM list.
type ListedVM struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Role    string `json:"role"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Engine  bool   `json:"engine"`
}

type vmListAnswer struct {
	Version uint64     `json:"version"`
	VMs     []ListedVM `json:"vms"`
}

// VMList simulates the platform's VM list: a new list is published after a delay.
type VMList struct {
	publishDelay time.Duration
	mu           sync.Mutex
	published    vmListAnswer
	pending      vmListAnswer
	publishAt    time.Time
	outage       bool
}

// NewVMList returns an empty list.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{publishDelay: lag}
}

// Set replaces the list; the new one is published after the delay.
func (l *VMList) Set(vms []ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishPending()
	l.pending = vmListAnswer{Version: max(l.published.Version, l.pending.Version) + 1, VMs: vms}
	l.publishAt = time.Now().Add(l.publishDelay)
}

// SetOutage starts or ends an outage, in which all calls are answered with 503.
func (l *VMList) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

func (l *VMList) publishPending() {
	if l.pending.Version > l.published.Version && !time.Now().Before(l.publishAt) {
		l.published = l.pending
	}
}

// Register adds the list's HTTP handlers.
func (l *VMList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		l.publishPending()
		writeJSON(w, l.published)
	})
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []ListedVM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Platform simulates all services of the platform in one process.
type Platform struct {
	Log    *Log
	VMs    *VMList
	Store  *Weights
	Origin *Weights
}

// PlatformFaults selects the faults of all services of the platform.
type PlatformFaults struct {
	Log      LogFaults     `json:"log"`
	ListDown bool          `json:"list_down"`
	Store    WeightsFaults `json:"store"`
	Origin   WeightsFaults `json:"origin"`
}

// PlatformStats counts the content bytes that the origin and the store have sent.
type PlatformStats struct {
	OriginBytes int64 `json:"origin_bytes"`
	StoreBytes  int64 `json:"store_bytes"`
}

// Handler returns the HTTP handler of all services of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.Log.Register(mux)
	p.VMs.Register(mux)
	p.Store.Register(mux, "/store/")
	p.Origin.Register(mux, "/origin/")
	var mu sync.Mutex
	var faults PlatformFaults
	handleFaults(mux, func() any { mu.Lock(); defer mu.Unlock(); return faults }, func(d *json.Decoder) error {
		mu.Lock()
		defer mu.Unlock()
		next := faults
		if err := d.Decode(&next); err != nil {
			return err
		}
		faults = next
		p.Log.SetFaults(faults.Log)
		p.VMs.SetOutage(faults.ListDown)
		p.Store.SetFaults(faults.Store)
		p.Origin.SetFaults(faults.Origin)
		return nil
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, PlatformStats{OriginBytes: p.Origin.BytesSent(), StoreBytes: p.Store.BytesSent()})
	})
	return mux
}
