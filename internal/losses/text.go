package losses

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the summary as tables. Each table of groups shows at most maxRows rows, those with the smallest fraction
// answered in time first.
func (a *Summary) Text(w io.Writer, maxRows int) error {
	if a.All.Requests == 0 {
		_, err := fmt.Fprintf(w, "no request in the logs; lines of other kinds: %d\n", a.Other)
		return err
	}
	fmt.Fprintf(w, "%d requests from %s on, %.1f%% in time; lines of other kinds: %d, dropped by the processes: %d\n",
		a.All.Requests, a.Start.UTC().Format(time.RFC3339), 100*a.All.InTime, a.Other, a.Dropped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t, "from", a.Spans, len(a.Spans))
	table(t, "failure domain", a.Domains, maxRows)
	table(t, "route", a.Routes, maxRows)
	table(t, "organisation", a.Organisations, maxRows)
	table(t, "all", []Row{a.All}, 1)
	return t.Flush()
}

func table(w io.Writer, heading string, l []Row, maxRows int) {
	fmt.Fprintf(w, "\n%s\trequests\tin time\tlost\tbeside\n", heading)
	for i := range l[:min(maxRows, len(l))] {
		v := &l[i]
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\n", v.Name, v.Requests, 100*v.InTime, formatCounts(v.Causes, causeInTime), formatCounts(v.Events, ""))
	}
	if len(l) > maxRows {
		fmt.Fprintf(w, "and %d more\t\t\t\t\n", len(l)-maxRows)
	}
}

// formatCounts formats the counts, the largest first, leaving out one name.
func formatCounts(counts map[string]int, without string) string {
	var of []string
	for _, n := range sortedByCount(counts) {
		if n != without {
			of = append(of, fmt.Sprintf("%s %d", n, counts[n]))
		}
	}
	return strings.Join(of, ", ")
}
