package fleet_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/fleet"
)

var _ = Describe("the timeline", func() {
	It("orders the events of all processes causally although their clocks differ by seconds", func() {
		f := start(4, 32*megabyte, func(s *fleet.Options) { s.Skew = 5 * time.Second })
		client := springrailv1connect.NewOperatorServiceClient(&http.Client{}, f.Entries[1].Operator,
			connect.WithInterceptors(bearer(fleet.AdminToken)))
		ctx := context.Background()
		_, err := client.PutOrganisation(ctx, &pb.PutOrganisationRequest{Organisation: &pb.Organisation{
			Id: fleet.Organisation, CallerKeySha256: f.KeyHash(),
		}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = f.Publish("v1", megabyte, chunk)
		Expect(err).NotTo(HaveOccurred())
		a, err := client.CreateRollout(ctx, &pb.CreateRolloutRequest{Rollout: &pb.Rollout{
			Organisation: fleet.Organisation, Version: &pb.Version{Model: fleet.Model, Name: "v1", Source: "gym/desk/v1"},
		}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(4))
		Eventually(func() int { return ask(f.Entries[0], true).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		got, err := client.ListEvents(ctx, &pb.ListEventsRequest{Organisation: fleet.Organisation, Rollout: a.GetRollout().GetId()})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetUnreachable()).To(BeEmpty())
		at := func(process, kind string) int {
			return slices.IndexFunc(got.GetEvents(), func(e *pb.Event) bool {
				return e.GetKind() == kind && (process == "" || e.GetProcess() == process)
			})
		}
		asked := at("entry-1", "change-asked")
		Expect(asked).To(BeNumerically(">=", 0))
		for _, v := range f.Agents[:4] {
			last := asked
			for _, kind := range []string{"rollout-learnt", "manifest-verified", "version-complete", "load-ordered", "version-live"} {
				i := at(string(v.VM), kind)
				Expect(i).To(BeNumerically(">", last), "%s of %s", kind, v.VM)
				last = i
			}
		}
		Expect(at("", "domain-opened")).To(BeNumerically(">", at("", "version-live")))
		Expect(at("", "request-answered")).To(BeNumerically(">", at("", "request-run")))
		Expect(at("", "request-run")).To(BeNumerically(">", at("", "domain-opened")))
	})
})
