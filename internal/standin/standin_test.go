package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/spec"
)

func TestStandin(t *testing.T) {
	spec.Run(t, "The simulated external systems")
}

func serveRequest(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

var _ = Describe("the engine", func() {
	var h http.Handler
	var source *httptest.Server
	var sum string

	BeforeEach(func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		s := DefaultEngine()
		s.Step, s.ReportLag = time.Millisecond, 50*time.Millisecond
		h = NewEngine(ctx, s).Handler()
		content := []byte("some weights")
		m, _ := manifest.New(bytes.NewReader(content), 5)
		raw, _ := manifest.Encode(m)
		digest := sha256.Sum256(raw)
		sum = hex.EncodeToString(digest[:])
		source = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/manifest" {
				_, _ = w.Write(raw)
				return
			}
			_, _ = w.Write(content)
		}))
		DeferCleanup(source.Close)
	})

	load := func(model, base string, fence int) int {
		o := fmt.Sprintf(`{"organisation":"gym","model":%q,"base_model":%q,"version":"v%d","fence":%d,"manifest_sha256":%q,
			"manifest_url":%q,"content_url":%q}`, model, base, fence, fence, sum, source.URL+"/manifest", source.URL+"/content")
		return serveRequest(h, http.MethodPost, "/admin/load", o).Code
	}
	status := func(model string) func() engine.LoadStatus {
		return func() engine.LoadStatus {
			var s engine.State
			Expect(json.Unmarshal(serveRequest(h, http.MethodGet, "/admin/state", "").Body.Bytes(), &s)).To(Succeed())
			l, _ := s.FindModel("gym", id.Model(model))
			return l.Status
		}
	}

	It("refuses orders with an older fence, and loads an adapter only if its base model is ready", func() {
		Expect(load("adapter", "desk", 1)).To(Equal(http.StatusAccepted))
		Eventually(status("adapter")).Should(Equal(engine.StatusFailed))
		Expect(load("desk", "", 5)).To(Equal(http.StatusAccepted))
		Eventually(status("desk")).Should(Equal(engine.StatusReady))
		Expect(load("desk", "", 4)).To(Equal(http.StatusConflict))
		Expect(load("adapter", "desk", 6)).To(Equal(http.StatusAccepted))
		Eventually(status("adapter")).Should(Equal(engine.StatusReady))
		Expect(serveRequest(h, http.MethodPost, "/admin/role", `{"name":"prefill","fence":7}`).Code).To(Equal(http.StatusNoContent))
		Expect(serveRequest(h, http.MethodPost, "/admin/role", `{"name":"decode","fence":6}`).Code).To(Equal(http.StatusConflict))
		Expect(serveRequest(h, http.MethodGet, "/admin/state", "").Body.String()).To(ContainSubstring(`"role":"prefill"`))
	})

	It("streams, resumes a stream, publishes cache events with a delay, and exports and imports its cache", func() {
		load("desk", "", 1)
		Eventually(status("desk")).Should(Equal(engine.StatusReady))
		chat := func(extraFields string) string {
			return serveRequest(h, http.MethodPost, "/v1/chat/completions", `{"model":"desk","stream":true,"max_tokens":4,"messages":["hello"]`+extraFields+`}`,
				"X-Organisation", "gym", "X-Request-Id", "r").Body.String()
		}
		whole := chat("")
		Expect(strings.Count(whole, "data: {")).To(Equal(4))
		Expect(whole).To(HaveSuffix("data: [DONE]\n\n"))
		rest := chat(`,"resume_from":3`)
		Expect(strings.Count(rest, "data: {")).To(Equal(1))
		Expect(whole).To(ContainSubstring(strings.SplitN(rest, "\n", 2)[0]))
		Expect(serveRequest(h, http.MethodGet, "/admin/cache-events?since=-1", "").Body.String()).To(Equal("null\n"))
		Eventually(func() string {
			return serveRequest(h, http.MethodGet, "/admin/cache-events?since=-1", "").Body.String()
		}).
			Should(ContainSubstring("hello"))
		kv := serveRequest(h, http.MethodGet, "/admin/kv", "").Body.String()
		Expect(kv).To(ContainSubstring("hello"))
		Expect(serveRequest(h, http.MethodPut, "/admin/kv", `["other"]`).Code).To(Equal(http.StatusNoContent))
		Expect(serveRequest(h, http.MethodGet, "/admin/kv", "").Body.String()).To(ContainSubstring("other"))
	})

	It("frees the slot of a request whose caller has disconnected", func() {
		load("desk", "", 1)
		Eventually(status("desk")).Should(Equal(engine.StatusReady))
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"desk","max_tokens":4000,"messages":[]}`)).WithContext(ctx)
		r.Header.Set("X-Organisation", "gym")
		go h.ServeHTTP(httptest.NewRecorder(), r)
		running := func() string { return serveRequest(h, http.MethodGet, "/admin/state", "").Body.String() }
		Eventually(running).Should(ContainSubstring(`"running":1`))
		cancel()
		Eventually(running).Should(ContainSubstring(`"running":0`))
	})
})

var _ = Describe("the platform", func() {
	It("limits its log's append rate and retention, simulates outages, and publishes its VM list with a delay", func() {
		p := &Platform{Log: NewLog(3), VMs: NewVMList(100 * time.Millisecond), Store: NewWeights("", 0), Origin: NewWeights("", 0)}
		h := p.Handler()
		codes := map[int]int{}
		began := time.Now()
		for range 2 * appendsPerSecond {
			codes[serveRequest(h, http.MethodPost, "/log/append", "x").Code]++
		}
		taken := 2*appendsPerSecond - codes[http.StatusTooManyRequests]
		Expect(taken).To(BeNumerically(">=", appendsPerSecond))
		Expect(float64(taken)).To(BeNumerically("<=", appendsPerSecond*(1+time.Since(began).Seconds())+1))
		var read readAnswer
		Expect(json.Unmarshal(serveRequest(h, http.MethodGet, "/log/read?from=1&limit=10", "").Body.Bytes(), &read)).To(Succeed())
		Expect(read.Next - read.First).To(Equal(uint64(3)))
		Expect(read.Records).To(BeEmpty())
		Expect(serveRequest(h, http.MethodPut, "/faults", `{"log":{"outage":true}}`).Code).To(Equal(http.StatusOK))
		Expect(serveRequest(h, http.MethodGet, "/log/read?from=1&limit=10", "").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(serveRequest(h, http.MethodPut, "/faults", `{"log":{"outrage":true}}`).Code).To(Equal(http.StatusBadRequest))
		p.VMs.Set([]ListedVM{{ID: "a"}})
		Expect(serveRequest(h, http.MethodGet, "/vms", "").Body.String()).NotTo(ContainSubstring(`"a"`))
		Eventually(func() string { return serveRequest(h, http.MethodGet, "/vms", "").Body.String() }).Should(ContainSubstring(`"a"`))
	})

	It("limits its bandwidth and counts the bytes that it sends", func() {
		w := NewWeights("", 100_000)
		w.Put("p/content", make([]byte, 3*burstBytes))
		mux := http.NewServeMux()
		w.Register(mux, "/origin/")
		started := time.Now()
		a := serveRequest(mux, http.MethodGet, "/origin/p/content", "", "Range", fmt.Sprintf("bytes=0-%d", 3*burstBytes-1))
		n, _ := io.Copy(io.Discard, a.Body)
		Expect(n).To(Equal(int64(3 * burstBytes)))
		Expect(time.Since(started)).To(BeNumerically(">", 250*time.Millisecond))
		Expect(w.BytesSent()).To(Equal(n))
	})
})

var _ = Describe("the model server", func() {
	It("takes the configured time for an answer", func() {
		m := &ModelServer{Instance: "u", Slots: 1, OnRun: func(RequestRun) {}}
		m.AnswerTime = func(request string) time.Duration {
			return map[string]time.Duration{"slow": 120 * time.Millisecond}[request]
		}
		m.SetVersion(1)
		for _, l := range [][]string{{}, {"Model", "m"}} {
			start := time.Now()
			a := serveRequest(m, "POST", "/p/", "x", append(l, "Request-Id", "slow", "Target-Instance", "u")...)
			Expect(a.Code).To(Equal(200))
			Expect(time.Since(start)).To(BeNumerically(">=", 120*time.Millisecond))
		}
	})
})

var _ = Describe("an order to a model server", func() {
	DescribeTable("is a violation if chunks are not the version's, unless they have just turned corrupt", func(corruptFor time.Duration, version string, violations int) {
		found := 0
		m := &ModelServer{Weights: ModelOrigin{Model: "m", Chunks: 2, ChunkBytes: 8}, OnViolation: func(string) { found++ }}
		Expect(m.CorruptStaged(0)).To(BeFalse())
		for n := range 2 {
			serveRequest(m, http.MethodPut, fmt.Sprint("/v1/stage-put/m?n=", n), string(m.Weights.Chunk(2, n)))
		}
		if corruptFor > 0 {
			Expect(m.CorruptStaged(1)).To(BeTrue())
			c := m.corrupt[1]
			c.since = c.since.Add(-corruptFor)
			m.corrupt[1] = c
		}
		serveRequest(m, http.MethodPost, "/v1/order", `{"op":"start","version":`+version+`}`)
		Expect(found).To(Equal(violations))
	},
		Entry("all are the version's", time.Duration(0), "2", 0),
		Entry("one has just turned corrupt", time.Millisecond, "2", 0),
		Entry("one has been corrupt for too long", corruptTolerance, "2", 1),
		Entry("all are another version's", time.Duration(0), "3", 1),
		Entry("one is another version's and has just turned corrupt", time.Millisecond, "3", 1),
	)
})
