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

// Fleet is a small platform with gateways and stagers on it.
type Fleet struct {
	settings *Settings
	history  *History
	store    *standin.KeyedStore
	net      string
	lock     net.Listener
	origin   string
	gateways []*Process
	stagers  []*Process
	// plain and engines are the addresses of upstreams.
	plain, engines []*Slot
	// weights is the origin, whose link can be hurt like theirs.
	weights *Slot
	version int
	config  int
	// lastConfig is the newest configuration, and copies are those of the store that it may come back from.
	lastConfig []byte
	copies     []storeCopy
	steps      sync.WaitGroup
	mu         sync.Mutex
}

const (
	// firstNet and nets are the loopback networks that runs take, one each.
	firstNet, nets = 100, 80
	// fillWithin bounds the start of all with empty engines.
	fillWithin = 30 * time.Second
	// lagMost is how late a timer may be before the machine counts as the one at fault.
	lagMost, lagLook = 150 * time.Millisecond, 50 * time.Millisecond
)

// takeNet finds a loopback network that no other run uses. Each seed has its own, as addresses decide who reads for a domain.
func takeNet(seed uint64) (string, net.Listener, error) {
	for n := range nets {
		a := fmt.Sprintf("127.%d", firstNet+(int(seed%nets)+n)%nets)
		if l, err := net.Listen("tcp", a+".0.1:7999"); err == nil {
			return a, l, nil
		}
	}
	return "", nil, trace.Errorf("all loopback networks for runs are in use")
}

// firstVersion is the one that nobody has named.
const firstVersion = 1

// newFleet makes and starts everything.
func newFleet(ctx context.Context, s *Settings, b *History) (*Fleet, error) {
	n, lock, err := takeNet(s.Seed)
	if err != nil {
		return nil, err
	}
	w := &Fleet{settings: s, history: b, store: standin.NewKeyedStore(), net: n, lock: lock, origin: n + ".3.1:8001"}
	l, err := listenLink(w.origin)
	if err != nil {
		return w, err
	}
	w.weights = &Slot{address: w.origin, link: l}
	go func() {
		_ = standin.ServeOn(ctx, l, standin.ModelOrigin{Model: model, Chunks: chunks, ChunkBytes: chunkBytes})
	}()
	w.version = firstVersion
	w.configure(0)
	for i := range plainUpstreams {
		if err := w.slot(ctx, &w.plain, "desk", fmt.Sprintf("%s.5.%d:8001", n, i+1), i); err != nil {
			return w, err
		}
	}
	for i := range s.Stagers {
		if err := w.slot(ctx, &w.engines, "engines", fmt.Sprintf("%s.2.%d:8001", n, i+1), i); err != nil {
			return w, err
		}
	}
	return w, w.startAll(ctx)
}

// eventTimes are the times between two events of the engines' streams, which take 0.2 to 2 s; the longest outlast a drain.
var eventTimes = [...]time.Duration{
	20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond, 80 * time.Millisecond, 170 * time.Millisecond,
}

func (w *Fleet) slot(ctx context.Context, to *[]*Slot, pool, address string, i int) error {
	s := &Slot{address: address, pool: pool, domain: w.domain(i), history: w.history, store: w.store}
	if pool == "engines" {
		s.event = eventTimes[i%len(eventTimes)]
	}
	*to = append(*to, s)
	if err := s.Start(ctx); err != nil {
		return err
	}
	go s.beat(ctx)
	return nil
}

func (w *Fleet) domain(i int) string {
	return fmt.Sprint("d", i%w.settings.Domains)
}

func (w *Fleet) startAll(ctx context.Context) error {
	for i := range w.settings.Stagers {
		p, err := w.process(ctx, i, "stager", stagerText, fmt.Sprintf("%s.2.%d", w.net, i+1))
		if err != nil {
			return err
		}
		w.stagers = append(w.stagers, p)
	}
	for i := range w.settings.Gateways {
		ip := fmt.Sprintf("%s.1.%d", w.net, i+1)
		p, err := w.process(ctx, i, "gateway", gatewayText, ip)
		if err != nil {
			return err
		}
		p.front, p.internal, p.ready = ip+":8005", ip+":7700", "http://"+ip+":8002/v1/readiness"
		w.gateways = append(w.gateways, p)
		go p.watch(ctx)
	}
	return nil
}

