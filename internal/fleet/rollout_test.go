package fleet_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/transfer"
)

const (
	megabyte = 1 << 20
	chunk    = 32 << 10
)

// start starts a serving fleet that is closed at the end of the test.
func start(vms int, link float64, change func(s *fleet.Options)) *fleet.Fleet {
	speeds := standin.DefaultEngine()
	speeds.Step = time.Millisecond
	s := fleet.Options{
		VMs: vms, Domains: 2, LinkBytesPerSecond: link, OriginLinks: 2, Seed: 1, Swarm: transfer.NewSettings(),
		Serving: true, Engine: speeds, ListLag: 50 * time.Millisecond,
	}
	s.Swarm.TakeoverDelay = 300 * time.Millisecond
	if change != nil {
		change(&s)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	f, err := fleet.New(ctx, s)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { stop(); f.Close() })
	Expect(f.WaitReady(ctx)).To(Succeed())
	return f
}

// publish uploads a version to the origin and creates a rollout of it.
func publish(f *fleet.Fleet, name string, size int, base uint64) (*pb.Version, []byte) {
	v, content, err := f.Publish(name, size, chunk)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.CreateRollout(v, pb.Objective_OBJECTIVE_TIME, base == 0, base)).To(Succeed())
	return v, content
}

// answer is the answer that a caller received.
type answer struct {
	status  int
	header  http.Header
	body    string
	tokens  []string
	ended   bool
	version string
}

// ask sends a chat completion request through an entry.
func ask(e *fleet.Entry, stream bool) answer {
	body, _ := json.Marshal(map[string]any{
		"model": fleet.Model, "stream": stream, "max_tokens": 8, "messages": []map[string]string{{"role": "user", "content": "hello"}},
	})
	return send(http.MethodPost, e.Caller+"/v1/chat/completions", body)
}

func send(method, url string, body []byte, header ...string) answer {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	got := answer{status: a.StatusCode, header: a.Header, body: string(b), version: a.Header.Get("Springrail-Version")}
	got.ended = strings.HasSuffix(strings.TrimSpace(got.body), "data: [DONE]")
	for _, line := range strings.Split(got.body, "\n") {
		if i := strings.Index(line, `"content":"`); i >= 0 {
			got.tokens = append(got.tokens, strings.SplitN(line[i+len(`"content":"`):], ":", 2)[0])
		}
	}
	return got
}

// live returns a function that counts the agents which announce a version as live.
func live(f *fleet.Fleet, version string) func() int {
	return func() int {
		n := 0
		for _, a := range f.Agents {
			for _, l := range a.Follower.Status().GetLive() {
				if l.GetVersion() == version && !a.Link.Disconnected.Load() {
					n++
				}
			}
		}
		return n
	}
}

// held returns a function that reports the percentage of a version's chunks held by the agent that holds most.
func held(f *fleet.Fleet, name string) func() int {
	return func() int {
		maxPercent := 0
		for _, a := range f.Agents {
			if h := a.Manager.Holding(id.Rollout("rollout-" + name)); h != nil {
				if have, all := h.Count(); all > 0 {
					maxPercent = max(maxPercent, have*100/all)
				}
			}
		}
		return maxPercent
	}
}

// watchCallers sends requests continuously and fails on an answer of mixed versions or of missing tokens. The returned
// function stops it and returns the number of answers by version.
func watchCallers(f *fleet.Fleet) func() map[string]int {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan map[string]int)
	go func() {
		defer GinkgoRecover()
		seen := map[string]int{}
		for i := 0; ctx.Err() == nil; i++ {
			a := ask(f.Entries[i%len(f.Entries)], true)
			if a.status == http.StatusOK && a.ended {
				for _, t := range a.tokens {
					Expect(t).To(Equal(a.version), "the answer mixes versions")
				}
				Expect(a.tokens).To(HaveLen(8))
				seen[a.version]++
			}
			time.Sleep(5 * time.Millisecond)
		}
		done <- seen
	}()
	return func() map[string]int { stop(); return <-done }
}

func loadsOf(f *fleet.Fleet, v *pb.Version) int {
	n := 0
	for _, a := range f.Agents {
		if a.Engine != nil {
			n += a.Engine.Stats().Loads[hex.EncodeToString(v.GetManifestSha256())]
		}
	}
	return n
}

