package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/transfer"
)

var _ = Describe("a swap", func() {
	k := modelKey{organisation: "gym", model: "desk"}

	It("orders the load also if a request on the old version outlasts its wait", func() {
		var waited time.Duration
		var orderErr error
		synctest.Test(suite, func(*testing.T) {
			l := NewLiveVersions()
			l.Announce(k, "v1", "r1")
			_, _, ok := l.Acquire(k, "r1")
			if !ok {
				return
			}
			r := &pb.Rollout{Id: "r2", Organisation: "gym", Fence: 2, Version: &pb.Version{Model: "desk", Name: "v2"}}
			a := NewActivator(l, &log.Logger{Level: log.PanicLevel}, kernel.NewEventRing(kernel.NewClock(time.Now), 64))
			a.engineState = func(context.Context) (engine.State, error) { return engine.State{}, nil }
			a.config = config.NewState
			a.report = func(func(s *pb.VMStatus)) {}
			a.replicas = func() []transfer.Replica { return []transfer.Replica{{Rollout: r, Complete: true}} }
			began := time.Now()
			a.load = func(ctx context.Context, _ engine.Order) error {
				waited, orderErr = time.Since(began), ctx.Err()
				return orderErr
			}
			a.HandleTurn(context.Background(), permitResult{rollout: id.Rollout("r2"), granted: true})
		})
		Expect(waited).To(Equal(swapDrainTimeout))
		Expect(orderErr).NotTo(HaveOccurred())
	})

	It("is not begun with a permit that expired while the engine's state was read", func() {
		for _, expired := range []bool{false, true} {
			ordered := false
			synctest.Test(suite, func(*testing.T) {
				r := &pb.Rollout{Id: "r2", Organisation: "gym", Fence: 2, Version: &pb.Version{Model: "desk", Name: "v2"}}
				a := NewActivator(NewLiveVersions(), &log.Logger{Level: log.PanicLevel}, kernel.NewEventRing(kernel.NewClock(time.Now), 64))
				t := permitResult{rollout: "r2", granted: true, validUntil: time.Now().Add(2 * time.Second)}
				a.engineState = func(context.Context) (engine.State, error) {
					if expired {
						time.Sleep(2 * time.Second)
					}
					return engine.State{}, nil
				}
				a.config = config.NewState
				a.report = func(func(s *pb.VMStatus)) {}
				a.replicas = func() []transfer.Replica { return []transfer.Replica{{Rollout: r, Complete: true}} }
				a.load = func(context.Context, engine.Order) error { ordered = true; return nil }
				a.HandleTurn(context.Background(), t)
			})
			Expect(ordered).To(Equal(!expired))
		}
	})
})