// process writes the settings of a program, opens its door to the store and starts it.
func (w *Fleet) process(ctx context.Context, i int, kind, text, ip string) (*Process, error) {
	name := fmt.Sprintf("%s-%d", kind, i+1)
	group := map[string]int{"gateway": 1, "stager": 2}[kind]
	door := fmt.Sprintf("%s.4.%d:80%02d", w.net, i+1, group)
	d, err := openDoor(ctx, w.store, door)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.settings.LogDir, name+".toml")
	all := fmt.Sprintf(text, name, w.domain(i), grace, door, ip, swapWithin)
	if err := os.WriteFile(file, []byte(all), 0o600); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Process{
		name: name, program: filepath.Join(w.settings.BinDir, "springrail-"+kind), settings: file,
		log: filepath.Join(w.settings.LogDir, name+".log"), door: d, history: w.history,
	}
	return p, p.Start()
}

// all lists all processes.
func (w *Fleet) all() []*Process {
	return slices.Concat(w.gateways, w.stagers)
}

// close ends all processes.
func (w *Fleet) close() {
	for _, p := range w.all() {
		p.Stop()
	}
	w.lock.Close()
}

// filled waits until all engines serve and all gateways are ready.
func (w *Fleet) filled(ctx context.Context) error {
	until := time.Now().Add(fillWithin)
	for ctx.Err() == nil {
		ready := true
		for _, s := range w.engines {
			ready = ready && s.ServedVersion() > 0
		}
		for _, g := range w.gateways {
			ready = ready && g.ok.Load()
		}
		if ready {
			return nil
		}
		if time.Now().After(until) {
			return trace.Errorf("not all engines serve and not all gateways are ready after %v", fillWithin)
		}
		kernel.Pause(ctx, readyLook)
	}
	return trace.Wrap(ctx.Err())
}

// watchMachine notes the times at which this process itself stood still.
func (w *Fleet) watchMachine(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		kernel.Pause(ctx, lagLook)
		now := time.Now()
		w.history.RecordTick()
		if late := now.Sub(last) - lagLook; late > lagMost {
			w.history.RecordStall(late)
			w.history.BeginFault(theMachine, fmt.Sprintf("stood still for %v", late.Round(time.Millisecond)))()
		}
		last = now
	}
}

// configure puts a new configuration; size is the share of configurations that are large.
func (w *Fleet) configure(size float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config++
	b := configOf(w.config, size > bigShare, w.origin)
	w.lastConfig = b
	w.store.Put(operatorTopic, configKey, b)
	w.history.RecordConfig(w.config, len(b))
}

// bigShare is the share of configurations that are small.
const bigShare = 0.5

// name puts a newer version.
func (w *Fleet) name() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putVersion()
	w.history.RecordVersion(w.version)
}

// putVersion writes the newest version; the caller holds the lock.
func (w *Fleet) putVersion() {
	w.store.Put(operatorTopic, versionKey, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, w.version))
}

// run lets callers ask and carries the plan out.
func (w *Fleet) run(ctx context.Context) error {
	go w.watchMachine(ctx)
	go w.keepCopies(ctx)
	go w.watchCalls(ctx)
	if err := w.filled(ctx); err != nil {
		return err
	}
	start := time.Now()
	w.history.RecordEvent("all engines serve, all gateways are ready")
	length := time.Duration(w.settings.Seconds) * time.Second
	w.history.end = start.Add(length)
	ctx, stop := context.WithDeadline(ctx, w.history.end)
	defer stop()
	var asking sync.WaitGroup
	for i := range callers {
		c := &Caller{
			name: fmt.Sprintf("s%d-%d", w.settings.Seed, i), history: w.history, gateways: w.gateways,
			random: rand.New(rand.NewPCG(w.settings.Seed, uint64(i))),
		}
		asking.Go(func() { c.Run(ctx) })
	}
	for _, s := range Plan(w.settings.Seed, length, w.settings.Faults) {
		kernel.Pause(ctx, time.Until(start.Add(s.At)))
		if ctx.Err() != nil {
			break
		}
		w.steps.Go(func() { w.inject(ctx, s) })
	}
	<-ctx.Done()
	asking.Wait()
	w.steps.Wait()
	w.history.CheckFinalPhase()
	return nil
}
