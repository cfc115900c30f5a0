package reports

import (
	"bytes"
	"math"
	"net"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// An upstream marks itself as leaving in the upstream list, but the change never reaches the list's copy in another
// failure domain. Gateways there keep sending requests to it while its stager reports its load. These tests check that
// the stager's reports announce the change.
var _ = describe("the announcement that an upstream has left", func() {
	var now time.Time
	// remote holds the facts of the stager's failure domain, and local those of the gateway's.
	var remote, local *facts.Facts
	var r *Reporter
	var s *Subscriber
	var gateway *net.UDPConn
	entry := func(position id.Position, leaving bool) *facts.Instance {
		return &facts.Instance{ID: "i", Address: "a", ListPosition: position, Leaving: leaving}
	}
	subscribe := func() {
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "e", Each: true})
		r.handleDatagram(b)
	}
	publish := func() []byte {
		r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
		b := make([]byte, maxDatagramBytes)
		Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		n, err := gateway.Read(b)
		Expect(err).NotTo(HaveOccurred())
		return b[:n]
	}
	countAnnouncements := func(b []byte) int {
		var p pb.UpstreamReport
		Expect(proto.Unmarshal(b, &p)).To(Succeed())
		return len(p.GetWords())
	}
	leaving := func() bool { return local.Instances()[0].Leaving }
	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		clock := func() time.Time { return now }
		remote, local = facts.New(clock), facts.New(clock)
		gateway = newSocket()
		r = NewReporter(newSocket(), "d", remote, clock, discardLog)
		s = NewSubscriber(gateway, 1, "e", local, clock, discardLog)
		remote.SetInstance(entry(3, false))
		local.SetInstance(entry(3, false))
		subscribe()
		s.handleDatagram(publish())
		Expect(leaving()).To(BeFalse())
	})

	it("reaches a gateway whose list lacks it with the next report", func() {
		remote.SetInstance(entry(4, true))
		s.handleDatagram(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("is in the next report after the instance disappears from the stager's list", func() {
		remote.DropInstance("i", 5)
		s.handleDatagram(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("persists when the stager restarts without knowing it, and when the stager falls silent", func() {
		remote.SetInstance(entry(4, true))
		s.handleDatagram(publish())
		remote = facts.New(time.Now)
		remote.SetInstance(entry(3, false))
		r = NewReporter(newSocket(), "d", remote, func() time.Time { return now }, discardLog)
		subscribe()
		s.handleDatagram(publish())
		Expect(leaving()).To(BeTrue())
		now = now.Add(time.Hour)
		s.forgetUnlisted(map[string]bool{"a": true})
		Expect(leaving()).To(BeTrue())
	})

	it("is not undone by late, duplicated or reordered reports, nor is the announcement that it is back", func() {
		before := publish()
		remote.SetInstance(entry(4, true))
		departure := publish()
		s.handleDatagram(departure)
		s.handleDatagram(before)
		s.handleDatagram(departure)
		Expect(leaving()).To(BeTrue())
		remote.SetInstance(entry(9, false))
		s.handleDatagram(publish())
		Expect(leaving()).To(BeFalse())
		s.handleDatagram(departure)
		Expect(leaving()).To(BeFalse())
		s.forgetUnlisted(nil)
		s.handleDatagram(departure)
		Expect(leaving()).To(BeFalse(), "the stager's state is forgotten, but the announcement is still outdated")
	})

	it("is about one incarnation and does not affect the next one under the same ID, however late it arrives", func() {
		first := entry(4, true)
		first.Born = 10
		remote.SetInstance(first)
		departure := publish()
		restarted := entry(5, false)
		restarted.Born = 20
		local.SetInstance(restarted)
		s.handleDatagram(departure)
		Expect(leaving()).To(BeFalse())
		restarted = entry(6, true)
		restarted.Born = 20
		remote.SetInstance(restarted)
		s.handleDatagram(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("fits into a report of the maximum size", func() {
		long := strings.Repeat("x", 40)
		now = now.Add(time.Second)
		for k := range 4 {
			remote.SetInstance(&facts.Instance{ID: id.Instance(long + itoa(k+1)), Address: "a", Born: math.MaxInt64, ListPosition: math.MaxUint64, Leaving: true})
		}
		p := &pb.UpstreamReport{
			Address: "255.255.255.255:65535", Born: math.MaxInt64, Incarnation: math.MaxUint64, Number: math.MaxUint64, Pace: 1, KvUsed: math.MaxUint64,
			KvTotal: math.MaxUint64, ConfigOffset: math.MaxUint64,
		}
		for range 8 {
			p.Held = append(p.Held, &pb.HeldWeights{Model: long, Revision: math.MaxUint32})
		}
		for k := range maxSubscribers {
			r.subscribers[net.JoinHostPort("255.255.255.255", itoa(10000+k))] = subscriber{
				local: true, domain: id.Domain(long + itoa(k)), offered: 1, offeredLate: 1,
			}
		}
		r.addGateways(p)
		p.Demand, p.Words = r.totalDemand(), r.announcements("a", now)
		Expect(p.GetGateways()).To(HaveLen(maxListedGateways))
		Expect(p.GetDemand()).To(HaveLen(maxDemandDomains))
		Expect(p.GetWords()).To(HaveLen(4))
		Expect(proto.Size(p)).To(BeNumerically("<", maxDatagramBytes))
	})

	it("is logged once, with the positions of the announcement and of the local entry", func() {
		var text bytes.Buffer
		s.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &text}}
		local.NoteListPosition(6)
		remote.SetInstance(entry(4, true))
		for range 3 {
			s.handleDatagram(publish())
		}
		Expect(bytes.Count(text.Bytes(), []byte("\n"))).To(Equal(1))
		Expect(text.String()).To(And(ContainSubstring(`"message":"upstream has left by a report"`), ContainSubstring(`"instance":"i"`),
			ContainSubstring(`"upstream":"a"`), ContainSubstring(`"offset":4,"list_offset":6`), ContainSubstring(`"entry_offset":3`)))
		text.Reset()
		remote.SetInstance(entry(9, false))
		s.handleDatagram(publish())
		Expect(text.String()).To(ContainSubstring(`"message":"upstream is back by a report"`))
		local.SetInstance(entry(12, true))
		remote.SetInstance(entry(12, true))
		text.Reset()
		s.handleDatagram(publish())
		Expect(text.String()).To(BeEmpty(), "the local list had it first")
	})

	it("is in every report at first and in some of them later, and absent if nothing has left", func() {
		Expect(countAnnouncements(publish())).To(BeZero())
		remote.SetInstance(entry(4, true))
		for range 2 * reportsInCycle {
			Expect(countAnnouncements(publish())).To(Equal(1))
		}
		now = now.Add(announcementRepeatTime + time.Second)
		subscribe()
		total := 0
		for range 2 * reportsInCycle {
			total += countAnnouncements(publish())
		}
		Expect(total).To(Equal(2))
	})
})
