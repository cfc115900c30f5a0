package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

// The figures of the deployment, which are those of the site psh-rezerva.
const (
	modelName     = "m0"
	engineService = "huts"
	plainService  = "booking"
	chunkCount    = 96
	chunkBytes    = 24576
	layerCount    = 16
	engineSlots   = 16
	plainSlots    = 6
	loadTime      = 300 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	versionMs     = 8000
	recoverySecs  = 12
	firstVersion  = 1
	// originBytesPerSecond is the link of the origin, 7.3 Mbit/s.
	originBytesPerSecond = 7.3e6 / 8
)

// The topics of the platform's store.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
)

// world is a small deployment: the platform's store, the origin, the servers, and the gateways and stagers.
type world struct {
	record   *record
	tmp      string
	net      string
	lock     net.Listener
	store    *standin.KeyedStore
	outage   *partialOutage
	origin   *origin
	engines  []*engine
	plain    []*plainServer
	gateways []*process
	stagers  []*process
	ctx      context.Context
}

// newWorld reserves a network of loopback addresses and serves the platform on it.
func newWorld(ctx context.Context, tmp string, r *record) (*world, error) {
	w := &world{record: r, tmp: tmp, store: standin.NewKeyedStore(), ctx: ctx}
	for n := 185; n < 250 && w.lock == nil; n++ {
		w.net = fmt.Sprintf("127.%d", n)
		w.lock, _ = net.Listen("tcp", w.net+".0.1:7999")
	}
	if w.lock == nil {
		return nil, fmt.Errorf("no free network of loopback addresses")
	}
	w.origin = newOrigin(r)
	w.outage = &partialOutage{next: w.store.NewEndpoint()}
	if err := w.serve(w.storeAddress(), w.outage); err != nil {
		return nil, err
	}
	return w, w.serve(w.originAddress(), w.origin)
}

func (w *world) storeAddress() string {
	return w.net + ".4.1:8007"
}

func (w *world) originAddress() string {
	return w.net + ".3.1:8006"
}

// serve serves a handler on an address until the case ends.
func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = standin.ServeOn(w.ctx, l, h) }()
	return nil
}

func (w *world) close() {
	for _, p := range w.processes() {
		p.kill()
	}
	for _, e := range w.engines {
		e.close()
	}
	w.lock.Close()
}

func (w *world) processes() []*process {
	return append(append([]*process{}, w.gateways...), w.stagers...)
}

// domains are the zones of the deployment, by number.
func domainName(i int) string {
	return fmt.Sprintf("zone-%d", i+1)
}

// addEngines adds a model server for each domain number, which holds version 1, staged too.
func (w *world) addEngines(domains ...int) error {
	for i, d := range domains {
		e := newEngine(fmt.Sprintf("engine-%d", i+1), fmt.Sprintf("%s.2.%d:8001", w.net, i+1), domainName(d), w.record)
		e.store = w.store
		if err := e.listen(); err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		go e.beat(w.ctx)
	}
	return nil
}

// addPlainServers adds a plain server for each domain number.
func (w *world) addPlainServers(domains ...int) error {
	for i, d := range domains {
		s := &plainServer{id: fmt.Sprintf("plain-%d", i+1), address: fmt.Sprintf("%s.5.%d:8001", w.net, i+1), domain: domainName(d), record: w.record}
		if err := w.serve(s.address, s); err != nil {
			return err
		}
		w.plain = append(w.plain, s)
		go w.beat(s.id, s.entry)
	}
	return nil
}

// beat writes a server's entry to the store until the case ends.
func (w *world) beat(id string, entry func(sequence int) map[string]any) {
	for n := 1; w.ctx.Err() == nil; n++ {
		if b, err := json.Marshal(entry(n)); err == nil {
			w.store.Put(serverTopic, id, b)
		}
		pause(w.ctx, heartbeat)
	}
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// addProcesses adds a gateway for each of the first domain numbers and a stager beside each engine, and starts them.
func (w *world) addProcesses(gatewayDomains ...int) error {
	zones := map[string]string{}
	var seeds []string
	for i, d := range gatewayDomains {
		zones[domainName(d)] = "region-" + domainName(d)
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:8000", w.net, i+1))
	}
	for i, d := range gatewayDomains {
		p, err := w.newProcess("gateway", i, fmt.Sprintf("%s.1.%d", w.net, i+1), domainName(d), seeds, zones)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, p)
	}
	for i, e := range w.engines {
		p, err := w.newProcess("stager", i, fmt.Sprintf("%s.2.%d", w.net, i+1), e.domain, seeds, zones)
		if err != nil {
			return err
		}
		w.stagers = append(w.stagers, p)
	}
	return w.startAll()
}

// newProcess writes the settings of a process, with the bounds of the site psh-rezerva.
func (w *world) newProcess(role string, i int, ip, domain string, seeds []string, zones map[string]string) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, i+1), domain: domain, ip: ip}
	p.settingsPath = filepath.Join(w.tmp, p.name+".toml")
	p.logPath = filepath.Join(w.tmp, p.name+".log")
	var err error
	if p.run, err = runCommand("deploy/system.toml", role, p.settingsPath); err != nil {
		return nil, err
	}
	f := fields{
		"node": p.name, "zone": domain, "ip": ip, "seeds": seeds, "zones": zones, "service": engineService, "app": ip + ":8001",
		"internalPorts": []int{7700, 7715},
		"platform":      fields{"address": w.storeAddress()},
		"listen":        fields{"front": ip + ":8005", "ready": ip + ":8002", "control": ip + ":8000"},
		"bounds": fields{
			"graceS": 8, "version_ms": versionMs, "retryBudgetRatio": 0.2, "retryBudgetSlack": 100, "budgetWindowS": 10,
		},
	}
	return p, writeSettings("deploy/"+role+".toml", p.settingsPath, f)
}

func (w *world) startAll() error {
	for _, p := range w.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all gateways are ready.
func (w *world) waitReady(ctx context.Context) error {
	for until := time.Now().Add(20 * time.Second); ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		ready := 0
		for _, g := range w.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(w.gateways) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(w.gateways))
		}
	}
	return ctx.Err()
}

// publish names a version of the model; the store's acknowledgement is its return.
func (w *world) publish(version int) {
	w.origin.name(version)
	w.store.Put(operatorTopic, "version/"+modelName, fmt.Appendf(nil, `{"model":%q,"version":%d}`, modelName, version))
	w.record.add("version %d named", version)
}
