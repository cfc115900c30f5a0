package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/reservation"
)

// fakeStagers answer the reservation requests of a testbed's gateway. They are named after their upstreams.
type fakeStagers struct {
	names map[string]string
	// reply is what a stager answers.
	reply func(ctx context.Context, name string) (a reservation.Answer, offered, answered bool)

	mu              sync.Mutex
	asked           []string
	requests        []reservation.Request
	taken, released []string
	lastPermit      uint64
}

// reserveWith makes the testbed's gateway ask for reservations, as one of four gateways. The stagers grant all of them, each
// with the time to the first event that reply gives.
func (b *testbed) reserveWith(reply func(ctx context.Context, name string) (a reservation.Answer, offered, answered bool)) *fakeStagers {
	s := &fakeStagers{names: map[string]string{}, reply: reply}
	for _, i := range b.facts.Instances() {
		s.names[i.Address] = string(i.ID)
	}
	for n := range 4 {
		b.facts.NoteGateway(strconv.Itoa(n))
	}
	b.gateway.settings.ReservationMinGateways = 4
	b.gateway.loadSources.Reservations = ReservationClient{
		Reserve: s.reserve,
		Take:    func(address string, _ uint64) { s.note(&s.taken, address) },
		Release: func(address string, _ uint64) { s.note(&s.released, address) },
	}
	return s
}

func (s *fakeStagers) note(l *[]string, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*l = append(*l, s.names[address])
}

func (s *fakeStagers) reserve(ctx context.Context, address string, _ id.Incarnation, q reservation.Request) (a reservation.Answer, offered, answered bool) {
	s.note(&s.asked, address)
	a, offered, answered = s.reply(ctx, s.names[address])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, q)
	if offered && a.Refusal == admission.Admitted {
		s.lastPermit++
		a.Permit = s.lastPermit
	}
	return a, offered, answered
}

// grants, refuses and isSilent are answers of a stager.
func grants(first time.Duration) (a reservation.Answer, offered, answered bool) {
	return reservation.Answer{FirstEvent: first}, true, true
}

func refuses(r admission.Refusal) (a reservation.Answer, offered, answered bool) {
	return reservation.Answer{Refusal: r, RoomIn: time.Second}, true, true
}

func isSilent(ctx context.Context) (a reservation.Answer, offered, answered bool) {
	<-ctx.Done()
	return a, false, false
}

// newEngines returns a testbed with one route to engines, in failure domains by the first letter of their names.
func newEngines(names ...string) *testbed {
	b := newTestbed(route(catalog.Unsafe, "engines"))
	for _, n := range names {
		b.addUpstream(n, "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", n) })
		i := *b.facts.Instance(id.Instance(n))
		i.Domain, i.ListPosition = id.Domain(n[:1]), 1
		b.facts.SetInstance(&i)
	}
	return b
}

// newRequest returns a request for which choose can be called.
func (b *testbed) newRequest() *callerRequest {
	now := b.gateway.now()
	c := b.facts.Catalog()
	return &callerRequest{
		gateway: b.gateway, arrived: now, catalog: c, route: c.Match("h.example", "/p/"), pool: "engines", tried: map[id.Instance]bool{}, allNotRun: true,
		meta: RequestMeta{Model: "m", PromptTokens: 100}, deadline: now.Add(6 * time.Second), callerDeadline: now.Add(6 * time.Second),
	}
}
