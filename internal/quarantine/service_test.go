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

	It("see what is held and suspected, under which starts, and how often it was refused", func() {
		d := newDesk()
		q := &Quarantine{Suspects: d.SuspectTracker}
		for n := range 3 {
			d.RecordCrash(endOf(n, "bad"))
		}
		d.settled()
		d.RecordCrash(endOf(7, "suspect"))
		d.RecordCrash(endOf(8, "suspect"))
		d.RecordCrash(endOf(9, "once"))
		for range 4 {
			d.Check(bad)
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

	It("lift a request at all gateways, and are told where there is none", func() {
		s := newShelf()
		gateway := func() *Quarantine {
			l := NewSuspectTracker("vm", time.Now, quiet)
			q := &Quarantine{Suspects: l, Persister: NewPersister(s.store(), "t", l, time.Now, quiet)}
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
		q, far := gateway(), gateway()
		for n := range 3 {
			q.Suspects.RecordCrash(endOf(n, "bad"))
		}
		held := func(q *Quarantine) func() bool { return func() bool { return q.Suspects.Check(bad) == Held } }
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeTrue())
		_, err := far.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: bad.String()})
		Expect(err).NotTo(HaveOccurred())
		Eventually(held(q)).Should(BeFalse())
		Consistently(held(far)).WithTimeout(200 * time.Millisecond).Should(BeFalse())
		_, err = far.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: bad.String()})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound))
		_, err = far.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: "none"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
	})
})
