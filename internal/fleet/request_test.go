package fleet_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/standin"
)

// serving starts a fleet and waits until all of its agents serve the first version.
func serving(vms int, change func(s *fleet.Options)) *fleet.Fleet {
	f := start(vms, 32*megabyte, change)
	publish(f, "v1", megabyte, 0)
	Eventually(live(f, "v1"), "20s", "10ms").Should(Equal(vms))
	for _, e := range f.Entries {
		Eventually(func() int { return ask(e, false).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		Eventually(func() int { return call(e, "ready", "").status }, "5s", "20ms").Should(Equal(http.StatusOK))
	}
	return f
}

// call sends a request that must not be retried to the plain service.
func call(e *fleet.Entry, path, key string) answer {
	if key == "" {
		return send(http.MethodPost, e.Caller+"/svc/"+fleet.Service+"/"+path, []byte("x"))
	}
	return send(http.MethodPost, e.Caller+"/svc/"+fleet.Service+"/"+path, []byte("x"), "Idempotency-Key", key)
}

func service(f *fleet.Fleet) *fleet.Agent {
	return f.Agents[len(f.Agents)-1]
}

var _ = Describe("a request", func() {
	It("needs a valid caller key, a well-formed body and an available model", func() {
		f := serving(1, func(s *fleet.Options) { s.Domains = 1 })
		e := f.Entries[0]
		Expect(send(http.MethodPost, e.Caller+"/v1/chat/completions", []byte(`{"model":"desk"}`), "Authorization", "").status).To(Equal(http.StatusUnauthorized))
		Expect(send(http.MethodPost, e.Caller+"/v1/chat/completions", []byte(`{"model":"desk"}`), "Authorization", "Bearer no").status).To(Equal(http.StatusUnauthorized))
		Expect(send(http.MethodPost, e.Caller+"/v1/chat/completions", []byte("{")).status).To(Equal(http.StatusBadRequest))
		Expect(send(http.MethodPost, e.Caller+"/v1/chat/completions", []byte(`{}`)).status).To(Equal(http.StatusBadRequest))
		a := send(http.MethodPost, e.Caller+"/v1/chat/completions", []byte(`{"model":"other"}`))
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Springrail-Outcome")).To(Equal("not-run"))
		Expect(send(http.MethodGet, e.Caller+"/v1/models", nil).body).To(ContainSubstring(`"id":"desk"`))
	})

	It("is never answered as complete if the upstream's answer belongs to another request or version or is truncated", func() {
		f := serving(1, func(s *fleet.Options) { s.Domains = 1 })
		e, engine := f.Entries[0], f.Agents[0].Engine
		for name, fault := range map[string]standin.EngineFaults{
			"crossed": {CrossAnswers: true}, "version": {WrongVersion: true},
		} {
			engine.SetFaults(fault)
			for _, stream := range []bool{false, true} {
				a := ask(e, stream)
				Expect(a.status).To(Equal(http.StatusBadGateway), name)
				Expect(a.header.Get("Springrail-Outcome")).To(Equal("unknown"), name)
			}
		}
		engine.SetFaults(standin.EngineFaults{CutStreams: true})
		a := ask(e, true)
		Expect(a.ended).To(BeFalse())
		Expect(a.body).To(ContainSubstring("event: error"))
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		engine.SetFaults(standin.EngineFaults{})
		Expect(ask(e, true).ended).To(BeTrue())
	})

	It("with an idempotency key runs once, however often and through whichever entry it is sent", func() {
		f := serving(1, nil)
		service(f).Service.SetFaults(standin.ServiceFaults{DelayMs: 50})
		var wait sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				a := call(f.Entries[i%2], "freeze", "k1")
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
		wait.Wait()
		Expect(statuses[http.StatusOK]).To(BeNumerically(">=", 1))
		Expect(statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]).To(Equal(8))
		again := call(f.Entries[1], "freeze", "k1")
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.body).To(ContainSubstring(`"run":1`))
		Expect(service(f).Service.Runs("k1")).To(Equal(1))
	})

	It("with an idempotency key is not run elsewhere while the platform still lists the dead VM that ran it", func() {
		f := serving(3, func(s *fleet.Options) { s.Domains = 1 })
		e := f.Entries[0]
		body := []byte(`{"model":"desk","max_tokens":2,"messages":[]}`)
		runs := func() int {
			n := 0
			for _, a := range f.Agents[:3] {
				n += len(a.Engine.Stats().Runs)
			}
			return n
		}
		first := send(http.MethodPost, e.Caller+"/v1/chat/completions", body, "Idempotency-Key", "k9")
		Expect(first.status).To(Equal(http.StatusOK))
		for _, a := range f.Agents[:3] {
			if string(a.VM) == first.header.Get("Springrail-Vm") {
				a.Kill()
			}
		}
		before := runs()
		Eventually(func() string {
			return send(http.MethodPost, e.Caller+"/v1/chat/completions", body, "Idempotency-Key", "k9").body
		}, "15s", "100ms").Should(ContainSubstring("an earlier send may have been run"))
		for range 20 {
			a := send(http.MethodPost, e.Caller+"/v1/chat/completions", body, "Idempotency-Key", "k9")
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.body).To(ContainSubstring("an earlier send may have been run"))
		}
		Expect(runs()).To(Equal(before))
		Expect(ask(e, false).status).To(Equal(http.StatusOK), "other requests are still served")
	})

	It("whose answer is lost gets an unknown outcome and is not run again", func() {
		f := serving(1, nil)
		service(f).Service.SetFaults(standin.ServiceFaults{LoseAnswers: 1})
		a := call(f.Entries[0], "freeze", "k2")
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Expect(a.header.Get("Springrail-Outcome")).To(Equal("unknown"))
		Expect(call(f.Entries[1], "freeze", "k2").status).To(Equal(http.StatusBadGateway))
		Expect(service(f).Service.Runs("k2")).To(Equal(1))
	})

	It("that cannot reach its upstream is answered as not run, and has not run", func() {
		f := serving(1, nil)
		service(f).KillEngine()
		a := call(f.Entries[0], "freeze", "k3")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Springrail-Outcome")).To(Equal("not-run"))
		Expect(service(f).Service.Runs("k3")).To(BeZero())
	})

	It("over the organisation's rate limit is refused at once with a Retry-After", func() {
		f := serving(1, func(s *fleet.Options) { s.Domains = 1 })
		Expect(f.Append(&pb.Change{
			ChangeId: "limit", Organisation: fleet.Organisation, BaseRevision: 1,
			Operation: &pb.Change_PutOrganisation{PutOrganisation: &pb.PutOrganisation{Organisation: &pb.Organisation{
				Id: fleet.Organisation, CallerKeySha256: f.KeyHash(), Limits: &pb.Limits{RequestsPerSecond: 2},
			}}},
		})).To(Succeed())
		var refused answer
		Eventually(func() int {
			refused = ask(f.Entries[0], false)
			return refused.status
		}, "5s", "1ms").Should(Equal(http.StatusTooManyRequests))
		Expect(refused.header.Get("Retry-After")).To(Equal("1"))
		Expect(refused.header.Get("Springrail-Outcome")).To(Equal("not-run"))
	})

	It("is not aborted by a planned stop of an agent, and a leaving upstream gets no new requests", func() {
		f := serving(3, func(s *fleet.Options) { s.Domains = 1 })
		stop := make(chan struct{})
		var wait sync.WaitGroup
		var mu sync.Mutex
		bad := map[string]int{}
		for range 8 {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if a := ask(f.Entries[0], true); a.status != http.StatusOK || !a.ended {
						mu.Lock()
						bad[strings.TrimSpace(a.body)]++
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		f.Agents[0].Leave()
		runs := func() int { return len(f.Agents[0].Engine.Stats().Runs) }
		after := runs()
		time.Sleep(300 * time.Millisecond)
		Expect(runs()).To(Equal(after))
		f.Agents[1].Leave()
		time.Sleep(200 * time.Millisecond)
		close(stop)
		wait.Wait()
		Expect(bad).To(BeEmpty())
		Expect(f.Agents[2].Engine.Stats().Runs).NotTo(BeEmpty())
	})

	It("is served during an outage of the platform", func() {
		f := serving(2, nil)
		f.Platform.Log.SetFaults(standin.LogFaults{Outage: true})
		f.Platform.VMs.SetOutage(true)
		for range 20 {
			Expect(ask(f.Entries[0], true).ended).To(BeTrue())
		}
		var list struct{ Data []struct{ ID string } }
		Expect(json.Unmarshal([]byte(send(http.MethodGet, f.Entries[1].Caller+"/v1/models", nil).body), &list)).To(Succeed())
		Expect(list.Data).To(HaveLen(1))
	})
})
