package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/kernel"
)

const (
	// datagramTarget is the network between gateways and stagers. Its faults excuse no process.
	datagramTarget = "datagrams"
	// relayPort is the port to which gateways and stagers send datagrams, and processPort the one on which they receive
	// them from the relay. Both have four digits, so that one can replace the other in a message.
	relayPort, processPort = 7700, 7701
	// maxDatagramBytes is the size of the largest message of gateways and stagers.
	maxDatagramBytes = 4096
	// minDatagramShare and maxDatagramShare bound the share of datagrams that a fault affects.
	minDatagramShare, maxDatagramShare = 0.1, 0.6
	// maxDatagramDelay is longer than a gateway waits for a reservation (30 ms), and than an unused one lasts (40 ms). From
	// 75 ms each way the link counts as queued, and outdated engines behind it get nothing for the whole swap time.
	maxDatagramDelay = 60 * time.Millisecond
	// reservationTimeout bounds the wait for a reservation under which a process is to be stopped.
	reservationTimeout = 2 * time.Second
	// maxOriginHeadStart bounds the time from the publication of a version, of which a part is then fetched, to an outage.
	maxOriginHeadStart = 300 * time.Millisecond
)

// Relay passes the datagrams between gateways and stagers on, and injects faults into them.
type Relay struct {
	// count increments a counter of the run.
	count  func(what string)
	mu     sync.Mutex
	random *rand.Rand
	// shares are the shares of datagrams that faults affect, by the name of the fault.
	shares map[string]float64
	// onReservation holds what is called before a reservation is passed on, by the IP address of its stager or gateway.
	onReservation map[string]func()
}

// newRelay returns a relay without faults.
func newRelay(seed uint64, count func(what string)) *Relay {
	return &Relay{count: count, random: rand.New(rand.NewPCG(seed, relayPort)), shares: map[string]float64{}, onReservation: map[string]func(){}}
}

// Serve relays the datagrams to a process's IP address until the context ends.
func (r *Relay) Serve(ctx context.Context, ip string) error {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: relayPort})
	if err != nil {
		return trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { c.Close() })
	go func() {
		b := make([]byte, maxDatagramBytes)
		for ctx.Err() == nil {
			if n, from, err := c.ReadFromUDPAddrPort(b); err == nil {
				r.relay(c, ip, from.Addr().String(), b[:n])
			}
		}
	}()
	return nil
}

// relay passes a datagram on, unless a fault affects it. It replaces the sender's address by its own, so that answers pass
// it too. The second copy of a doubled datagram is late.
func (r *Relay) relay(c *net.UDPConn, to, from string, b []byte) {
	b = bytes.ReplaceAll(b, fmt.Append(nil, ":", processPort), fmt.Append(nil, ":", relayPort))
	r.mu.Lock()
	defer r.mu.Unlock()
	var m pb.UpstreamReport
	if proto.Unmarshal(b, &m) == nil && m.GetPermit().GetReservation() != nil && m.GetPermit().GetPermit() > 0 {
		r.count("reservations offered")
		for _, ip := range []string{from, to} {
			if call := r.onReservation[ip]; call != nil {
				call()
				delete(r.onReservation, ip)
			}
		}
	}
	send := func() { _, _ = c.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(to), Port: processPort}) }
	late := time.Duration(1 + r.random.Int64N(int64(maxDatagramDelay)))
	switch drawn := r.random.Float64(); {
	case drawn < r.shares[doDatagramLoss]:
		r.count("datagrams lost")
		return
	case drawn > 1-r.shares[doDatagramDelay]:
		r.count("datagrams delayed")
		time.AfterFunc(late, send)
	default:
		send()
	}
	if r.random.Float64() < r.shares[doDatagramDouble] {
		r.count("datagrams doubled")
		time.AfterFunc(late, send)
	}
}

// stopAtReservation suspends a process before its next reservation is passed on. It returns false if there is none within
// reservationTimeout.
func (r *Relay) stopAtReservation(ctx context.Context, p *Process) bool {
	ctx, reached := context.WithTimeout(ctx, reservationTimeout)
	defer reached()
	r.mu.Lock()
	r.onReservation[p.ip] = func() { p.signal(syscall.SIGSTOP); reached() }
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, pending := r.onReservation[p.ip]
	delete(r.onReservation, p.ip)
	return !pending
}

// setShare sets the share of datagrams that a fault affects.
func (r *Relay) setShare(fault string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares[fault] = share
}

// faultDatagrams injects a fault into a share of the datagrams between gateways and stagers.
func (w *Fleet) faultDatagrams(ctx context.Context, s Step) {
	defer w.history.BeginFault(datagramTarget, s.Action)()
	w.relay.setShare(s.Action, minDatagramShare+s.Magnitude*(maxDatagramShare-minDatagramShare))
	kernel.Pause(ctx, s.Duration)
	w.relay.setShare(s.Action, 0)
}

// faultAtReservation stops a stager or a gateway after a stager has offered a reservation and before the gateway can send
// the request.
func (w *Fleet) faultAtReservation(ctx context.Context, s Step) {
	l := w.stagers
	if s.Action == doGatewayPauseReserved {
		l = w.gateways
	}
	p := l[int(s.Selector>>8)%len(l)]
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	stop := p.Pause
	if s.Action == doStagerKillReserved {
		stop = p.Kill
	}
	if w.relay.stopAtReservation(ctx, p) {
		w.history.Count(s.Action)
		stop(ctx, s.Duration)
	}
}

// faultOrigin publishes a version, makes the origin of weights unavailable, and publishes another one meanwhile.
func (w *Fleet) faultOrigin(ctx context.Context, s Step) {
	defer w.history.BeginFault(w.originAddress, s.Action)()
	w.publishVersion()
	kernel.Pause(ctx, time.Duration(s.Magnitude*float64(maxOriginHeadStart)))
	w.originSlot.link.SetSilent(true)
	kernel.Pause(ctx, s.Duration/2)
	w.publishVersion()
	kernel.Pause(ctx, s.Duration/2)
	w.originSlot.link.SetSilent(false)
}
