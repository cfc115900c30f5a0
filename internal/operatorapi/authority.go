package operatorapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	rpcs "github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
)

var (
	// ErrUnauthenticated says that a call shows no token that is in force.
	ErrUnauthenticated = errors.New("the call needs the header Authorization: Bearer with an operator token that is in force")
	// ErrNotFound says that there is no such thing, or that it belongs to another organisation.
	ErrNotFound = errors.New("not found")
)

// principal is who makes a call.
type principal struct {
	// admin is true for the fleet's administrator, who may touch all organisations.
	admin bool
	// organisation is whose token it is.
	organisation id.Organisation
	// name is what the audit shows.
	name string
}

// principalKey finds the principal in a context.
type principalKey struct{}

func principalOf(ctx context.Context) principal {
	p, _ := ctx.Value(principalKey{}).(principal)
	return p
}

// subjects says, per procedure, which organisation a message is about. A procedure that is missing here is refused,
// so a new one can't be called before somebody has decided who may.
var subjects = map[string]func(m any) (id.Organisation, bool){
	rpcs.OperatorServicePutOrganisationProcedure: func(m any) (id.Organisation, bool) {
		r, ok := m.(*pb.PutOrganisationRequest)
		return id.Organisation(r.GetOrganisation().GetId()), ok
	},
	rpcs.OperatorServiceCreateRolloutProcedure: func(m any) (id.Organisation, bool) {
		r, ok := m.(*pb.CreateRolloutRequest)
		return id.Organisation(r.GetRollout().GetOrganisation()), ok
	},
	rpcs.OperatorServiceListOrganisationsProcedure: func(any) (id.Organisation, bool) { return "", true },
	rpcs.OperatorServiceGetOrganisationProcedure:   ownField,
	rpcs.OperatorServiceGetRolloutProcedure:        ownField,
	rpcs.OperatorServiceListRolloutsProcedure:      ownField,
	rpcs.OperatorServiceWatchRolloutProcedure:      ownField,
	rpcs.OperatorServiceCancelRolloutProcedure:     ownField,
	rpcs.OperatorServiceRollBackRolloutProcedure:   ownField,
	rpcs.OperatorServiceListVMsProcedure:           ownField,
	rpcs.OperatorServiceGetChangeProcedure:         ownField,
	rpcs.OperatorServiceListEventsProcedure:        ownField,
}

// adminOnly lists the procedures of the fleet's administrator.
var adminOnly = map[string]bool{rpcs.OperatorServicePutOrganisationProcedure: true}

func ownField(m any) (id.Organisation, bool) {
	r, ok := m.(interface{ GetOrganisation() string })
	if !ok {
		return "", false
	}
	return id.Organisation(r.GetOrganisation()), true
}

// AuthInterceptor is the one place that decides who may call what.
type AuthInterceptor struct {
	admins [][]byte
	state  func() *config.State
}

// NewAuthInterceptor makes it from the SHA-256 of the administrators' tokens and the configuration.
func NewAuthInterceptor(admins [][]byte, state func() *config.State) *AuthInterceptor {
	return &AuthInterceptor{admins: admins, state: state}
}

// identify finds whose token a call shows.
func (a *AuthInterceptor) identify(authorization string) (principal, error) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || token == "" {
		return principal{}, ErrUnauthenticated
	}
	sum := sha256.Sum256([]byte(token))
	same := func(h []byte) bool { return string(h) == string(sum[:]) }
	if slices.ContainsFunc(a.admins, same) {
		return principal{admin: true, name: "administrator"}, nil
	}
	for _, o := range a.state().Organisations() {
		if slices.ContainsFunc(o.GetOperatorTokenSha256(), same) {
			return principal{organisation: id.Organisation(o.GetId()), name: "operator of " + o.GetId()}, nil
		}
	}
	return principal{}, ErrUnauthenticated
}

// allow decides about one message of a procedure.
func (a *AuthInterceptor) allow(p principal, procedure string, message any) error {
	subject := subjects[procedure]
	if subject == nil {
		return ErrNotFound
	}
	organisation, ok := subject(message)
	switch {
	case !ok:
		return ErrNotFound
	case p.admin:
		return nil
	case adminOnly[procedure]:
		return ErrNotFound
	case procedure == rpcs.OperatorServiceListOrganisationsProcedure:
		return nil
	case organisation != p.organisation:
		return ErrNotFound
	}
	return nil
}

// WrapUnary implements connect.Interceptor.
func (a *AuthInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		p, err := a.identify(r.Header().Get("Authorization"))
		if err != nil {
			return nil, asConnect(err)
		}
		if err := a.allow(p, r.Spec().Procedure, r.Any()); err != nil {
			return nil, asConnect(err)
		}
		return next(context.WithValue(ctx, principalKey{}, p), r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *AuthInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor: each message that is received is decided about.
func (a *AuthInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		p, err := a.identify(c.RequestHeader().Get("Authorization"))
		if err != nil {
			return asConnect(err)
		}
		return next(context.WithValue(ctx, principalKey{}, p), &checkedConn{StreamingHandlerConn: c, authority: a, caller: p})
	}
}

// checkedConn decides about each message of a stream.
type checkedConn struct {
	connect.StreamingHandlerConn
	authority *AuthInterceptor
	caller    principal
}

// Receive implements connect.StreamingHandlerConn.
func (c *checkedConn) Receive(m any) error {
	if err := c.StreamingHandlerConn.Receive(m); err != nil {
		return err
	}
	if err := c.authority.allow(c.caller, c.Spec().Procedure, m); err != nil {
		return asConnect(err)
	}
	return nil
}
