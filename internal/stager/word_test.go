package stager

import (
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// subscribed returns what reads the next report of a stager to a gateway that has subscribed.
func subscribed(to *net.UDPAddr) func() *pb.UpstreamReport {
	gateway, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gateway.Close)
	subscription, err := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String()})
	Expect(err).NotTo(HaveOccurred())
	_, err = gateway.WriteToUDP(subscription, to)
	Expect(err).NotTo(HaveOccurred())
	return func() *pb.UpstreamReport {
		b := make([]byte, 4096)
		Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		n, err := gateway.Read(b)
		Expect(err).NotTo(HaveOccurred())
		var r pb.UpstreamReport
		Expect(proto.Unmarshal(b[:n], &r)).To(Succeed())
		return &r
	}
}

var _ = Describe("a stager whose list says that its upstream leaves", func() {
	// The list's word had come to the stager and was lost on its way to a gateway that gets the stager's reports.
	It("reports it at once, not only with the next report that is due", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		s, f, to := startReporting(e, time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		read := subscribed(to)
		atOnce := 0
		for k := range id.Position(6) {
			n := id.Instance(rune('i' + k))
			named := func(w *pb.ListWord) bool { return w.GetInstance() == string(n) && w.GetLeft() }
			f.SetInstance(&facts.Instance{ID: n, Pool: "p", Address: s.ports.Address, ListPosition: 2 * k})
			// Right after a report the next one that is due is reportEvery away.
			Expect(read().GetDown()).To(BeFalse())
			at := time.Now()
			if k%2 == 0 {
				f.SetInstance(&facts.Instance{ID: n, Pool: "p", Address: s.ports.Address, ListPosition: 2*k + 1, Leaving: true})
			} else {
				f.DropInstance(n, 2*k+1)
			}
			for !slices.ContainsFunc(read().GetWords(), named) {
				Expect(time.Since(at)).To(BeNumerically("<", time.Second))
			}
			if time.Since(at) < lookEvery {
				atOnce++
			}
		}
		Expect(atOnce).To(BeNumerically(">", 3), "a machine that is busy may hold one up")
	})
})
