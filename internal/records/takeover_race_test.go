//go:build race

package records

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a failure domain whose first gateways the store turns away", func() {
	// Guards against data races while others take over. The time that this takes is bounded in virtual time, which the
	// race detector does not support; here it depends on the machine.
	It("has another one read, without a data race", func() {
		d := newDomain(12, 15, configBytes, configTransfer)
		Eventually(func() int { return d.lacking("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		order, _ := Sources("d", d.gateways, "")
		d.reject(order[:5])
		time.Sleep(700 * time.Millisecond)
		config := d.writeConfig(configBytes)
		Eventually(func() int { return d.lacking(config) }).WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
	})
})
