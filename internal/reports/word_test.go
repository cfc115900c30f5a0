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

// An upstream said in the list that it leaves. The word came to its own failure domain and was lost on its way to another
// one, whose gateways sent requests to it for as long as it served, while its stager reported its load to them.
var _ = describe("the word that an upstream has left", func() {
	var now time.Time
	// far is the list of the stager's failure domain, and near that of the gateway's.
	var far, near *facts.Facts
	var r *Reporter
	var s *Subscriber
	var own *net.UDPConn
	entry := func(seen id.Position, leaving bool) *facts.Instance {
		return &facts.Instance{ID: "i", Address: "a", ListPosition: seen, Leaving: leaving}
	}
	subscribe := func() {
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: own.LocalAddr().String(), Domain: "e", Each: true})
		r.take(b)
	}
	publish := func() []byte {
		r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
		b := make([]byte, datagramBytes)
		Expect(own.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		n, err := own.Read(b)
		Expect(err).NotTo(HaveOccurred())
		return b[:n]
	}
	words := func(b []byte) int {
		var p pb.UpstreamReport
		Expect(proto.Unmarshal(b, &p)).To(Succeed())
		return len(p.GetWords())
	}
	leaving := func() bool { return near.Instances()[0].Leaving }
	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		clock := func() time.Time { return now }
		far, near = facts.New(clock), facts.New(clock)
		own = socket()
		r = NewReporter(socket(), "d", far, clock, quiet)
		s = NewSubscriber(own, 1, "e", near, clock, quiet)
		far.SetInstance(entry(3, false))
		near.SetInstance(entry(3, false))
		subscribe()
		s.take(publish())
		Expect(leaving()).To(BeFalse())
	})

	it("comes by the next report to a gateway whose list lacks it", func() {
		far.SetInstance(entry(4, true))
		s.take(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("comes by the next report where the instance is gone from the stager's list", func() {
		far.DropInstance("i", 5)
		s.take(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("is not forgotten when the stager starts again and does not know, nor when it falls silent", func() {
		far.SetInstance(entry(4, true))
		s.take(publish())
		far = facts.New(time.Now)
		far.SetInstance(entry(3, false))
		r = NewReporter(socket(), "d", far, func() time.Time { return now }, quiet)
		subscribe()
		s.take(publish())
		Expect(leaving()).To(BeTrue())
		now = now.Add(time.Hour)
		s.sweep(map[string]bool{"a": true})
		Expect(leaving()).To(BeTrue())
	})

	it("holds against reports that are late, doubled or out of order, and so does the word that it is back", func() {
		before := publish()
		far.SetInstance(entry(4, true))
		gone := publish()
		s.take(gone)
		s.take(before)
		s.take(gone)
		Expect(leaving()).To(BeTrue())
		far.SetInstance(entry(9, false))
		s.take(publish())
		Expect(leaving()).To(BeFalse())
		s.take(gone)
		Expect(leaving()).To(BeFalse())
		s.sweep(nil)
		s.take(gone)
		Expect(leaving()).To(BeFalse(), "the place of the stager's reports is forgotten, and the word is still an old one")
	})

	it("is on one start of the instance: the next one under its ID is not touched by it, however late it comes", func() {
		first := entry(4, true)
		first.Born = 10
		far.SetInstance(first)
		gone := publish()
		again := entry(5, false)
		again.Born = 20
		near.SetInstance(again)
		s.take(gone)
		Expect(leaving()).To(BeFalse())
		again = entry(6, true)
		again.Born = 20
		far.SetInstance(again)
		s.take(publish())
		Expect(leaving()).To(BeTrue())
	})

	it("fits into a report with all else that one tells at most", func() {
		long := strings.Repeat("x", 40)
		now = now.Add(time.Second)
		for k := range 4 {
			far.SetInstance(&facts.Instance{ID: id.Instance(long + itoa(k+1)), Address: "a", Born: math.MaxInt64, ListPosition: math.MaxUint64, Leaving: true})
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
				near: true, domain: id.Domain(long + itoa(k)), offered: 1, offeredLate: 1,
			}
		}
		r.naming(p)
		p.Demand, p.Words = r.demand(), r.words("a", now)
		Expect(p.GetGateways()).To(HaveLen(mostNamed))
		Expect(p.GetDemand()).To(HaveLen(mostDomains))
		Expect(p.GetWords()).To(HaveLen(4))
		Expect(proto.Size(p)).To(BeNumerically("<", datagramBytes))
	})

	it("is logged once, with the places of the word and of what the own list has", func() {
		var text bytes.Buffer
		s.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &text}}
		near.NoteListPosition(6)
		far.SetInstance(entry(4, true))
		for range 3 {
			s.take(publish())
		}
		Expect(bytes.Count(text.Bytes(), []byte("\n"))).To(Equal(1))
		Expect(text.String()).To(And(ContainSubstring(`"message":"upstream has left by a report"`), ContainSubstring(`"instance":"i"`),
			ContainSubstring(`"upstream":"a"`), ContainSubstring(`"offset":4,"list_offset":6`), ContainSubstring(`"entry_offset":3`)))
		text.Reset()
		far.SetInstance(entry(9, false))
		s.take(publish())
		Expect(text.String()).To(ContainSubstring(`"message":"upstream is back by a report"`))
		near.SetInstance(entry(12, true))
		far.SetInstance(entry(12, true))
		text.Reset()
		s.take(publish())
		Expect(text.String()).To(BeEmpty(), "the own list had it first")
	})

	it("is in each report at first and later in one of some, and takes no bytes where nothing has left", func() {
		Expect(words(publish())).To(BeZero())
		far.SetInstance(entry(4, true))
		for range 2 * nameEvery {
			Expect(words(publish())).To(Equal(1))
		}
		now = now.Add(wordFresh + time.Second)
		subscribe()
		told := 0
		for range 2 * nameEvery {
			told += words(publish())
		}
		Expect(told).To(Equal(2))
	})
})
