package losses

import (
	"errors"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Row counts the requests of one group by cause. A group is a time span, a failure domain, a route or an organisation.
type Row struct {
	// Name identifies the group. The name of a span is its start as a duration since the first request.
	Name string `json:"name"`
	// Requests is the number of requests, and Causes the number by cause. InTime is the fraction of requests that were
	// answered with the first event within the route's target time, or answered at all if the route has none.
	Requests int            `json:"requests"`
	InTime   float64        `json:"in_time"`
	Causes   map[string]int `json:"causes"`
	// Events holds, for a span, how often the processes logged each event.
	Events map[string]int `json:"beside,omitempty"`
}

func (r *Row) count(cause string) {
	r.Requests++
	r.Causes[cause]++
	r.InTime = float64(r.Causes[causeInTime]) / float64(r.Requests)
}

// Summary counts the requests of a Log by outcome, in total and by group.
type Summary struct {
	// Start is the time of the first request.
	Start time.Time     `json:"start"`
	Span  time.Duration `json:"span_ns"`
	// Causes lists all causes that occur, the most frequent first.
	Causes        []string `json:"causes"`
	All           Row      `json:"all"`
	Spans         []Row    `json:"spans"`
	Domains       []Row    `json:"domains"`
	Routes        []Row    `json:"routes"`
	Organisations []Row    `json:"organisations"`
	// Other and Dropped are the numbers of lines that hold no request: see Log.OtherLines and Log.DroppedLines.
	Other   int `json:"other_lines"`
	Dropped int `json:"dropped_lines"`
}

// group maps the name of a failure domain, route or organisation to its row.
type group map[string]*Row

func (g group) row(name string) *Row {
	r := g[name]
	if r == nil {
		r = &Row{Name: name, Causes: map[string]int{}}
		g[name] = r
	}
	return r
}

// worstFirst returns the rows ordered by the fraction of requests answered in time, the smallest first.
func (g group) worstFirst() []Row {
	l := make([]Row, 0, len(g))
	for _, r := range g {
		l = append(l, *r)
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].InTime != l[j].InTime {
			return l[i].InTime < l[j].InTime
		}
		return l[i].Name < l[j].Name
	})
	return l
}

// maxSpans is the maximum number of time spans: a day at one second each. Without this limit, a line whose clock is years
// off would exhaust the memory.
const maxSpans = 86_400

// ErrTooManySpans is returned if the logs cover more than maxSpans time spans.
var ErrTooManySpans = errors.New("the logs cover too much time for this span; take a longer one, or leave out logs of other days")

// Summarise counts the requests and events in spans of the given length. If there are no requests, the summary has no rows.
func (l *Log) Summarise(span time.Duration) (*Summary, error) {
	a := &Summary{Span: span, Other: l.OtherLines, Dropped: l.DroppedLines, All: Row{Name: "all", Causes: map[string]int{}}}
	if len(l.requests) == 0 {
		return a, nil
	}
	a.Start = l.requests[0].Time
	last := a.Start
	for i := range l.requests {
		at := l.requests[i].Time
		if at.Before(a.Start) {
			a.Start = at
		}
		if at.After(last) {
			last = at
		}
	}
	if last.Sub(a.Start)/span >= maxSpans {
		return nil, trace.Wrap(ErrTooManySpans, "from %v to %v", a.Start, last)
	}
	for i := range int(last.Sub(a.Start)/span) + 1 {
		a.Spans = append(a.Spans, Row{Name: (time.Duration(i) * span).String(), Causes: map[string]int{}, Events: map[string]int{}})
	}
	domains, routes, organisations := group{}, group{}, group{}
	for i := range l.requests {
		v := &l.requests[i]
		c := v.cause()
		a.All.count(c)
		a.Spans[v.Time.Sub(a.Start)/span].count(c)
		domains.row(v.Domain).count(c)
		routes.row(v.Route).count(c)
		organisations.row(v.Organisation).count(c)
	}
	for i := range l.events {
		v := &l.events[i]
		if !v.Time.Before(a.Start) && !v.Time.After(last) {
			a.Spans[v.Time.Sub(a.Start)/span].Events[v.eventName()]++
		}
	}
	a.Domains, a.Routes, a.Organisations = domains.worstFirst(), routes.worstFirst(), organisations.worstFirst()
	a.Causes = sortedByCount(a.All.Causes)
	return a, nil
}

// sortedByCount returns the map's keys ordered by count, the largest first, and then by name.
func sortedByCount(counts map[string]int) []string {
	l := make([]string, 0, len(counts))
	for n := range counts {
		l = append(l, n)
	}
	sort.Slice(l, func(i, j int) bool {
		if counts[l[i]] != counts[l[j]] {
			return counts[l[i]] > counts[l[j]]
		}
		return l[i] < l[j]
	})
	return l
}
