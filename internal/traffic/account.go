package traffic

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"
)

// mostText bounds a log line or a metrics document in bytes; those of the processes stay below 64 KB.
const mostText = 1 << 20

// Totals adds up what processes have counted, from their logs or metrics.
type Totals struct {
	// Processes counts those that were read, restarts as further ones.
	Processes int              `json:"processes"`
	Rows      []Row            `json:"rows"`
	Calls     map[string]int64 `json:"calls"`
	// newest is the last snapshot of each process, by its life.
	newest map[string]Snapshot
}

// Row is a kind of traffic.
type Row struct {
	Kind       string           `json:"kind"`
	ByDistance map[string]Count `json:"by"`
}

// Bytes are what went both ways at a distance.
func (r *Row) Bytes(distance string) int64 {
	return r.ByDistance[distance].Sent + r.ByDistance[distance].Received
}

// text is what is read of a log line, or of a metrics document.
type text struct {
	Message    string    `json:"message"`
	Traffic    *Snapshot `json:"traffic"`
	Springrail struct {
		Traffic *Snapshot `json:"traffic"`
	} `json:"springrail"`
}

// Read adds the logs of any number of processes, or the metrics of one. A log line may have a prefix before its first
// brace. What has no counts is passed over.
func (a *Totals) Read(r io.Reader) error {
	b := bufio.NewReader(r)
	if head, err := b.Peek(2); err == nil && head[0] == '{' && head[1] == '\n' {
		return a.readMetrics(b)
	}
	s := bufio.NewScanner(b)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), mostText)
	for s.Scan() {
		l := s.Bytes()
		at := bytes.IndexByte(l, '{')
		if at < 0 || !bytes.Contains(l, []byte(`"`+SnapshotKey+`"`)) {
			continue
		}
		var t text
		if json.Unmarshal(l[at:], &t) == nil && t.Message == LogMessage && t.Traffic != nil {
			a.add(*t.Traffic)
		}
	}
	return trace.Wrap(s.Err())
}

// readMetrics adds a document as the metrics address serves it.
func (a *Totals) readMetrics(r io.Reader) error {
	var t text
	if err := json.NewDecoder(io.LimitReader(r, mostText)).Decode(&t); err != nil {
		return trace.Wrap(err)
	}
	if t.Springrail.Traffic == nil {
		return trace.BadParameter("the metrics have no %q", SnapshotKey)
	}
	a.add(*t.Springrail.Traffic)
	return nil
}

// add keeps the newest snapshot of each process.
func (a *Totals) add(s Snapshot) {
	if a.newest == nil {
		a.newest = map[string]Snapshot{}
	}
	if old, known := a.newest[s.Incarnation]; !known || old.UptimeMs <= s.UptimeMs {
		a.newest[s.Incarnation] = s
	}
}

// Sum adds all processes up. Rows are in the order of the kinds.
func (a *Totals) Sum() {
	a.Processes, a.Rows, a.Calls = len(a.newest), nil, map[string]int64{}
	by := map[string]map[string]Count{}
	for _, s := range a.newest {
		for k, counts := range s.Kinds {
			if by[k] == nil {
				by[k] = map[string]Count{}
			}
			for d, n := range counts {
				v := by[k][d]
				by[k][d] = Count{Number: v.Number + n.Number, Sent: v.Sent + n.Sent, Received: v.Received + n.Received}
			}
		}
		for c, n := range s.Calls {
			a.Calls[c] += n
		}
	}
	for _, k := range kindNames {
		if by[k] != nil {
			a.Rows = append(a.Rows, Row{Kind: k, ByDistance: by[k]})
		}
	}
}

// calls lists the reasons of calls, the most frequent first.
func (a *Totals) calls() []string {
	var l []string
	for c := range a.Calls {
		l = append(l, c)
	}
	slices.SortFunc(l, func(x, y string) int {
		if a.Calls[x] != a.Calls[y] {
			return int(a.Calls[y] - a.Calls[x])
		}
		return bytes.Compare([]byte(x), []byte(y))
	})
	return l
}
