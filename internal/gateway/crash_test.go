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

var _ = Describe("the log line of a request whose upstream broke off", func() {
	DescribeTable("identifies it across its retries, names the upstream, and states how far the response had come",
		func(broken string, play func(q *http.Request, body string, c net.Conn)) {
			b := newTestbed(route(catalog.Streaming, "engines"))
			b.addUpstream("u", "engines", play)
			lines := &logBuffer{}
			b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
			_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
			Eventually(lines.String).Should(And(
				ContainSubstring(`"fingerprint":"`+quarantine.OfContent("POST", "/p/", []byte("x")).String()+`"`),
				ContainSubstring(`"broken":"`+broken+`","broken_instance":"u"`),
			))
		},
		Entry("before the header", progressNoHead, func(*http.Request, string, net.Conn) {}),
		Entry("after the header", progressHead, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "") }),
		Entry("within the stream", progressBody, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "", "id: 1\ndata: a\n\n") }),
	)

	It("names the parts of the prompt that other requests may have too, unless the request was answered", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			if q.Header.Get("X-Whole") != "" {
				stream(c, q, "", "id: 1\ndata: a\n\n")
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
		})
		lines := &logBuffer{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1", xParts, "1a 2b")
		Eventually(lines.String).Should(ContainSubstring(`"prompt_parts":["1a","2b"]`))
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xParts, "3c", "X-Whole", "1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(lines.String).Should(ContainSubstring(`"outcome":"answered"`))
		Expect(lines.String()).NotTo(ContainSubstring("3c"))
	})

	It("has no fingerprint if the request was refused before its body was read", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		lines := &logBuffer{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		_, _, _ = b.sendRequest("POST", "/elsewhere/", "x")
		Eventually(lines.String).Should(ContainSubstring("no route"))
		Expect(lines.String()).NotTo(ContainSubstring("fingerprint"))
	})
})

// addCrashingUpstream adds an upstream whose process crashes under each request: all its connections break, and its
// port is closed.
func (b *testbed) addCrashingUpstream(name string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.serveConn(name, c, func(*http.Request, string, net.Conn) {
			_ = l.Close()
			_ = c.Close()
		})
	}()
	b.facts.SetInstance(&facts.Instance{
		ID: id.Instance(name), Pool: "engines", Address: l.Addr().String(), Domain: "d", Slots: 4, Held: []facts.Held{{Model: "m", Revision: 1}},
	})
}

// identityOf returns what a request to the route of these specs is recognised by, from a caller without a key.
func identityOf(body string, parts ...id.PromptPart) quarantine.Identity {
	q := quarantine.Identity{Fingerprint: quarantine.OfContent("POST", "/p/", []byte(body)), Use: quarantine.Of("POST", "/p/", "", []byte(body))}
	for _, p := range parts {
		q.Parts, q.PartUses = append(q.Parts, quarantine.OfPartContent(p)), append(q.PartUses, quarantine.OfPart("m", "", p))
	}
	return q
}

// inFlight returns a request that was in flight at an upstream when its process ended.
func inFlight(q quarantine.Identity, g quarantine.Progress) quarantine.InFlightRequest {
	return quarantine.InFlightRequest{Fingerprint: q.Fingerprint, Use: q.Use, Parts: q.Parts, PartUses: q.PartUses, Progress: g}
}

// reportCrashes reports to the gateway's quarantine list that the given number of upstreams crashed under a
// request.
func (b *testbed) reportCrashes(q quarantine.Identity, crashes int) {
	for n := range crashes {
		b.list.RecordCrash(quarantine.Crash{
			Incarnation: quarantine.Incarnation{Instance: id.Instance(strconv.Itoa(n)), Address: "a"},
			Requests:    []quarantine.InFlightRequest{inFlight(q, quarantine.Waiting)},
		})
	}
}

