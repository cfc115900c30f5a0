// Package losses reads the structured logs of gateways and stagers and reports which requests were lost, when and why.
// It counts requests by cause per time span, failure domain, route and organisation, and lists version swaps,
// restarts and store outages in the same time span.
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

// maxLineBytes is the maximum length of a log line; the processes' own lines are shorter than 2 KB.
const maxLineBytes = 1 << 20

// line holds the decoded fields of a log line. Fields that a line lacks are zero.
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

// Log holds the request and event lines read from the logs of any number of processes.
type Log struct {
	requests []line
	events   []line
	// OtherLines counts input lines that are not log lines of the processes. DroppedLines counts the log lines that
	// the processes reported as dropped.
	OtherLines, DroppedLines int
}

// Read adds the log lines of one or more processes. A line may have a prefix before its first brace, such as the
// timestamp of a log collector. Lines that are not log lines are counted and skipped. An error means that reading r failed.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
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
	case eventNames[v.Message] != "" && !v.Time.IsZero():
		l.events = append(l.events, v)
	}
}

// eventNames maps the message of each log line that counts as an event to the event's short name.
var eventNames = map[string]string{
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

// eventName returns the name under which the tables list an event. It includes the version or revision, and whether an
// upstream is up or down.
func (v *line) eventName() string {
	name := eventNames[v.Message]
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

// The causes of requests that were neither refused nor failed.
const (
	causeInTime = "in time"
	causeLate   = "late"
	causeLeft   = "caller left"
)

// cause classifies the outcome of a request. If no upstream was available, it includes the reason that excluded the most
// upstreams.
func (v *line) cause() string {
	switch {
	case v.Outcome == "answered" && v.RouteAimMs > 0 && v.FirstMs > v.RouteAimMs:
		return causeLate
	case v.Outcome == "answered":
		return causeInTime
	case v.Outcome == causeLeft:
		return causeLeft
	case v.Why == "no upstream" && len(v.LeftOut) > 0:
		return v.Why + ": " + v.mainLeftOutReason()
	case v.Why == "":
		return v.Outcome
	default:
		return v.Why
	}
}

// mainLeftOutReason returns the reason that excluded the most upstreams. Ties go to the first reason in alphabetical order.
func (v *line) mainLeftOutReason() string {
	best := ""
	for name, n := range v.LeftOut {
		if best == "" || n > v.LeftOut[best] || (n == v.LeftOut[best] && name < best) {
			best = name
		}
	}
	return best
}
