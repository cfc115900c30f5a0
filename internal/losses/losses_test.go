package losses

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestLosses(t *testing.T) {
	spec.Run(t, "Losses")
}

// sample is the log of two gateways and a stager over two seconds, with a log collector's prefix before one line.
const sample = `{"time":"2026-01-01T00:00:00.100Z","vm":"g1","domain":"a","request":"1","outcome":"answered","why":"stream","route":"r","organisation":"o","route_aim_ms":300,"first_ms":120,"message":"request"}
 7.1 g2 {"time":"2026-01-01T00:00:00.300Z","vm":"g2","domain":"b","request":"2","outcome":"answered","why":"stream","route":"r","organisation":"p","route_aim_ms":300,"first_ms":420,"message":"request"}
{"time":"2026-01-01T00:00:01.200Z","vm":"g2","domain":"b","request":"3","outcome":"Service Unavailable","why":"no upstream","route":"r","organisation":"p","route_aim_ms":300,"left_out":{"over":3,"closed":1},"message":"request"}
{"time":"2026-01-01T00:00:01.300Z","vm":"s1","domain":"b","version":"m@2","message":"load ordered"}
{"time":"2026-01-01T00:00:01.900Z","vm":"g2","domain":"b","request":"4","outcome":"caller left","why":"x","route":"q","organisation":"p","message":"request"}
{"level":"warn","lines":17,"message":"log lines dropped here"}
panic: not a line of the log
{"time":"broken
`

func read(text string) *Log {
	l := &Log{}
	Expect(l.Read(strings.NewReader(text))).To(Succeed())
	return l
}

// summarise returns the summary of a log's text in spans of one second.
func summarise(text string) *Summary {
	a, err := read(text).Summarise(time.Second)
	Expect(err).NotTo(HaveOccurred())
	return a
}

var _ = Describe("the summary of a log", func() {
	It("counts the outcomes of requests by span, failure domain, route and organisation", func() {
		a := summarise(sample)
		Expect(a.All.Requests).To(Equal(4))
		Expect(a.All.InTime).To(Equal(0.25))
		Expect(a.All.Causes).To(Equal(map[string]int{"in time": 1, "late": 1, "no upstream: over": 1, "caller left": 1}))
		Expect(a.Spans).To(HaveLen(2))
		Expect(a.Spans[0].Causes).To(Equal(map[string]int{"in time": 1, "late": 1}))
		Expect(a.Spans[1].Events).To(Equal(map[string]int{"loading m@2": 1}))
		Expect(a.Domains[0].Name).To(Equal("b"))
		Expect(a.Domains[0].Requests).To(Equal(3))
		Expect(a.Organisations).To(HaveLen(2))
		Expect(a.Routes).To(HaveLen(2))
	})

	It("skips and counts lines that are not log lines", func() {
		a := summarise(sample)
		Expect(a.Other).To(Equal(2))
		Expect(a.Dropped).To(Equal(17))
	})

	It("reports that there are no requests instead of printing empty tables", func() {
		var b bytes.Buffer
		a := summarise("nothing\n")
		Expect(a.Text(&b, 3)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("no request in the logs"))
		Expect(a.Plot(filepath.Join(GinkgoT().TempDir(), "p.svg"))).NotTo(Succeed())
	})

	It("reports a log that can't be read to its end", func() {
		broken := errors.New("broken")
		Expect((&Log{}).Read(iotest.ErrReader(broken))).To(MatchError(broken))
	})

	It("writes each table with the worst group first and the number of rows not shown", func() {
		var b bytes.Buffer
		Expect(summarise(sample).Text(&b, 1)).To(Succeed())
		Expect(b.String()).To(MatchRegexp(`1s +2 +0.0% +caller left 1, no upstream: over 1 +loading m@2 1`))
		Expect(b.String()).To(ContainSubstring("and 1 more"))
	})

	It("rejects logs whose times are years apart, which would exhaust the memory", func() {
		_, err := read(sample + strings.ReplaceAll(sample, "2026", "1970")).Summarise(time.Second)
		Expect(err).To(MatchError(ErrTooManySpans))
	})

	It("draws a plot", func() {
		file := filepath.Join(GinkgoT().TempDir(), "p.svg")
		Expect(summarise(sample).Plot(file)).To(Succeed())
		b, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(ContainSubstring("no upstream: over"))
	})
})
