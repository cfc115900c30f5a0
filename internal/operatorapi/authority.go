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
	// ErrUnauthenticated is returned for a call without a valid token.
	ErrUnauthenticated = errors.New("the call needs the header Authorization: Bearer with an operator token that is in force")
	// ErrNotFound is returned if the requested object does not exist or belongs to another organisation.
	ErrNotFound = errors.New("not found")
)

// principal is the authenticated caller.
type principal struct {
	// admin is true for an administrator of the fleet, who has access to all organisations.
	admin bool
	// organisation is the organisation that the token belongs to; it is empty for an administrator.
	organisation id.Organisation
	// name identifies the caller in changes and events, for audits.
	name string
}

// principalKey is the context key of the principal.
type principalKey struct{}

func principalOf(ctx context.Context) principal {
	p, _ := ctx.Value(principalKey{}).(principal)
	return p
}

// organisationByProcedure holds, for each procedure, a function that returns the organisation that a request concerns. A
// procedure without an entry is rejected, so that a new one can't be called before its access rule is defined.
var organisationByProcedure = map[string]func(m any) (id.Organisation, bool){
	rpcs.OperatorServicePutOrganisationProcedure: func(m any) (id.Organisation, bool) {
		r, ok := m.(*pb.PutOrganisationRequest)
		return id.Organisation(r.GetOrganisation().GetId()), ok
	},
	rpcs.OperatorServiceCreateRolloutProcedure: func(m any) (id.Organisation, bool) {
		r, ok := m.(*pb.CreateRolloutRequest)
		return id.Organisation(r.GetRollout().GetOrganisation()), ok
	},
	rpcs.OperatorServiceListOrganisationsProcedure: func(any) (id.Organisation, bool) { return "", true },
	rpcs.OperatorServiceGetOrganisationProcedure:   organisationField,
	rpcs.OperatorServiceGetRolloutProcedure:        organisationField,
	rpcs.OperatorServiceListRolloutsProcedure:      organisationField,
	rpcs.OperatorServiceWatchRolloutProcedure:      organisationField,
	rpcs.OperatorServiceCancelRolloutProcedure:     organisationField,
	rpcs.OperatorServiceRollBackRolloutProcedure:   organisationField,
	rpcs.OperatorServiceListVMsProcedure:           organisationField,
	rpcs.OperatorServiceGetChangeProcedure:         organisationField,
	rpcs.OperatorServiceListEventsProcedure:        organisationField,
}

// adminOnly lists the procedures that only an administrator of the fleet may call.
var adminOnly = map[string]bool{rpcs.OperatorServicePutOrganisationProcedure: true}

func organisationField(m any) (id.Organisation, bool) {
	r, ok := m.(interface{ GetOrganisation() string })
	if !ok {
		return "", false
	}
	return id.Organisation(r.GetOrganisation()), true
}

// AuthInterceptor authenticates and authorises all calls of operators.
type AuthInterceptor struct {
	adminTokens [][]byte
	state       func() *config.State
}

// NewAuthInterceptor returns an interceptor that accepts the administrators' tokens, given as SHA-256 sums, and the operator
// tokens of the current configuration.
func NewAuthInterceptor(admins [][]byte, state func() *config.State) *AuthInterceptor {
	return &AuthInterceptor{adminTokens: admins, state: state}
}

// authenticate returns the principal of the token in an Authorization header.
func (a *AuthInterceptor) authenticate(authorization string) (principal, error) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || token == "" {
		return principal{}, ErrUnauthenticated
	}
	sum := sha256.Sum256([]byte(token))
	same := func(h []byte) bool { return string(h) == string(sum[:]) }
	if slices.ContainsFunc(a.adminTokens, same) {
		return principal{admin: true, name: "administrator"}, nil
	}
	for _, o := range a.state().Organisations() {
		if slices.ContainsFunc(o.GetOperatorTokenSha256(), same) {
			return principal{organisation: id.Organisation(o.GetId()), name: "operator of " + o.GetId()}, nil
		}
	}
	return principal{}, ErrUnauthenticated
}

// authorise checks that a principal may send this request to the procedure. Where it may not, the error is ErrNotFound, so that
// the response doesn't reveal whether the object exists.
func (a *AuthInterceptor) authorise(p principal, procedure string, message any) error {
	subject := organisationByProcedure[procedure]
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
		p, err := a.authenticate(r.Header().Get("Authorization"))
		if err != nil {
			return nil, toConnectError(err)
		}
		if err := a.authorise(p, r.Spec().Procedure, r.Any()); err != nil {
			return nil, toConnectError(err)
		}
		return next(context.WithValue(ctx, principalKey{}, p), r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *AuthInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor. Each message of the stream is authorised when it is received.
func (a *AuthInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		p, err := a.authenticate(c.RequestHeader().Get("Authorization"))
		if err != nil {
			return toConnectError(err)
		}
		return next(context.WithValue(ctx, principalKey{}, p), &checkedConn{StreamingHandlerConn: c, interceptor: a, caller: p})
	}
}

// checkedConn is a stream that authorises each received message.
type checkedConn struct {
	connect.StreamingHandlerConn
	interceptor *AuthInterceptor
	caller      principal
}

// Receive implements connect.StreamingHandlerConn.
func (c *checkedConn) Receive(m any) error {
	if err := c.StreamingHandlerConn.Receive(m); err != nil {
		return err
	}
	if err := c.interceptor.authorise(c.caller, c.Spec().Procedure, m); err != nil {
		return toConnectError(err)
	}
	return nil
}
