package losses

import (
	"errors"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Row is what became of the requests of one group: a span of time, a failure domain, a route or an organisation.
type Row struct {
	// Name is the group's; that of a span is its start in seconds after the first request.
	Name string `json:"name"`
	// Requests counts all, and Causes each cause; InTime is the share of them answered within their route's aim.
	Requests int            `json:"requests"`
	InTime   float64        `json:"in_time"`
	Causes   map[string]int `json:"causes"`
	// Events are the events of the processes in a span, with how many processes logged each.
	Events map[string]int `json:"beside,omitempty"`
}

func (r *Row) count(cause string) {
	r.Requests++
	r.Causes[cause]++
	r.InTime = float64(r.Causes[causeInTime]) / float64(r.Requests)
}

// Summary says what became of the requests of a log.
type Summary struct {
	// Start is the time of the first request.
	Start time.Time     `json:"start"`
	Span  time.Duration `json:"span_ns"`
	// Causes lists the causes, the most frequent first.
	Causes        []string `json:"causes"`
	All           Row      `json:"all"`
	Spans         []Row    `json:"spans"`
	Domains       []Row    `json:"domains"`
	Routes        []Row    `json:"routes"`
	Organisations []Row    `json:"organisations"`
	// Other and Dropped are lines that could not be counted: see Log.
	Other   int `json:"other_lines"`
	Dropped int `json:"dropped_lines"`
}

// group collects rows by name.
type group map[string]*Row

func (g group) row(name string) *Row {
	r := g[name]
	if r == nil {
		r = &Row{Name: name, Causes: map[string]int{}}
		g[name] = r
	}
	return r
}

// worst lists the rows, the one with the smallest share in time first.
func (g group) worst() []Row {
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

// mostSpans bounds the rows by time: a day in seconds. A line whose clock is years off would else fill the memory.
const mostSpans = 86_400

// ErrTooManySpans says that the logs cover more time than fits into the rows of a span's length.
var ErrTooManySpans = errors.New("the logs cover too much time for this span; take a longer one, or leave out logs of other days")

// Summarise makes the account in spans of a length. Without a request it has no rows.
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
	if last.Sub(a.Start)/span >= mostSpans {
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
			a.Spans[v.Time.Sub(a.Start)/span].Events[v.milestone()]++
		}
	}
	a.Domains, a.Routes, a.Organisations = domains.worst(), routes.worst(), organisations.worst()
	a.Causes = names(a.All.Causes)
	return a, nil
}

// names lists the names of counts, the largest first.
func names(counts map[string]int) []string {
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
