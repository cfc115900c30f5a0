package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

// Fleet is a simulated platform with the gateways and stagers that run on it.
type Fleet struct {
	settings      *Settings
	history       *History
	store         *standin.KeyedStore
	relay         *Relay
	net           string
	netLock       net.Listener
	originAddress string
	gateways      []*Process
	stagers       []*Process
	// plain and engines are the slots of the plain upstreams and of the model engines.
	plain, engines []*Slot
	// originSlot is the slot of the weights' origin, whose link can have faults like those of upstreams.
	originSlot *Slot
	version    int
	config     int
	// lastConfig is the newest configuration, and snapshots are those that the store can be restored from.
	lastConfig   []byte
	snapshots    []storeSnapshot
	runningSteps sync.WaitGroup
	mu           sync.Mutex
}

const (
	// firstNet and netCount are the range of loopback networks for runs; each run uses one.
	firstNet, netCount = 100, 80
	// startupTimeout bounds the start of all processes with empty engines.
	startupTimeout = 30 * time.Second
	// maxTimerLag is the timer delay from which the machine counts as faulty.
	maxTimerLag, lagCheckInterval = 150 * time.Millisecond, 50 * time.Millisecond
)

// reserveNet reserves a loopback network that no other run uses. Each seed prefers a different network, because
// addresses decide which process reads the store for its failure domain.
func reserveNet(seed uint64) (string, net.Listener, error) {
	for n := range netCount {
		a := fmt.Sprintf("127.%d", firstNet+(int(seed%netCount)+n)%netCount)
		if l, err := net.Listen("tcp", a+".0.1:7999"); err == nil {
			return a, l, nil
		}
	}
	return "", nil, trace.Errorf("all loopback networks for runs are in use")
}

// firstVersion is the version that is served before any has been published.
const firstVersion = 1

// newFleet creates the fleet and starts all of its processes.
func newFleet(ctx context.Context, s *Settings, b *History) (*Fleet, error) {
	n, lock, err := reserveNet(s.Seed)
	if err != nil {
		return nil, err
	}
	w := &Fleet{settings: s, history: b, store: standin.NewKeyedStore(), net: n, netLock: lock, originAddress: n + ".3.1:8001"}
	w.relay = newRelay(s.Seed, b.Count)
	l, err := listenLink(w.originAddress)
	if err != nil {
		return w, err
	}
	b.streamTargets = append(b.streamTargets, w.originAddress)
	w.originSlot = &Slot{address: w.originAddress, link: l}
	go func() {
		_ = standin.ServeOn(ctx, l, standin.ModelOrigin{Model: model, Chunks: chunks, ChunkBytes: chunkBytes})
	}()
	w.version = firstVersion
	w.publishConfig(0)
	for i := range plainUpstreams {
		if err := w.addSlot(ctx, &w.plain, plainPool, fmt.Sprintf("%s.5.%d:8001", n, i+1), i); err != nil {
			return w, err
		}
	}
	for i := range s.Stagers {
		if err := w.addSlot(ctx, &w.engines, "engines", fmt.Sprintf("%s.2.%d:8001", n, i+1), i); err != nil {
			return w, err
		}
	}
	return w, w.startAll(ctx)
}

// eventIntervals are the times between two events of the engines' streams, which last 0.2 to 2 s; the longest exceed a
// drain.
var eventIntervals = [...]time.Duration{
	20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond, 80 * time.Millisecond, 170 * time.Millisecond,
}

func (w *Fleet) addSlot(ctx context.Context, to *[]*Slot, pool, address string, i int) error {
	s := &Slot{address: address, pool: pool, domain: w.domain(i), history: w.history, store: w.store}
	if pool == "engines" {
		s.eventInterval = eventIntervals[i%len(eventIntervals)]
		w.history.streamTargets = append(w.history.streamTargets, address)
	}
	*to = append(*to, s)
	if err := s.Start(ctx); err != nil {
		return err
	}
	go s.heartbeat(ctx)
	return nil
}

func (w *Fleet) domain(i int) string {
	return fmt.Sprint("d", i%w.settings.Domains)
}

func (w *Fleet) startAll(ctx context.Context) error {
	for i := range w.settings.Stagers {
		p, err := w.startProcess(ctx, i, "stager", stagerSettings, fmt.Sprintf("%s.2.%d", w.net, i+1))
		if err != nil {
			return err
		}
		w.stagers = append(w.stagers, p)
	}
	for i := range w.settings.Gateways {
		ip := fmt.Sprintf("%s.1.%d", w.net, i+1)
		p, err := w.startProcess(ctx, i, "gateway", gatewaySettings, ip)
		if err != nil {
			return err
		}
		p.callerAddress, p.internalAddress, p.readyURL = ip+":8005", ip+":7700", "http://"+ip+":8002/v1/readiness"
		w.gateways = append(w.gateways, p)
		go p.watchReadiness(ctx)
	}
	return nil
}

