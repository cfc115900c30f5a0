package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

// The topics and keys of the platform's store.
const (
	operatorTopic, configKey = "keyed.op", "config"
	serverTopic              = "keyed.servers"
	heartbeatInterval        = 1200 * time.Millisecond
)

// The service, its host and what its only tenant shows.
const (
	service, host, tenantText = "records", "desk.example", "bozi300-1"
	graceTime                 = 8 * time.Second
)

// Fleet is a small deployment: a store, servers of one service and gateways as processes.
type Fleet struct {
	record     *Record
	root, dir  string
	network    string
	lock       net.Listener
	store      *standin.KeyedStore
	storeAddr  string
	config     int
	gateways   []*Process
	stagers    []*Process
	stopServer context.CancelFunc
	ctx        context.Context
}

// newFleet starts the stand-in of the store, with no configuration yet.
func newFleet(r *Record, root, dir string) (*Fleet, error) {
	network, lock, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{record: r, root: root, dir: dir, network: network, lock: lock, store: standin.NewKeyedStore(), ctx: ctx, stopServer: stop}
	f.storeAddr = network + ".200:8007"
	l, err := net.Listen("tcp", f.storeAddr)
	if err != nil {
		return nil, err
	}
	go func() { _ = standin.ServeOn(ctx, l, f.store.NewEndpoint()) }()
	return f, nil
}

// route is a route of the configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	StreamResume    bool   `json:"streamResume"`
	GapAimMs        int    `json:"gap_aim_ms"`
}

// putConfig writes the next configuration.
func (f *Fleet) putConfig(routes []route, services ...map[string]any) {
	f.config++
	services = append(services, map[string]any{"name": service, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false})
	b, _ := json.Marshal(map[string]any{
		"version": f.config, "routes": routes,
		"services": services,
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 22, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": []string{tenantText}, "priority": 1}},
	})
	f.store.Put(operatorTopic, configKey, b)
	f.record.Addf("the store has configuration %d", f.config)
}

// addServer starts a server of the service and lists it in the store.
func (f *Fleet) addServer(n int, h http.Handler) error {
	s := &Server{id: fmt.Sprintf("i-%s-%d", strings.ReplaceAll(f.network, ".", ""), n), address: fmt.Sprintf("%s.%d:8001", f.network, 100+n), fleet: f, zone: fmt.Sprintf("zone-%d", 1+n%3)}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go func() { _ = standin.ServeOn(f.ctx, l, h) }()
	go s.heartbeat()
	return nil
}

// Server is a listed server of the service.
type Server struct {
	id, address, zone string
	fleet             *Fleet
}

func (s *Server) heartbeat() {
	for n := 0; s.fleet.ctx.Err() == nil; n++ {
		b, _ := json.Marshal(map[string]any{
			"service": service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "sequence": n,
		})
		s.fleet.store.Put(serverTopic, s.id, b)
		time.Sleep(heartbeatInterval)
	}
}

// addGateways starts gateways, spread over three failure domains, and waits until all are ready.
func (f *Fleet) addGateways(n int) error {
	seeds := f.seeds(n)
	for i := range n {
		ip := fmt.Sprintf("%s.%d", f.network, 1+i)
		p, err := newGateway(f.record, f.root, f.dir, ip, fmt.Sprintf("zone-%d", 1+i%3), f.storeAddr, seeds, graceTime)
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range f.gateways {
		if err := p.waitReady(f.ctx); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the addresses of up to three of n gateways.
func (f *Fleet) seeds(n int) []string {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d", f.network, 1+i))
	}
	return seeds
}

// Close ends all that the fleet has started.
func (f *Fleet) Close() {
	for _, p := range append(f.gateways, f.stagers...) {
		p.Stop()
	}
	f.stopServer()
	f.lock.Close()
}
