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

// subscribe subscribes a gateway of another failure domain to a stager's reports and returns a function that reads the next
// one.
func subscribe(to *net.UDPAddr) func() *pb.UpstreamReport {
	return subscribeIn("", to)
}

// subscribeIn subscribes a gateway of a failure domain.
func subscribeIn(domain string, to *net.UDPAddr) func() *pb.UpstreamReport {
	gateway, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gateway.Close)
	subscription, err := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: domain})
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

var _ = Describe("a stager whose instance list announces that its upstream is leaving", func() {
	// Guards against a lost announcement: the stager had received the list's announcement, but it was lost on its way to
	// a gateway that receives the stager's reports.
	It("reports it at once instead of with the next regular report", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		s, f, to := startReporting(e, time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		read := subscribe(to)
		atOnce := 0
		for k := range id.Position(6) {
			n := id.Instance(rune('i' + k))
			named := func(w *pb.ListWord) bool { return w.GetInstance() == string(n) && w.GetLeft() }
			f.SetInstance(&facts.Instance{ID: n, Pool: "p", Address: s.ports.Address, ListPosition: 2 * k})
			// The next regular report is reportInterval after this one.
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
			if time.Since(at) < pollInterval {
				atOnce++
			}
		}
		Expect(atOnce).To(BeNumerically(">", 3), "a busy machine may delay one")
	})
})
