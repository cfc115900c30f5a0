package losses

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the account as tables. Of the groups at most a number of rows are shown, the worst first.
func (a *Summary) Text(w io.Writer, most int) error {
	if a.All.Requests == 0 {
		_, err := fmt.Fprintf(w, "no request in the logs; lines of other kinds: %d\n", a.Other)
		return err
	}
	fmt.Fprintf(w, "%d requests from %s on, %.1f%% in time; lines of other kinds: %d, dropped by the processes: %d\n",
		a.All.Requests, a.Start.UTC().Format(time.RFC3339), 100*a.All.InTime, a.Other, a.Dropped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t, "from", a.Spans, len(a.Spans))
	table(t, "failure domain", a.Domains, most)
	table(t, "route", a.Routes, most)
	table(t, "organisation", a.Organisations, most)
	table(t, "all", []Row{a.All}, 1)
	return t.Flush()
}

func table(w io.Writer, head string, l []Row, most int) {
	fmt.Fprintf(w, "\n%s\trequests\tin time\tlost\tbeside\n", head)
	for i := range l[:min(most, len(l))] {
		v := &l[i]
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\n", v.Name, v.Requests, 100*v.InTime, list(v.Causes, causeInTime), list(v.Events, ""))
	}
	if len(l) > most {
		fmt.Fprintf(w, "and %d more\t\t\t\t\n", len(l)-most)
	}
}

// list writes counts but for one of them, the largest first.
func list(counts map[string]int, without string) string {
	var of []string
	for _, n := range names(counts) {
		if n != without {
			of = append(of, fmt.Sprintf("%s %d", n, counts[n]))
		}
	}
	return strings.Join(of, ", ")
}