// startProcess writes a program's settings, opens its endpoint of the store and starts it.
func (w *Fleet) startProcess(ctx context.Context, i int, kind, text, ip string) (*Process, error) {
	name := fmt.Sprintf("%s-%d", kind, i+1)
	w.history.streamTargets = append(w.history.streamTargets, name)
	group := map[string]int{"gateway": 1, "stager": 2}[kind]
	endpoint := fmt.Sprintf("%s.4.%d:80%02d", w.net, i+1, group)
	if err := w.relay.Serve(ctx, ip); err != nil {
		return nil, err
	}
	d, err := serveStoreEndpoint(ctx, w.store, endpoint)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.settings.LogDir, name+".toml")
	all := fmt.Sprintf(text, name, w.domain(i), drainTime, endpoint, ip, swapTime, w.net)
	if err := os.WriteFile(file, []byte(all), 0o600); err != nil {
		return nil, trace.Wrap(err)
	}
	log, err := NewLogPipe(filepath.Join(w.settings.LogDir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{
		name: name, ip: ip, program: filepath.Join(w.settings.BinDir, "springrail-"+kind), settingsFile: file,
		log: log, store: d, history: w.history,
	}
	return p, p.Start()
}

// processes returns all gateways and stagers.
func (w *Fleet) processes() []*Process {
	return slices.Concat(w.gateways, w.stagers)
}

// close ends all processes.
func (w *Fleet) close() {
	for _, p := range w.processes() {
		p.Stop()
	}
	w.netLock.Close()
}

// waitReady waits until all engines serve a version and all gateways are ready.
func (w *Fleet) waitReady(ctx context.Context) error {
	until := time.Now().Add(startupTimeout)
	for ctx.Err() == nil {
		ready := true
		for _, s := range w.engines {
			ready = ready && s.ServedVersion() > 0
		}
		for _, g := range w.gateways {
			ready = ready && g.isReady.Load()
		}
		if ready {
			return nil
		}
		if time.Now().After(until) {
			return trace.Errorf("not all engines serve and not all gateways are ready after %v", startupTimeout)
		}
		kernel.Pause(ctx, readyInterval)
	}
	return trace.Wrap(ctx.Err())
}

// watchMachine records stalls of the soak process itself as faults of the machine.
func (w *Fleet) watchMachine(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		kernel.Pause(ctx, lagCheckInterval)
		now := time.Now()
		w.history.RecordTick()
		if late := now.Sub(last) - lagCheckInterval; late > maxTimerLag {
			w.history.RecordStall(late)
			w.history.BeginFault(machineTarget, fmt.Sprintf("stood still for %v", late.Round(time.Millisecond)))()
		}
		last = now
	}
}

// publishConfig writes a new configuration; a size above smallConfigShare makes it a large one.
func (w *Fleet) publishConfig(size float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config++
	b := configOf(w.config, size > smallConfigShare, w.originAddress)
	w.lastConfig = b
	w.store.Put(operatorTopic, configKey, b)
	w.history.RecordConfig(w.config, len(b))
}

// smallConfigShare is the share of configurations that are small.
const smallConfigShare = 0.5

// publishVersion publishes the next version.
func (w *Fleet) publishVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putVersion()
	w.history.RecordVersion(w.version)
}

// putVersion writes the newest version to the store. The caller holds the lock.
func (w *Fleet) putVersion() {
	w.store.Put(operatorTopic, versionKey, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, w.version))
}

// run starts the callers and carries out the planned steps.
func (w *Fleet) run(ctx context.Context) error {
	go w.watchMachine(ctx)
	go w.keepSnapshots(ctx)
	go w.checkCallRate(ctx)
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	start := time.Now()
	w.history.RecordEvent("all engines serve, all gateways are ready")
	length := time.Duration(w.settings.Seconds) * time.Second
	w.history.end = start.Add(length)
	ctx, stop := context.WithDeadline(ctx, w.history.end)
	defer stop()
	var running sync.WaitGroup
	for i := range callerCount + patientCallers {
		c := &Caller{
			name: fmt.Sprintf("s%d-%d", w.settings.Seed, i), history: w.history, gateways: w.gateways, isPatient: i >= callerCount,
			random: rand.New(rand.NewPCG(w.settings.Seed, uint64(i))),
		}
		running.Go(func() { c.Run(ctx) })
	}
	for _, s := range Plan(w.settings.Seed, length, w.settings.Faults) {
		kernel.Pause(ctx, time.Until(start.Add(s.At)))
		if ctx.Err() != nil {
			break
		}
		w.runningSteps.Go(func() { w.inject(ctx, s) })
	}
	<-ctx.Done()
	running.Wait()
	w.runningSteps.Wait()
	w.history.CheckFinalPhase()
	w.history.CheckRanks()
	return nil
}
