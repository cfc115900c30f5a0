package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("springrail-measure decide", func() {
	const scenario = "../../examples/decide/crashes.toml"

	It("prints a table of variants and plots their worth by second", func() {
		var out, problems bytes.Buffer
		plot := filepath.Join(GinkgoT().TempDir(), "p.svg")
		code := Main([]string{"decide", "--scenario", scenario, "--way", "no-layout", "--seeds", "2", "--plot", plot}, &out, &problems)
		Expect(code).To(BeZero(), problems.String())
		Expect(out.String()).To(ContainSubstring("crashes, 2 seeds"))
		Expect(out.String()).To(MatchRegexp(`standing +0\.\d{3} +\+0\.0000 +0\.0000`))
		Expect(out.String()).To(MatchRegexp(`no-layout +0\.\d{3} +[+-]0\.\d{4}`))
		b, err := os.ReadFile(plot)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(ContainSubstring("no-layout"))
	})

	It("prints the same JSON for the same seeds", func() {
		play := func() string {
			var out, problems bytes.Buffer
			args := []string{"decide", "--scenario", scenario, "--way", "standing", "--way", "retry-third", "--seeds", "2", "--seed", "5", "--json"}
			Expect(Main(args, &out, &problems)).To(BeZero(), problems.String())
			return out.String()
		}
		first := play()
		Expect(play()).To(Equal(first))
		var all decideRuns
		Expect(json.Unmarshal([]byte(first), &all)).To(Succeed())
		Expect(all.Runs).To(HaveLen(1))
		Expect(all.Runs[0].Differences).To(HaveLen(2))
		Expect(all.Runs[0].Results[1][1].Seed).To(BeEquivalentTo(6))
	})

	DescribeTable("reports invalid arguments", func(want string, args ...string) {
		var out, problems bytes.Buffer
		Expect(Main(append([]string{"decide"}, args...), &out, &problems)).NotTo(BeZero())
		Expect(problems.String()).To(ContainSubstring(want))
	},
		Entry("without a scenario", "scenario"),
		Entry("with an unknown variant", "must be one of standing,", "--scenario", scenario, "--way", "none"),
		Entry("with a missing file", "no such file", "--scenario", "none.toml"),
	)
})
