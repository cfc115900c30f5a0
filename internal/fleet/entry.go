package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/callerapi"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/operatorapi"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/status"
)

// Entry is a running entry process. Its API addresses are set in a serving fleet only.
type Entry struct {
	VM id.VM
	// Caller and Operator are the base URLs of the caller API and the operator API.
	Caller, Operator string
	host             *kernel.Host
	done             chan struct{}
}

// Leave stops the entry as a planned stop does, and waits until it has ended.
func (e *Entry) Leave() {
	e.host.BeginShutdown()
	<-e.done
}

func (f *Fleet) addEntry(ctx context.Context, i int) error {
	l, err := listen()
	if err != nil {
		return err
	}
	e := &Entry{VM: id.VM(fmt.Sprintf("entry-%d", i)), done: make(chan struct{})}
	dial, clock := (&net.Dialer{}).DialContext, f.clock(i)
	s := rpc.NewWithDialer(l, dial, clock)
	parts := slices.Clone(entryParts)
	if f.size.Serving {
		parts = append(parts, servingEntryParts...)
	}
	e.host, err = f.newHost(string(e.VM), f.domain(i), parts, clock, s, dial, func(m map[string]kernel.Section) {
		n := m["membership"].(*membership.Settings)
		n.ListInterval, n.GossipInterval, n.RemoteGossipInterval = 200*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond
		if f.size.Serving {
			sum := sha256.Sum256([]byte(AdminToken))
			c, o := m["caller"].(*callerapi.Settings), m["operator"].(*operatorapi.Settings)
			c.Listen, c.Plain, o.Listen, o.Plain = anyPort, true, anyPort, true
			o.AdminTokenSHA256 = []string{hex.EncodeToString(sum[:])}
			m["status"].(*status.Settings).Listen = anyPort
		}
	})
	if err != nil {
		return err
	}
	if f.size.Serving {
		e.Caller = "http://" + e.host.Part("caller API").(*callerapi.Part).Address()
		e.Operator = "http://" + e.host.Part("operator API").(*operatorapi.Part).Address()
	}
	f.Entries = append(f.Entries, e)
	f.domainOf.Store(s.Address(), f.domain(i))
	f.listed = append(f.listed, standin.ListedVM{
		ID: string(e.VM), Domain: string(f.domain(i)), Role: membership.RoleEntry, Address: s.Address(),
	})
	f.run(ctx, e.host, e.done)
	return nil
}
