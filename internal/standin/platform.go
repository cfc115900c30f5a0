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

type listedVMs struct {
	Version uint64     `json:"version"`
	VMs     []ListedVM `json:"vms"`
}

// VMList plays the platform's list: what is set shows after a lag.
type VMList struct {
	lag     time.Duration
	mu      sync.Mutex
	shown   listedVMs
	pending listedVMs
	showAt  time.Time
	outage  bool
}

// NewVMList makes an empty list.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag}
}

// Set replaces the list; it shows after the lag.
func (l *VMList) Set(vms []ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.pending = listedVMs{Version: max(l.shown.Version, l.pending.Version) + 1, VMs: vms}
	l.showAt = time.Now().Add(l.lag)
}

// SetOutage refuses all calls or takes them again.
func (l *VMList) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

func (l *VMList) settle() {
	if l.pending.Version > l.shown.Version && !time.Now().Before(l.showAt) {
		l.shown = l.pending
	}
}

// Register adds the handlers.
func (l *VMList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		l.settle()
		writeJSON(w, l.shown)
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

// Platform is all of the platform in one process.
type Platform struct {
	Log    *Log
	VMs    *VMList
	Store  *Weights
	Origin *Weights
}

// PlatformFaults are the faults of all parts of the platform.
type PlatformFaults struct {
	Log      LogFaults     `json:"log"`
	ListDown bool          `json:"list_down"`
	Store    WeightsFaults `json:"store"`
	Origin   WeightsFaults `json:"origin"`
}

// PlatformStats counts what was drawn, in bytes.
type PlatformStats struct {
	OriginBytes int64 `json:"origin_bytes"`
	StoreBytes  int64 `json:"store_bytes"`
}

// Handler returns the platform's HTTP.
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
