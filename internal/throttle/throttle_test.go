package throttle

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestThrottle(t *testing.T) {
	spec.Run(t, "Throttle")
}

var _ = Describe("the limit value of a response", func() {
	DescribeTable("is parsed", func(text string, state LimitState, rate Rate) {
		Expect(ParseLimit(text)).To(Equal(LimitInfo{State: state, Rate: rate}))
	},
		Entry("no limit", "", Unlimited, Rate(0)),
		Entry("a limit", "2.1", Limited, Rate(2.1)),
		Entry("with blanks", " 2 ", Limited, Rate(2)),
		Entry("a limit of 0", "0", Limited, Rate(0)),
		Entry("a huge one", "1e12", Limited, Rate(1e12)),
		Entry("a negative one", "-1", Unclear, Rate(0)),
		Entry("text", "many", Unclear, Rate(0)),
		Entry("not a number", "NaN", Unclear, Rate(0)),
		Entry("out of range", "1e999", Unclear, Rate(0)),
		Entry("infinite", "Inf", Unclear, Rate(0)),
	)
})