var _ = Describe("a request that crashes upstreams", func() {
	crashing := identityOf("bad")
	completeStream := func(q *http.Request, _ string, c net.Conn) {
		stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	verdict := func(b *testbed) func() quarantine.Verdict {
		return func() quarantine.Verdict { return b.list.Check(crashing) }
	}

	It("is refused with a retry time while quarantined, and others from the same caller are served", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", completeStream)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: crashing.Fingerprint})
		a, body, err := b.sendRequest("POST", "/p/", "bad", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get(xRetry)).To(Equal(strconv.FormatInt(quarantineRetryAfter.Milliseconds(), 10)))
		Expect(body).To(ContainSubstring("held"))
		Expect(b.upstreamCount("1")).To(BeZero())
		a, _, err = b.sendRequest("POST", "/p/", "good", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})

	It("runs alone after two upstreams have crashed under it, and is quarantined once a crash confirms the suspicion", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v", "w", "x"} {
			b.addCrashingUpstream(n)
		}
		_, _, _ = b.sendRequest("POST", "/p/", "bad", xModel, "m")
		Expect(b.upstreamCount("1")).To(Equal(2), "a single crash is usually not caused by the request: it is retried once")
		Eventually(verdict(b)).Should(Equal(quarantine.Alone))
		for _, attempt := range []string{"2", "3"} {
			Eventually(verdict(b)).Should(Equal(quarantine.Alone))
			// It is refused until the outcome of the last one is known.
			Eventually(func() int {
				_, _, _ = b.sendRequest("POST", "/p/", "bad", xModel, "m", xRequest, attempt)
				return b.upstreamCount(attempt)
			}).Should(Equal(1))
		}
		Eventually(verdict(b)).Should(Equal(quarantine.Held))
	})

	It("does not make a part of its prompt suspect on which an upstream has written an answer for some time", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			time.Sleep(quarantine.BeginningTime)
			_, _ = io.WriteString(c, "10\r\nid: 2\ndata: bbb\n\n\r\n")
		})
		suspect := identityOf("bad", "1a")
		announced := make(chan []quarantine.Fingerprint, 1)
		b.list.OnUnlikely = func(parts []quarantine.Fingerprint) { announced <- parts }
		for n := range 2 {
			b.list.RecordCrash(quarantine.Crash{
				Incarnation: quarantine.Incarnation{Instance: id.Instance(strconv.Itoa(n)), Address: "a"},
				Requests:    []quarantine.InFlightRequest{inFlight(suspect, quarantine.Beginning)},
			})
		}
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", xParts, "1a", "X-Hang-Up", "1")
		Eventually(announced).Should(Receive(Equal(suspect.PartUses)))
	})

	It("is not suspected if connections break and the upstream is alive", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v"} {
			b.addUpstream(n, "engines", func(*http.Request, string, net.Conn) {})
		}
		for n := range 4 {
			_, _, _ = b.sendRequest("POST", "/p/", "bad", xModel, "m", xRequest, strconv.Itoa(n), "X-Hang-Up", "1")
		}
		Consistently(verdict(b)).WithTimeout(200 * time.Millisecond).Should(Equal(quarantine.Pass))
	})

	It("is refused while a retry of it runs alone, and no longer suspected once that is served", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		release := make(chan struct{})
		b.addUpstream("u", "engines", func(q *http.Request, body string, c net.Conn) {
			<-release
			completeStream(q, body, c)
		})
		b.reportCrashes(crashing, 2)
		Eventually(verdict(b)).Should(Equal(quarantine.Alone))
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			a, _, err := b.sendRequest("POST", "/p/", "bad", xModel, "m")
			Expect(err).NotTo(HaveOccurred())
			first <- a.StatusCode
		}()
		Eventually(func() int { return b.upstreamCount("1") }).Should(Equal(1))
		a, _, err := b.sendRequest("POST", "/p/", "bad", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("2")).To(BeZero())
		close(release)
		Eventually(first).Should(Receive(Equal(http.StatusOK)))
		Expect(b.list.Check(crashing)).To(Equal(quarantine.Pass))
	})

	// Guards against a suspected request being refused for seconds because an upstream was full.
	It("is tried again at once after an upstream has refused it", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 503, xNotRun+": 1\r\n", "") })
		b.reportCrashes(crashing, 2)
		Eventually(verdict(b)).Should(Equal(quarantine.Alone))
		for n := range 3 {
			_, _, err := b.sendRequest("POST", "/p/", "bad", xModel, "m", xRequest, strconv.Itoa(n))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.upstreamCount(strconv.Itoa(n))).To(Equal(1))
		}
	})

	It("is cancelled at an upstream that has not begun it when it is quarantined, and completed at one that has", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		release, disconnected := make(chan struct{}), make(chan struct{}, 1)
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			if q.Header.Get(xRequest) == "waits" {
				_, _ = c.Read(make([]byte, 1))
				disconnected <- struct{}{}
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
				a, body, err := b.sendRequest("POST", "/p/", "bad", xModel, "m", xRequest, name)
				Expect(err).NotTo(HaveOccurred())
				answers <- name + " " + strconv.Itoa(a.StatusCode) + " " + body[:2]
			}()
			Eventually(func() int { return b.upstreamCount(name) }).Should(Equal(1))
		}
		time.Sleep(50 * time.Millisecond)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: crashing.Fingerprint})
		Eventually(disconnected).Should(Receive())
		Eventually(answers).Should(Receive(HavePrefix("waits 502")))
		close(release)
		Eventually(answers).Should(Receive(HavePrefix("begun 200 id")))
		Expect(b.list.Check(crashing)).To(Equal(quarantine.Pass), "an upstream has served it")
	})

	It("is refused, and cancelled while no upstream has begun it, if a part of its prompt is quarantined, and others are served", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		waiting := make(chan struct{}, 1)
		b.addUpstream("u", "engines", func(q *http.Request, body string, c net.Conn) {
			if q.Header.Get(xRequest) == "waits" {
				_, _ = c.Read(make([]byte, 1))
				waiting <- struct{}{}
				return
			}
			completeStream(q, body, c)
		})
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			a, _, err := b.sendRequest("POST", "/p/", "one", xModel, "m", xRequest, "waits", xParts, "1a 2b")
			Expect(err).NotTo(HaveOccurred())
			answered <- a.StatusCode
		}()
		Eventually(func() int { return b.upstreamCount("waits") }).Should(Equal(1))
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: quarantine.OfPartContent("2b"), Parts: []quarantine.Fingerprint{quarantine.OfPartContent("2b")}})
		Eventually(waiting).Should(Receive())
		Eventually(answered).Should(Receive(Equal(http.StatusBadGateway)))
		a, body, err := b.sendRequest("POST", "/p/", "two", xModel, "m", xRequest, "2", xParts, "3c 2b 1a")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get(xRetry)).To(Equal(strconv.FormatInt(quarantineRetryAfter.Milliseconds(), 10)))
		Expect(body).To(ContainSubstring("held"))
		Expect(b.upstreamCount("2")).To(BeZero())
		for n, other := range []string{xModel + " m " + xParts + " 1a", xModel + " m " + xParts + " 2"} {
			h := strings.Fields(other)
			a, _, err = b.sendRequest("POST", "/p/", "three", append(h, xRequest, strconv.Itoa(3+n))...)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("is not sent to a second upstream if two have crashed under a part of its prompt", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v"} {
			b.addCrashingUpstream(n)
		}
		part := quarantine.OfPartContent("2b")
		for n := range 2 {
			b.list.RecordCrash(quarantine.Crash{
				Incarnation: quarantine.Incarnation{Instance: id.Instance(strconv.Itoa(n)), Address: "a"},
				Requests:    []quarantine.InFlightRequest{{Fingerprint: quarantine.Of("POST", "/", "", []byte{byte(n)}), Parts: []quarantine.Fingerprint{part}, Progress: quarantine.Beginning}},
			})
		}
		_, _, _ = b.sendRequest("POST", "/p/", "bad", xModel, "m", xParts, "2b")
		Expect(b.upstreamCount("1")).To(Equal(1))
	})

	It("is identified by the start of its body if that exceeds the buffer", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		r := *b.facts.Catalog().Match("h.example", "/p/")
		b.facts.SetCatalog(catalog.New(8, []*catalog.Route{&r}, []*catalog.Service{{Name: "plain"}}, nil, catalog.Limits{BodyBytes: 2 * maxBufferedBody}))
		b.addUpstream("u", "plain", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		longBody := strings.Repeat("x", maxBufferedBody)
		b.list.AddHeld(quarantine.HeldRequest{Fingerprint: quarantine.OfContent("POST", "/p/", []byte(longBody))})
		a, _, err := b.sendRequest("POST", "/p/", longBody+"tail")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		a, _, err = b.sendRequest("POST", "/p/", "y"+longBody, xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})
})
