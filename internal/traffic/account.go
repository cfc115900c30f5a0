package traffic

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"
)

// maxTextBytes is the maximum size of a log line or a metrics document; the processes' own are smaller than 64 KB.
const maxTextBytes = 1 << 20

// Totals sums the traffic counts of several processes, read from their logs or metrics.
type Totals struct {
	// Processes is the number of process lifetimes that were read; a restart counts as a further one.
	Processes int              `json:"processes"`
	Rows      []Row            `json:"rows"`
	Calls     map[string]int64 `json:"calls"`
	// newest holds the latest snapshot of each process lifetime, by the snapshot's Incarnation.
	newest map[string]Snapshot
}

// Row holds the counts of one kind of traffic by distance.
type Row struct {
	Kind       string           `json:"kind"`
	ByDistance map[string]Count `json:"by"`
}

// Bytes returns the bytes sent and received at a distance.
func (r *Row) Bytes(distance string) int64 {
	return r.ByDistance[distance].Sent + r.ByDistance[distance].Received
}

// document holds the decoded fields of a log line or a metrics document.
type document struct {
	Message    string    `json:"message"`
	Traffic    *Snapshot `json:"traffic"`
	Springrail struct {
		Traffic *Snapshot `json:"traffic"`
	} `json:"springrail"`
}

// Read adds the snapshots in the logs of any number of processes, or in the metrics document of one process. A log line
// may have a prefix before its first brace. Log lines without a snapshot are skipped.
func (a *Totals) Read(r io.Reader) error {
	b := bufio.NewReader(r)
	if head, err := b.Peek(2); err == nil && head[0] == '{' && head[1] == '\n' {
		return a.readMetrics(b)
	}
	s := bufio.NewScanner(b)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxTextBytes)
	for s.Scan() {
		l := s.Bytes()
		at := bytes.IndexByte(l, '{')
		if at < 0 || !bytes.Contains(l, []byte(`"`+SnapshotKey+`"`)) {
			continue
		}
		var t document
		if json.Unmarshal(l[at:], &t) == nil && t.Message == LogMessage && t.Traffic != nil {
			a.add(*t.Traffic)
		}
	}
	return trace.Wrap(s.Err())
}

// readMetrics adds the snapshot of a metrics document in the format that /debug/vars serves.
func (a *Totals) readMetrics(r io.Reader) error {
	var t document
	if err := json.NewDecoder(io.LimitReader(r, maxTextBytes)).Decode(&t); err != nil {
		return trace.Wrap(err)
	}
	if t.Springrail.Traffic == nil {
		return trace.BadParameter("the metrics have no %q", SnapshotKey)
	}
	a.add(*t.Springrail.Traffic)
	return nil
}

// add records a snapshot unless a newer one of the same process lifetime is already known.
func (a *Totals) add(s Snapshot) {
	if a.newest == nil {
		a.newest = map[string]Snapshot{}
	}
	if old, known := a.newest[s.Incarnation]; !known || old.UptimeMs <= s.UptimeMs {
		a.newest[s.Incarnation] = s
	}
}

// Sum computes the exported fields as totals over the latest snapshots. Rows are in the order of the Kind constants.
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

// callsByCount returns the keys of Calls, the most frequent first.
func (a *Totals) callsByCount() []string {
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
