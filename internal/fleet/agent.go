package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/follow"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/status"
	"github.com/springrail/springrail/internal/transfer"
	"github.com/springrail/springrail/internal/upstream"
)

// Agent is a running agent with the parts that tests and experiments use.
type Agent struct {
	VM       id.VM
	Domain   id.Domain
	Manager  *transfer.Manager
	Follower *follow.Follower
	Link     *Link
	// Engine and Service are the upstream of an agent in a serving fleet; one of them is nil.
	Engine     *standin.Engine
	Service    *standin.Service
	host       *kernel.Host
	server     *rpc.Server
	stop       context.CancelFunc
	stopEngine context.CancelFunc
	done       chan struct{}
}

// Kill ends the VM abruptly, like a power failure.
func (a *Agent) Kill() {
	a.Link.Kill()
	a.stop()
}

// Leave stops the agent as a planned stop does, and waits until it has ended.
func (a *Agent) Leave() {
	a.host.BeginShutdown()
	<-a.done
}

// KillEngine ends the engine but not the agent, and returns once it accepts no connections.
func (a *Agent) KillEngine() {
	a.stopEngine()
}

func (f *Fleet) addAgent(ctx context.Context, i int, service bool) error {
	l, err := listen()
	if err != nil {
		return err
	}
	a := &Agent{VM: id.VM(fmt.Sprintf("vm-%03d", i)), Domain: f.domain(i), done: make(chan struct{})}
	a.Link = newLink(a.Domain, f.size.LinkBytesPerSecond, f.size.HalfDuplex, f.reachable)
	dial, clock := a.Link.dialer(f.lookup), f.clock(i+1)
	a.server = rpc.NewWithDialer(a.Link.Listener(l), dial, clock)
	parts, url := slices.Clone(agentParts), ""
	if f.size.Serving {
		parts = append(parts, servingAgentParts...)
		if url, err = f.addUpstream(ctx, a, service); err != nil {
			return err
		}
	}
	pool := Model
	if service {
		pool = Service
	}
	a.host, err = f.newHost(string(a.VM), a.Domain, parts, clock, a.server, dial, func(m map[string]kernel.Section) {
		*m["swarm"].(*transfer.Settings) = *f.size.Swarm
		v := m["vm"].(*follow.Settings)
		v.Pool, v.Engine = pool, !service
		if f.size.Serving {
			u := m["upstream"].(*upstream.Settings)
			u.URL, u.Local, u.Poll = url, anyPort, 20*time.Millisecond
			m["status"].(*status.Settings).Listen = anyPort
		}
	})
	if err != nil {
		return err
	}
	a.Manager = a.host.Part(transfer.PartName).(*transfer.Manager)
	a.Follower = a.host.Part(follow.PartName).(*follow.Follower)
	f.domainOf.Store(a.server.Address(), a.Domain)
	f.listed = append(f.listed, standin.ListedVM{
		ID: string(a.VM), Domain: string(a.Domain), Role: membership.RoleUpstream, Pool: pool, Engine: !service,
		Address: a.server.Address(),
	})
	f.Agents = append(f.Agents, a)
	ctx, a.stop = context.WithCancel(ctx)
	f.run(ctx, a.host, a.done)
	return nil
}

// addUpstream starts the agent's engine or plain service and returns its URL.
func (f *Fleet) addUpstream(ctx context.Context, a *Agent, service bool) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	ctx, kill := context.WithCancel(ctx)
	ended := make(chan struct{})
	a.stopEngine = func() {
		kill()
		<-ended
	}
	var h http.Handler
	if service {
		a.Service = standin.NewService()
		h = a.Service.Handler()
	} else {
		a.Engine = standin.NewEngine(ctx, f.size.Engine)
		h = a.Engine.Handler()
	}
	f.Goroutines.Go(func() {
		defer close(ended)
		_ = standin.ServeOn(ctx, l, h)
	})
	return "http://" + l.Addr().String(), nil
}
