package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// refusalLine holds the evaluated fields of a refused request's log line.
type refusalLine struct {
	Why         string         `json:"why"`
	LeftOut     map[string]int `json:"left_out"`
	Nearest     string         `json:"nearest"`
	WaitMs      int64          `json:"wait_ms"`
	AimMs       int64          `json:"aim_ms"`
	ReportAgeMs *int64         `json:"report_age_ms"`
	RetryMs     int64          `json:"retry_ms"`
}

var _ = Describe("the log line of a refused request", func() {
	var b *testbed
	var logOutput bytes.Buffer
	loggedLine := func() refusalLine {
		var l refusalLine
		Expect(json.Unmarshal(logOutput.Bytes(), &l)).To(Succeed())
		return l
	}
	ask := func() {
		q, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h.example"
		q.Header.Set(xModel, "m")
		a, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	addInstance := func(name string, f func(i *facts.Instance)) {
		i := &facts.Instance{ID: id.Instance(name), Pool: "engines", Address: name, Domain: "d", Slots: 4, Held: []facts.Held{{Model: "m", Revision: 1}}}
		f(i)
		b.facts.SetInstance(i)
	}

	BeforeEach(func() {
		logOutput.Reset()
		b = newTestbed(route(catalog.Streaming, "engines"))
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &logOutput}}
	})

	It("counts the reasons why upstreams were excluded", func() {
		for n, f := range map[string]func(i *facts.Instance){
			"a": func(i *facts.Instance) { i.Leaving = true },
			"b": func(i *facts.Instance) { i.Held = nil },
			"c": func(*facts.Instance) {},
			"d": func(*facts.Instance) {},
		} {
			addInstance(n, f)
		}
		b.tracker.SetReport("c", placement.LoadReport{Closed: true, ReceivedAt: time.Now()})
		b.tracker.SetReport("d", placement.LoadReport{Down: true, ReceivedAt: time.Now()})
		ask()
		l := loggedLine()
		Expect(l.Why).To(Equal("no upstream"))
		Expect(l.LeftOut).To(Equal(map[string]int{"leaving": 1, "empty": 1, "closed": 1, "down": 1}))
		Expect(l.Nearest).To(BeEmpty())
		Expect(l.RetryMs).To(BeNumerically(">", 0))
	})

	It("names the upstream with the shortest wait, that wait, the latency objective and the age of its report", func() {
		addInstance("a", func(*facts.Instance) {})
		b.tracker.SetReport("a", placement.LoadReport{
			Running: 4, Waiting: 400, ReceivedAt: time.Now(), Held: []facts.Held{{Model: "m", Revision: 1}},
		})
		ask()
		l := loggedLine()
		Expect(l.Why).To(Equal("too busy"))
		Expect(l.Nearest).To(Equal("a"))
		Expect(l.AimMs).To(Equal(int64(1000)))
		Expect(l.WaitMs).To(BeNumerically(">", l.AimMs))
		Expect(l.ReportAgeMs).NotTo(BeNil())
		Expect(l.RetryMs).To(BeNumerically(">", 0))
	})
})
