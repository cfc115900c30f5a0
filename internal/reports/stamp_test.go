package reports

import (
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

var _ = describe("a stamp", func() {
	it("comes back only with what was read after it came: a stager may stand still within a report", func() {
		now := time.Now()
		gateway := socket()
		r := NewReporter(socket(), "d", facts.New(time.Now), func() time.Time { return now }, quiet)
		echo := func(made time.Time) uint64 {
			r.Publish(&pb.UpstreamReport{Address: "a"}, made)
			Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			b := make([]byte, datagramBytes)
			n, err := gateway.Read(b)
			Expect(err).NotTo(HaveOccurred())
			var p pb.UpstreamReport
			Expect(proto.Unmarshal(b[:n], &p)).To(Succeed())
			return p.GetEcho()
		}
		read := now
		now = now.Add(10 * time.Second)
		b, err := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "d", Stamp: 77})
		Expect(err).NotTo(HaveOccurred())
		r.take(b)
		Expect(echo(read)).To(BeZero())
		Expect(echo(now.Add(time.Millisecond))).To(Equal(uint64(77)))
	})

	it("is of one start of a process, and of its past", func() {
		now := time.Now()
		s, other := newStamps(now), newStamps(now)
		other.life = s.life ^ 1
		Expect(s.moment(s.at(now.Add(time.Second)), now.Add(2*time.Second))).To(Equal(now.Add(time.Second)))
		Expect(s.moment(other.at(now.Add(time.Second)), now.Add(2*time.Second))).To(BeZero())
		Expect(s.moment(s.at(now.Add(3*time.Second)), now.Add(2*time.Second))).To(BeZero())
		Expect(s.moment(0, now.Add(2*time.Second))).To(BeZero())
	})
})
