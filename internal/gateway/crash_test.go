package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
)

var _ = Describe("the line of a request under which an upstream broke off", func() {
	DescribeTable("tells it from others across its repeats, on which start of which upstream, and how far the answer had come",
		func(broken string, play func(q *http.Request, body string, c net.Conn)) {
			b := newTestbed(route(catalog.Streaming, "engines"))
			b.upstream("u", "engines", play)
			lines := &pages{}
			b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
			_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
			Eventually(lines.String).Should(And(
				ContainSubstring(`"fingerprint":"`+quarantine.Of("POST", "/p/", "", []byte("x")).String()+`"`),
				ContainSubstring(`"broken":"`+broken+`","broken_instance":"u"`),
			))
		},
		Entry("before its head", noHead, func(*http.Request, string, net.Conn) {}),
		Entry("after its head", headOnly, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "") }),
		Entry("in mid-stream", inBody, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "", "id: 1\ndata: a\n\n") }),
	)

	It("has no fingerprint where the request was refused before its body was read", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		lines := &pages{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		_, _, _ = b.ask("POST", "/elsewhere/", "x")
		Eventually(lines.String).Should(ContainSubstring("no route"))
		Expect(lines.String()).NotTo(ContainSubstring("fingerprint"))
	})
})

// ending adds an upstream whose process ends under each request: all its connections break, and its port is closed.
func (b *testbed) ending(name string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.play(name, c, func(*http.Request, string, net.Conn) {
			_ = l.Close()
			_ = c.Close()
		})
	}()
	b.facts.SetInstance(&facts.Instance{
		ID: id.Instance(name), Pool: "engines", Address: l.Addr().String(), Domain: "d", Slots: 4, Held: []facts.Held{{Model: "m", Revision: 1}},
	})
}

// suspect makes a gateway's list suspect a request as so many upstreams have ended under it.
func (b *testbed) suspect(f quarantine.Fingerprint, ends int) {
	for n := range ends {
		b.list.RecordCrash(quarantine.Crash{
			Incarnation: quarantine.Incarnation{Instance: id.Instance(strconv.Itoa(n)), Address: "a"},
			Requests:    []quarantine.InFlightRequest{{Fingerprint: f}},
		})
	}
}

var _ = Describe("a request under which upstreams have crashed", func() {
	bad := quarantine.Of("POST", "/p/", "", []byte("bad"))
	whole := func(q *http.Request, _ string, c net.Conn) {
		stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	verdict := func(b *testbed) func() quarantine.Verdict {
		return func() quarantine.Verdict { return b.list.Check(bad) }
	}

	It("is not sent on and told when to come back, and others from the same caller are served", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", whole)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: bad})
		a, body, err := b.ask("POST", "/p/", "bad", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get(xRetry)).To(Equal(strconv.FormatInt(heldRetry.Milliseconds(), 10)))
		Expect(body).To(ContainSubstring("held"))
		Expect(b.runs("1")).To(BeZero())
		a, _, err = b.ask("POST", "/p/", "good", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})

	It("counts upstreams whose processes ended under it, goes to one at a time after two, and is held once that has proved it", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v", "w", "x"} {
			b.ending(n)
		}
		_, _, _ = b.ask("POST", "/p/", "bad", xModel, "m")
		Expect(b.runs("1")).To(Equal(2), "one crash is most often not the request's: it is sent on once")
		Eventually(verdict(b)).Should(Equal(quarantine.Alone))
		for _, try := range []string{"2", "3"} {
			Eventually(verdict(b)).Should(Equal(quarantine.Alone))
			_, _, _ = b.ask("POST", "/p/", "bad", xModel, "m", xRequest, try)
			Expect(b.runs(try)).To(Equal(1))
		}
		Eventually(verdict(b)).Should(Equal(quarantine.Held))
	})

	It("is no suspect where connections break and the upstream lives", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v"} {
			b.upstream(n, "engines", func(*http.Request, string, net.Conn) {})
		}
		for n := range 4 {
			_, _, _ = b.ask("POST", "/p/", "bad", xModel, "m", xRequest, strconv.Itoa(n), "X-Hang-Up", "1")
		}
		Consistently(verdict(b)).WithTimeout(200 * time.Millisecond).Should(Equal(quarantine.Pass))
	})

	It("is refused while a repeat of it is tried alone, and no suspect any more once that is served", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		release := make(chan struct{})
		b.upstream("u", "engines", func(q *http.Request, body string, c net.Conn) {
			<-release
			whole(q, body, c)
		})
		b.suspect(bad, 2)
		Eventually(verdict(b)).Should(Equal(quarantine.Alone))
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			a, _, err := b.ask("POST", "/p/", "bad", xModel, "m")
			Expect(err).NotTo(HaveOccurred())
			first <- a.StatusCode
		}()
		Eventually(func() int { return b.runs("1") }).Should(Equal(1))
		a, _, err := b.ask("POST", "/p/", "bad", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("2")).To(BeZero())
		close(release)
		Eventually(first).Should(Receive(Equal(http.StatusOK)))
		Expect(b.list.Check(bad)).To(Equal(quarantine.Pass))
	})

	It("ends at an upstream that has not begun it once it is held, and is let out where one has begun it", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		release, gone := make(chan struct{}), make(chan struct{}, 1)
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			if q.Header.Get(xRequest) == "waits" {
				_, _ = c.Read(make([]byte, 1))
				gone <- struct{}{}
				return
			}
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			<-release
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		answers := make(chan string, 2)
		for _, name := range []string{"begun", "waits"} {
			go func() {
				defer GinkgoRecover()
				a, body, err := b.ask("POST", "/p/", "bad", xModel, "m", xRequest, name)
				Expect(err).NotTo(HaveOccurred())
				answers <- name + " " + strconv.Itoa(a.StatusCode) + " " + body[:2]
			}()
			Eventually(func() int { return b.runs(name) }).Should(Equal(1))
		}
		time.Sleep(50 * time.Millisecond)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: bad})
		Eventually(gone).Should(Receive())
		Eventually(answers).Should(Receive(HavePrefix("waits 502")))
		close(release)
		Eventually(answers).Should(Receive(HavePrefix("begun 200 id")))
		Expect(b.list.Check(bad)).To(Equal(quarantine.Pass), "an upstream has borne it")
	})

	It("is known by the first of its body where that is longer than what is held", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		r := *b.facts.Catalog().Match("h.example", "/p/")
		b.facts.SetCatalog(catalog.New(8, []*catalog.Route{&r}, []*catalog.Service{{Name: "plain"}}, nil, catalog.Limits{BodyBytes: 2 * heldBody}))
		b.upstream("u", "plain", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		long := strings.Repeat("x", heldBody)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: quarantine.Of("POST", "/p/", "", []byte(long))})
		a, _, err := b.ask("POST", "/p/", long+"tail")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		a, _, err = b.ask("POST", "/p/", "y"+long, xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})
})
