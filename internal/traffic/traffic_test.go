package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestTraffic(t *testing.T) {
	spec.Run(t, "Traffic")
}

var regions = map[id.Domain]id.Region{"a": "r", "b": "r", "c": "s"}

// counter returns the counter of a process in failure domain a, to which 127.0.0.1 is in failure domain c.
func counter() *Counter {
	return New("a", regions, func(host string) (id.Domain, bool) { return "c", host == "127.0.0.1" }, time.Now)
}

// echo starts a server that reads all input, sends it back twice and closes the connection. It returns the address.
func echo() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b, _ := io.ReadAll(c)
				_, _ = c.Write(append(b, b...))
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("the distance of a failure domain", func() {
	DescribeTable("depends on the regions", func(d id.Domain, want Distance) {
		Expect(counter().DistanceTo(d)).To(Equal(want))
	},
		Entry("the process's own", id.Domain("a"), SameDomain), Entry("in the same region", id.Domain("b"), OtherDomain),
		Entry("in another region", id.Domain("c"), OtherRegion), Entry("in an unknown region", id.Domain("x"), OtherDomain),
	)
})

var _ = Describe("the counter", func() {
	It("counts datagrams by kind and distance", func() {
		c := counter()
		c.CountDatagram(Reports, "a", 10)
		c.CountDatagram(Reports, "c", 20)
		c.CountDatagram(Reports, "c", 30)
		c.CountDatagram(Subscriptions, "b", 5)
		Expect(c.Snapshot().Kinds).To(Equal(map[string]map[string]Count{
			"reports":       {"near": {Number: 1, Sent: 10}, "other region": {Number: 2, Sent: 50}},
			"subscriptions": {"other domain": {Number: 1, Sent: 5}},
		}))
	})

	It("counts a connection's bytes in both directions, for Read, Write and io.Copy", func() {
		c := counter()
		dial := c.CountingDialer(Requests, (&net.Dialer{}).DialContext)
		n, err := dial(context.Background(), "tcp", echo())
		Expect(err).NotTo(HaveOccurred())
		_, isSocket := n.(syscall.Conn)
		Expect(isSocket).To(BeTrue())
		_, err = n.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(n, strings.NewReader("defgh"))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
		one := make([]byte, 1)
		_, err = io.ReadFull(n, one)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, n)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Snapshot().Kinds).To(Equal(map[string]map[string]Count{
			"requests": {"other region": {Number: 1, Sent: 8, Received: 16}},
		}))
	})

	It("counts connections to unknown hosts as unknown, and does not count failed dials", func() {
		c := New("a", regions, func(string) (id.Domain, bool) { return "", false }, time.Now)
		_, err := c.CountingDialer(Store, func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF })(
			context.Background(), "tcp", "127.0.0.1:1")
		Expect(err).To(MatchError(io.EOF))
		Expect(c.Snapshot().Kinds).To(BeEmpty())
		n, err := c.CountingDialer(Store, (&net.Dialer{}).DialContext)(context.Background(), "tcp", echo())
		Expect(err).NotTo(HaveOccurred())
		n.Close()
		Expect(c.Snapshot().Kinds["store"]).To(HaveKey("unknown"))
	})

	It("counts calls by service and reason", func() {
		c := counter()
		c.CountCall("store", "start")
		c.CountCall("store", "start")
		c.CountCall("origin", "chunk")
		Expect(c.Snapshot().Calls).To(Equal(map[string]int64{"store start": 2, "origin chunk": 1}))
	})

	It("logs a snapshot at each interval", func() {
		var b bytes.Buffer
		ctx, stop := context.WithTimeout(context.Background(), 50*minLogInterval)
		defer stop()
		began := time.Now()
		// The third line ends the run.
		w := writerFunc(func(line []byte) (int, error) {
			n := strings.Count(b.String(), "\n") + 1
			if ctx.Err() == nil {
				Expect(time.Since(began)).To(BeNumerically(">=", time.Duration(n)*minLogInterval))
			}
			if n == 3 {
				stop()
			}
			return b.Write(line)
		})
		p := &Part{Counter: counter(), logInterval: minLogInterval, log: &log.Logger{Writer: &log.IOWriter{Writer: w}}}
		p.CountDatagram(Reports, "c", 7)
		Expect(p.Run(ctx)).To(Succeed())
		Expect(strings.Count(b.String(), "\n")).To(Equal(3))
		var a Totals
		Expect(a.Read(&b)).To(Succeed())
		a.Sum()
		Expect(a.Processes).To(Equal(1))
		Expect(a.Rows).To(Equal([]Row{{Kind: "reports", ByDistance: map[string]Count{"other region": {Number: 1, Sent: 7}}}}))
	})
})

