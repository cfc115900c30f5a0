package reports

import (
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

var _ = describe("a stamp", func() {
	it("is echoed only in reports whose data was read after it arrived: a stager may be suspended while it reports", func() {
		now := time.Now()
		gateway := newSocket()
		r := NewReporter(newSocket(), "d", facts.New(time.Now), func() time.Time { return now }, discardLog)
		echo := func(publishedAt time.Time) uint64 {
			r.Publish(&pb.UpstreamReport{Address: "a"}, publishedAt)
			Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			b := make([]byte, maxDatagramBytes)
			n, err := gateway.Read(b)
			Expect(err).NotTo(HaveOccurred())
			var p pb.UpstreamReport
			Expect(proto.Unmarshal(b[:n], &p)).To(Succeed())
			return p.GetEcho()
		}
		readAt := now
		now = now.Add(10 * time.Second)
		b, err := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "d", Stamp: 77})
		Expect(err).NotTo(HaveOccurred())
		r.handleDatagram(b)
		Expect(echo(readAt)).To(BeZero())
		Expect(echo(now.Add(time.Millisecond))).To(Equal(uint64(77)))
	})

	it("is valid only for the incarnation that made it, and only in the past", func() {
		now := time.Now()
		s, other := newStamps(now), newStamps(now)
		other.incarnation = s.incarnation ^ 1
		Expect(s.decode(s.encode(now.Add(time.Second)), now.Add(2*time.Second))).To(Equal(now.Add(time.Second)))
		Expect(s.decode(other.encode(now.Add(time.Second)), now.Add(2*time.Second))).To(BeZero())
		Expect(s.decode(s.encode(now.Add(3*time.Second)), now.Add(2*time.Second))).To(BeZero())
		Expect(s.decode(0, now.Add(2*time.Second))).To(BeZero())
	})
})
