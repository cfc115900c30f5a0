// Package losses reads the structured logs of gateways and stagers and says which requests were lost, when and why:
// by second and cause, by failure domain, route and organisation, with the swaps and restarts beside them.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// mostLine bounds a log line in bytes; those of the processes stay below 2 KB.
const mostLine = 1 << 20

// line is what is read of one log line. Fields that a line lacks stay zero.
type line struct {
	Time         time.Time      `json:"time"`
	Message      string         `json:"message"`
	VM           string         `json:"vm"`
	Domain       string         `json:"domain"`
	Request      string         `json:"request"`
	Outcome      string         `json:"outcome"`
	Why          string         `json:"why"`
	Route        string         `json:"route"`
	Organisation string         `json:"organisation"`
	FirstMs      int64          `json:"first_ms"`
	RouteAimMs   int64          `json:"route_aim_ms"`
	LeftOut      map[string]int `json:"left_out"`
	Version      string         `json:"version"`
	Revision     uint64         `json:"revision"`
	Down         bool           `json:"down"`
	Lines        int            `json:"lines"`
}

// Log collects the lines of any number of processes.
type Log struct {
	requests []line
	events   []line
	// OtherLines counts lines that are no log lines of the processes, and DroppedLines those that the processes say they dropped.
	OtherLines, DroppedLines int
}

// Read adds the lines of a process, or of several. A line may have a prefix before its first brace, such as a
// collector's stamp. Lines that are no log lines are counted and passed over; an error says that r could not be read.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), mostLine)
	for s.Scan() {
		l.add(s.Bytes())
	}
	return trace.Wrap(s.Err())
}

func (l *Log) add(b []byte) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		l.OtherLines++
		return
	}
	var v line
	if err := json.Unmarshal(b[at:], &v); err != nil || v.Message == "" {
		l.OtherLines++
		return
	}
	l.DroppedLines += v.Lines
	switch {
	case v.Message == "request" && !v.Time.IsZero():
		l.requests = append(l.requests, v)
	case milestones[v.Message] != "" && !v.Time.IsZero():
		l.events = append(l.events, v)
	}
}

// milestones names the lines that stand beside the losses, with their short form.
var milestones = map[string]string{
	"started":                          "started",
	"leaving":                          "leaving",
	"weights named":                    "named",
	"all chunks staged":                "staged",
	"load ordered":                     "loading",
	"version served":                   "served",
	"superseded by a newer version":    "superseded",
	"the upstream beside this process": "upstream",
	"the store is lost":                "store lost",
	"the store is back":                "store back",
}

// milestone is an event as the table shows it: of the versions with their number, of an upstream whether it is down.
func (v *line) milestone() string {
	name := milestones[v.Message]
	switch {
	case name == "upstream" && v.Down:
		return "upstream down"
	case name == "upstream":
		return "upstream up"
	case name == "named":
		return fmt.Sprintf("named %d", v.Revision)
	case v.Version != "":
		return name + " " + v.Version
	default:
		return name
	}
}

// The causes that are no refusal or failure.
const (
	causeInTime = "in time"
	causeLate   = "late"
	causeLeft   = "caller left"
)

// cause says what became of a request. A refusal for want of an upstream names what kept most of them away.
func (v *line) cause() string {
	switch {
	case v.Outcome == "answered" && v.RouteAimMs > 0 && v.FirstMs > v.RouteAimMs:
		return causeLate
	case v.Outcome == "answered":
		return causeInTime
	case v.Outcome == causeLeft:
		return causeLeft
	case v.Why == "no upstream" && len(v.LeftOut) > 0:
		return v.Why + ": " + v.mostLeftOut()
	case v.Why == "":
		return v.Outcome
	default:
		return v.Why
	}
}

// mostLeftOut is the reason that most upstreams were left out for; of equals the first by name.
func (v *line) mostLeftOut() string {
	best := ""
	for name, n := range v.LeftOut {
		if best == "" || n > v.LeftOut[best] || (n == v.LeftOut[best] && name < best) {
			best = name
		}
	}
	return best
}
