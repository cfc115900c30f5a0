package quarantine

import (
	"context"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var _ = Describe("operators", func() {
	ctx := context.Background()
	bad := request("bad")

	It("can list held and suspected requests with their crashes and refusals", func() {
		d := newManualTracker()
		q := &Quarantine{Suspects: d.SuspectTracker}
		for n := range 3 {
			d.RecordCrash(crashOf(n, "bad"))
		}
		d.runTimers()
		d.RecordCrash(crashOf(7, "suspect"))
		d.RecordCrash(crashOf(8, "suspect"))
		d.RecordCrash(crashOf(9, "once"))
		for range 4 {
			d.Check(known(bad))
		}
		a, err := q.ListHeld(ctx, &pb.ListHeldRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.GetEntries()).To(HaveLen(2))
		h := a.GetEntries()[0]
		Expect(h.GetFingerprint()).To(Equal(bad.String()))
		Expect(h.GetHeld()).To(BeTrue())
		Expect(h.GetRefused()).To(BeEquivalentTo(4))
		Expect(h.GetRequest().GetStarts()).To(HaveLen(3))
		Expect(h.GetRequest().GetOrganisation()).To(Equal("gym"))
		Expect(a.GetEntries()[1].GetHeld()).To(BeFalse())
		Expect(a.GetEntries()[1].GetRequest().GetStarts()).To(HaveLen(2))
	})

	It("can lift a request at all gateways, and get an error if it is not held", func() {
		s := newFakeTopic()
		gateway := func() *Quarantine {
			l := NewSuspectTracker("vm", time.Now, discardLog)
			q := &Quarantine{Suspects: l, Persister: NewPersister(s.store(), "t", l, time.Now, discardLog), Broadcast: func(CrashNews) {}}
			l.OnHeld = append(l.OnHeld, q.Persist)
			ctx, stop := context.WithCancel(ctx)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = q.Run(ctx)
			}()
			DeferCleanup(func() {
				stop()
				<-ended
			})
			return q
		}
		q, remote := gateway(), gateway()
		for n := range 3 {
			q.Suspects.RecordCrash(crashOf(n, "bad"))
		}
		held := func(q *Quarantine) func() bool { return func() bool { return q.Suspects.Check(known(bad)) == Held } }
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeTrue())
		_, err := remote.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: bad.String()})
		Expect(err).NotTo(HaveOccurred())
		Eventually(held(q)).Should(BeFalse())
		Consistently(held(remote)).WithTimeout(200 * time.Millisecond).Should(BeFalse())
		_, err = remote.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: bad.String()})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound))
		_, err = remote.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: "none"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
	})
})
