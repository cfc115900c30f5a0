//go:build !race

// The race detector of Go 1.26.8 ends the process within synctest.Test with these processes, without a report of a race.

package records

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// simPlays is how often a simulation is played: the order of simultaneous events differs between plays.
	simPlays     = 10
	simRoundTrip = time.Millisecond
	// simLimit is when a play ends at the latest.
	simLimit = 20 * time.Second
	simPoll  = 20 * time.Millisecond
)

// playRejection plays a domain in virtual time whose first gateways are refused by the store, and returns how long some
// process lacks a record that is written 0.7 s later. The prepare function is called before the processes' first requests.
func playRejection(prepare func(d *domain, order []string)) (lacking time.Duration) {
	synctest.Test(suite, func(*testing.T) {
		d := newDomainWith(12, 15, configBytes, configTransfer, simRoundTrip)
		defer d.stop()
		order, _ := Sources("d", d.gateways, "")
		prepare(d, order)
		lacking = d.timeLacking("config 0 ")
		if lacking >= simLimit {
			return
		}
		time.Sleep(2 * time.Second)
		d.reject(order[:5])
		time.Sleep(700 * time.Millisecond)
		lacking = d.timeLacking(d.writeConfig(configBytes))
	})
	return lacking
}

// timeLacking returns the time until all processes have a configuration, or simLimit.
func (d *domain) timeLacking(config string) time.Duration {
	began := time.Now()
	for d.lacking(config) > 0 && time.Since(began) < simLimit {
		time.Sleep(simPoll)
	}
	return time.Since(began)
}

var _ = Describe("a failure domain in virtual time", func() {
	// Guards against refused processes that hold up the others. The store refused a third of the VMs, and a key was
	// removed 0.7 s later. The first in the order requested the lease again and again; the others took each request for
	// a source that reads, and started their takeover delays anew. A gateway accepted the key 3.1 s after the removal
	// was acknowledged.
	It("has another one read where the store turns those away that go first", func() {
		for range simPlays {
			Expect(playRejection(func(*domain, []string) {})).To(BeNumerically("<=", 2*time.Second))
		}
	})

	// Guards against a gateway that waits for one whose turn comes last. All followers of the reader were stagers, so the
	// gateways were redirected to these, and stayed with them until the records were 3 s old.
	It("has the record read where the gateways have been redirected to stagers, and the store turns those away that go first", func() {
		for range simPlays {
			lacking := playRejection(func(d *domain, order []string) {
				for i := range maxFollowers {
					d.byName[order[0]].service.followers.admit(fmt.Sprintf("10.0.1.%d:7700", i))
				}
			})
			Expect(lacking).To(BeNumerically("<=", 2*time.Second))
		}
	})
})