// writerFunc is a function that implements io.Writer.
type writerFunc func(b []byte) (int, error)

// Write implements io.Writer.
func (w writerFunc) Write(b []byte) (int, error) {
	return w(b)
}

// logged returns the log line of a snapshot, with a log collector's prefix.
func logged(s Snapshot) string {
	b, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf(`12.5 side-1 {"time":"2026-01-01T00:00:00Z","vm":"v","traffic":%s,"message":"traffic"}`+"\n", b)
}

var _ = Describe("the totals of several processes", func() {
	sent := func(life string, uptime, bytes int64) Snapshot {
		return Snapshot{
			Incarnation: life, UptimeMs: uptime, Kinds: map[string]map[string]Count{"chunks": {"near": {Number: 1, Sent: bytes, Received: 1}}},
			Calls: map[string]int64{"origin chunk": bytes},
		}
	}

	It("include the newest snapshot of each process lifetime, in any order, and skip other lines", func() {
		var a Totals
		Expect(a.Read(strings.NewReader("no line\n" + logged(sent("x", 20, 50)) + logged(sent("x", 10, 20)) +
			`{"message":"request","why":"traffic"}` + "\n" + logged(sent("y", 5, 7))))).To(Succeed())
		a.Sum()
		Expect(a.Processes).To(Equal(2))
		Expect(a.Rows).To(Equal([]Row{{Kind: "chunks", ByDistance: map[string]Count{"near": {Number: 2, Sent: 57, Received: 2}}}}))
		Expect(a.Rows[0].Bytes("near")).To(Equal(int64(59)))
		Expect(a.Calls).To(Equal(map[string]int64{"origin chunk": 57}))
	})

	It("can be read from a metrics document as /debug/vars serves it", func() {
		c := counter()
		c.CountDatagram(Reports, "c", 7)
		var a Totals
		Expect(a.Read(strings.NewReader("{\n\"springrail\": {\"traffic\": " + c.String() + "},\n\"cmdline\": []\n}\n"))).To(Succeed())
		a.Sum()
		Expect(a.Rows[0].ByDistance["other region"].Sent).To(Equal(int64(7)))
		Expect(a.Read(strings.NewReader("{\n\"springrail\": {}\n}\n"))).NotTo(Succeed())
		Expect(a.Read(strings.NewReader("{\nbroken"))).NotTo(Succeed())
	})

	It("are printed as two tables, or as a hint if there are no counts", func() {
		var a Totals
		a.Sum()
		var b bytes.Buffer
		Expect(a.Text(&b)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("traffic.log_every"))
		Expect(a.Read(strings.NewReader(logged(sent("x", 20, 5_000_000))))).To(Succeed())
		a.Sum()
		b.Reset()
		Expect(a.Text(&b)).To(Succeed())
		Expect(b.String()).To(MatchRegexp(`chunks +5\.00 \(1\)`))
		Expect(b.String()).To(MatchRegexp(`origin chunk +5000000`))
	})

	It("equal the sum of the newest counts of all processes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var text strings.Builder
			var want int64
			for n := range rapid.IntRange(0, 5).Draw(t, "processes") {
				total := int64(0)
				for k, b := range rapid.SliceOfN(rapid.Int64Range(0, 1000), 1, 4).Draw(t, "bytes") {
					total += b
					text.WriteString(logged(sent(fmt.Sprint(n), int64(k), total)))
				}
				want += total
			}
			var a Totals
			if err := a.Read(strings.NewReader(text.String())); err != nil {
				t.Fatal(err)
			}
			a.Sum()
			got := int64(0)
			for i := range a.Rows {
				got += a.Rows[i].ByDistance["near"].Sent
			}
			if got != want {
				t.Fatalf("the totals hold %d bytes, want %d", got, want)
			}
		})
	})
})
