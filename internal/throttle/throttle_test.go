package throttle

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestThrottle(t *testing.T) {
	spec.Run(t, "Limits that upstreams name")
}

var _ = Describe("what an answer says of its upstream's limit", func() {
	DescribeTable("is read", func(text string, said LimitState, rate Rate) {
		Expect(ParseLimit(text)).To(Equal(LimitInfo{State: said, Rate: rate}))
	},
		Entry("none", "", Unlimited, Rate(0)),
		Entry("a limit", "2.1", Limited, Rate(2.1)),
		Entry("with blanks", " 2 ", Limited, Rate(2)),
		Entry("nothing at all", "0", Limited, Rate(0)),
		Entry("a huge one", "1e12", Limited, Rate(1e12)),
		Entry("a negative one", "-1", Unclear, Rate(0)),
		Entry("no number", "many", Unclear, Rate(0)),
		Entry("not a number", "NaN", Unclear, Rate(0)),
		Entry("beyond all numbers", "1e999", Unclear, Rate(0)),
		Entry("endless", "Inf", Unclear, Rate(0)),
	)
})