var _ = Describe("a rollout", func() {
	It("reaches all VMs, goes live, and answers callers completely", func() {
		f := start(4, 32*megabyte, nil)
		v, _ := publish(f, "v1", megabyte, 0)
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(4))
		Expect(loadsOf(f, v)).To(Equal(4), "each engine has verified all bytes against the pinned manifest")
		Expect(f.Platform.Origin.BytesSent()).To(BeNumerically("<=", megabyte*11/10))
		for _, e := range f.Entries {
			Eventually(func() int { return ask(e, false).status }, "5s", "20ms").Should(Equal(http.StatusOK))
			a := ask(e, true)
			Expect(a.version).To(Equal("v1"))
			Expect(a.ended).To(BeTrue())
			Expect(a.tokens).To(HaveLen(8))
		}
	})

	It("never serves partial weights when an agent is killed during the transfer", func() {
		f := start(4, megabyte, nil)
		seen := watchCallers(f)
		_, content := publish(f, "v1", 2*megabyte, 0)
		Eventually(held(f, "v1"), "10s", "5ms").Should(BeNumerically(">", 20))
		killed := f.Agents[0]
		killed.Kill()
		Eventually(live(f, "v1"), "30s", "10ms").Should(Equal(3))
		Expect(killed.Engine.Stats().Loads).To(BeEmpty())
		for _, a := range f.Agents[1:4] {
			Expect(contentOf(a, "v1")).To(Equal(content))
		}
		Eventually(func() int { return ask(f.Entries[1], false).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		Expect(seen()).To(HaveKey("v1"))
	})

	It("gets no requests while its engine loads, nor after the load has failed or the engine was killed", func() {
		f := start(2, 32*megabyte, func(s *fleet.Options) { s.Domains, s.Engine.LoadTime = 1, 500*time.Millisecond })
		f.Agents[0].Engine.SetFaults(standin.EngineFaults{FailLoads: true})
		publish(f, "v1", megabyte, 0)
		Eventually(func() bool { return loading(f.Agents[1]) }, "10s", "5ms").Should(BeTrue())
		Expect(ask(f.Entries[0], false).status).To(Equal(http.StatusServiceUnavailable))
		f.Agents[1].KillEngine()
		Consistently(live(f, "v1"), "700ms", "20ms").Should(BeZero())
		a := ask(f.Entries[0], false)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Springrail-Outcome")).To(Equal("not-run"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		f.Agents[0].Engine.SetFaults(standin.EngineFaults{})
		Eventually(live(f, "v1"), "10s", "20ms").Should(Equal(1))
	})

	It("rejects content that is replaced under the same version at the origin", func() {
		f := start(3, megabyte, func(s *fleet.Options) { s.Domains = 1 })
		seen := watchCallers(f)
		_, content := publish(f, "v1", megabyte, 0)
		Eventually(held(f, "v1"), "10s", "5ms").Should(BeNumerically(">", 10))
		f.Platform.Origin.SetFaults(standin.WeightsFaults{Swap: true})
		time.Sleep(500 * time.Millisecond)
		rejected := int64(0)
		for _, a := range f.Agents {
			rejected += a.Manager.Counters().Corrupt
		}
		Expect(rejected).To(BeNumerically(">", 0), "the content was replaced during the transfer")
		Expect(live(f, "v1")()).To(BeZero())
		f.Platform.Origin.SetFaults(standin.WeightsFaults{})
		Eventually(live(f, "v1"), "30s", "10ms").Should(Equal(3))
		for _, a := range f.Agents[:3] {
			Expect(contentOf(a, "v1")).To(Equal(content))
		}
		Expect(f.Platform.Origin.BytesSent()).To(BeNumerically("<=", 3*megabyte), "the origin's egress stays within its budget")
		seen()
	})

	It("ends the transfer of a superseded version, and serves only complete versions", func() {
		f := start(4, megabyte, nil)
		seen := watchCallers(f)
		publish(f, "v1", 2*megabyte, 0)
		Eventually(held(f, "v1"), "10s", "5ms").Should(BeNumerically(">", 20))
		_, content := publish(f, "v2", megabyte, 2)
		Eventually(live(f, "v2"), "30s", "10ms").Should(Equal(4))
		for _, a := range f.Agents[:4] {
			Expect(contentOf(a, "v2")).To(Equal(content))
		}
		Eventually(func() string { return ask(f.Entries[0], true).version }, "5s", "20ms").Should(Equal("v2"))
		Expect(seen()).NotTo(HaveKey("v1"))
	})

	It("swaps versions in waves without interrupting service", func() {
		f := start(4, 32*megabyte, func(s *fleet.Options) { s.Domains, s.Engine.LoadTime = 1, 100*time.Millisecond })
		publish(f, "v1", megabyte, 0)
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(4))
		Eventually(func() int { return ask(f.Entries[0], false).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		publish(f, "v2", megabyte, 2)
		minLive, refused := 4, 0
		for live(f, "v2")() < 4 {
			minLive = min(minLive, live(f, "v1")()+live(f, "v2")())
			if ask(f.Entries[0], false).status != http.StatusOK {
				refused++
			}
		}
		Expect(minLive).To(BeNumerically(">=", 3), "at most one of four agents may swap at a time")
		Expect(refused).To(BeZero())
	})

	It("is reverted by a rollback that uses the weights still held", func() {
		f := start(2, 32*megabyte, func(s *fleet.Options) { s.Domains = 1 })
		v1, _ := publish(f, "v1", megabyte, 0)
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(2))
		publish(f, "v2", megabyte, 2)
		Eventually(live(f, "v2"), "20s", "10ms").Should(Equal(2))
		sentBefore := f.Platform.Origin.BytesSent()
		Expect(f.Append(&pb.Change{
			ChangeId: "back", Organisation: fleet.Organisation, BaseRevision: 3,
			Operation: &pb.Change_CreateRollout{CreateRollout: &pb.CreateRollout{Rollout: &pb.Rollout{
				Id: "rollout-back", Organisation: fleet.Organisation, Version: v1,
			}}},
		})).To(Succeed())
		Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(2))
		Expect(f.Platform.Origin.BytesSent()).To(Equal(sentBefore))
	})
})

func contentOf(a *fleet.Agent, name string) []byte {
	var b bytes.Buffer
	_, err := a.Manager.Holding(id.Rollout("rollout-" + name)).WriteTo(&b)
	Expect(err).NotTo(HaveOccurred())
	return b.Bytes()
}

func loading(a *fleet.Agent) bool {
	l, ok := a.Engine.State().FindModel(fleet.Organisation, fleet.Model)
	return ok && l.Status == engine.StatusLoading
}
