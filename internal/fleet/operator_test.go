package fleet_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/cmd"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/standin"
)

// operate runs the operators' command line and returns its exit code, output and error output.
func operate(e *fleet.Entry, token string, args ...string) (code int, text, problems string) {
	var out, bad bytes.Buffer
	code = cmd.Operator(append([]string{"--server", e.Operator, "--token", token}, args...), &out, &bad)
	return code, out.String(), bad.String()
}

var _ = Describe("operators", func() {
	It("create, follow and cancel rollouts, and have access to their own organisation only", func() {
		f := start(2, 32*megabyte, nil)
		e := f.Entries[0]
		for _, o := range []string{"gym", "hut"} {
			code, text, bad := operate(e, fleet.AdminToken, "organisation", "put", o,
				"--operator-token", o+"-operator", "--caller-key", o+"-caller")
			Expect(code).To(Equal(cmd.ExitDone), bad)
			Expect(text).To(ContainSubstring("is in force"))
		}
		_, _, err := f.Publish("v1", megabyte, chunk)
		Expect(err).NotTo(HaveOccurred())
		code, rollout, bad := operate(e, "gym-operator", "-o", "gym", "rollout", "create", "--model", fleet.Model,
			"--version-name", "v1", "--source", "gym/desk/v1")
		Expect(code).To(Equal(cmd.ExitDone), bad)
		rollout = strings.TrimSpace(rollout)
		code, text, bad := operate(e, "gym-operator", "-o", "gym", "rollout", "status", "--watch", "--timeout", "20s", rollout)
		Expect(code).To(Equal(cmd.ExitDone), bad)
		Expect(text).To(ContainSubstring("ready 1 of 1"))

		code, _, bad = operate(f.Entries[1], "hut-operator", "-o", "gym", "rollout", "status", rollout)
		Expect(code).To(Equal(cmd.ExitNotFound), bad)
		code, _, _ = operate(f.Entries[1], "hut-operator", "-o", "hut", "rollout", "status", rollout)
		Expect(code).To(Equal(cmd.ExitNotFound))
		code, _, bad = operate(e, "wrong", "-o", "gym", "rollout", "list")
		Expect(code).To(Equal(cmd.ExitUnauthorised))
		Expect(bad).To(ContainSubstring("set --token"))
		code, _, _ = operate(e, "gym-operator", "rollout", "list")
		Expect(code).To(Equal(cmd.ExitUsage))

		code, text, _ = operate(e, "gym-operator", "-o", "gym", "timeline", "--rollout", rollout)
		Expect(code).To(Equal(cmd.ExitDone))
		for _, kind := range []string{"change-asked", "rollout-learnt", "manifest-verified", "version-complete", "turn-given", "load-ordered", "version-live", "domain-opened"} {
			Expect(text).To(ContainSubstring(kind))
		}
		Expect(strings.Index(text, "change-asked")).To(BeNumerically("<", strings.Index(text, "rollout-learnt")))
		Expect(strings.Index(text, "version-complete")).To(BeNumerically("<", strings.Index(text, "version-live")))

		code, _, bad = operate(e, "gym-operator", "-o", "gym", "rollout", "cancel", rollout)
		Expect(code).To(Equal(cmd.ExitDone), bad)
		Eventually(live(f, "v1"), "5s", "20ms").Should(BeZero())
		code, _, bad = operate(e, "gym-operator", "-o", "gym", "rollout", "cancel", rollout)
		Expect(code).To(Equal(cmd.ExitRefused), bad)
	})

	It("undo a rollout", func() {
		f := serving(1, func(s *fleet.Options) { s.Domains = 1 })
		e := f.Entries[0]
		_, _, err := f.Publish("v2", megabyte, chunk)
		Expect(err).NotTo(HaveOccurred())
		code, rollout, bad := operate(e, fleet.OperatorToken, "-o", "gym", "rollout", "create", "--model", fleet.Model,
			"--version-name", "v2", "--source", "gym/desk/v2")
		Expect(code).To(Equal(cmd.ExitDone), bad)
		Eventually(live(f, "v2"), "20s", "10ms").Should(Equal(1))
		sentBefore := f.Platform.Origin.BytesSent()
		code, back, bad := operate(e, fleet.OperatorToken, "-o", "gym", "rollout", "rollback", strings.TrimSpace(rollout))
		Expect(code).To(Equal(cmd.ExitDone), bad)
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(1))
		Expect(f.Platform.Origin.BytesSent()).To(Equal(sentBefore), "the rollback uses the weights that the agents still hold")
		code, text, _ := operate(e, fleet.OperatorToken, "-o", "gym", "--output", "json", "rollout", "status", strings.TrimSpace(back))
		Expect(code).To(Equal(cmd.ExitDone))
		Expect(text).To(ContainSubstring(`"rolled_back_from": "` + strings.TrimSpace(rollout)))
		code, text, _ = operate(e, fleet.OperatorToken, "-o", "gym", "vm", "list")
		Expect(code).To(Equal(cmd.ExitDone))
		Expect(text).To(ContainSubstring("serves desk v1"))
	})

	It("get an unknown outcome instead of a refusal when the log fails, and can query the change afterwards", func() {
		f := start(1, 32*megabyte, nil)
		client := springrailv1connect.NewOperatorServiceClient(&http.Client{}, f.Entries[0].Operator,
			connect.WithInterceptors(bearer(fleet.AdminToken)))
		put := func(change string, wait time.Duration) error {
			ctx, stop := context.WithTimeout(context.Background(), wait)
			defer stop()
			_, err := client.PutOrganisation(ctx, &pb.PutOrganisationRequest{
				ChangeId: change, Organisation: &pb.Organisation{Id: "hut"},
			})
			return err
		}
		f.Platform.Log.SetFaults(standin.LogFaults{Outage: true})
		Expect(connect.CodeOf(put("c1", 700*time.Millisecond))).To(Equal(connect.CodeDeadlineExceeded))
		f.Platform.Log.SetFaults(standin.LogFaults{LoseAnswers: 1})
		Expect(put("c2", 10*time.Second)).To(Succeed(), "an append whose answer was lost is found by reading the log")
		a, err := client.GetChange(context.Background(), &pb.GetChangeRequest{Organisation: "hut", ChangeId: "c2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.GetOutcome().GetAccepted()).To(BeTrue())
		Expect(connect.CodeOf(put("c3", 10*time.Second))).To(Equal(connect.CodeFailedPrecondition), "the base revision is outdated")
	})

	It("get typed errors for malformed calls", func() {
		f := start(1, 32*megabyte, nil)
		client := springrailv1connect.NewOperatorServiceClient(&http.Client{}, f.Entries[0].Operator,
			connect.WithInterceptors(bearer(fleet.AdminToken)))
		_, err := client.PutOrganisation(context.Background(), &pb.PutOrganisationRequest{Organisation: &pb.Organisation{Id: "No Good"}})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		Expect(err.Error()).To(ContainSubstring("lower-case"))
		_, err = client.CreateRollout(context.Background(), &pb.CreateRolloutRequest{})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		a := send(http.MethodPost, f.Entries[0].Operator+"/springrail.v1.OperatorService/GetRollout", []byte("{"),
			"Content-Type", "application/json", "Authorization", "Bearer "+fleet.AdminToken)
		Expect(a.status).To(Equal(http.StatusBadRequest))
	})
})

// bearer returns an interceptor that adds a bearer token to calls.
func bearer(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	})
}
