package traffic

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// megabyte is 10^6 bytes, the unit in which link speeds are given.
const megabyte = 1e6

// Text writes the account as two tables: bytes by kind and distance, and calls by reason.
func (a *Totals) Text(w io.Writer) error {
	if a.Processes == 0 {
		_, err := fmt.Fprintln(w, "no counts of traffic there; set traffic.log_every, or read the metrics address")
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d processes; MB both ways (datagrams or connections)\n\nkind", a.Processes)
	for _, d := range distanceNames {
		fmt.Fprintf(t, "\t%s", d)
	}
	fmt.Fprintln(t)
	var all [numDistances]Count
	for i := range a.Rows {
		r := &a.Rows[i]
		fmt.Fprint(t, r.Kind)
		for d, name := range distanceNames {
			n := r.ByDistance[name]
			all[d].Number += n.Number
			all[d].Sent += r.Bytes(name)
			writeCount(t, n.Number, r.Bytes(name))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "all")
	for _, n := range all {
		writeCount(t, n.Number, n.Sent)
	}
	fmt.Fprint(t, "\n\ncalls\tnumber\n")
	for _, c := range a.callsByCount() {
		fmt.Fprintf(t, "%s\t%d\n", c, a.Calls[c])
	}
	return t.Flush()
}

func writeCount(w io.Writer, number, bytes int64) {
	if number == 0 && bytes == 0 {
		fmt.Fprint(w, "\t")
		return
	}
	fmt.Fprintf(w, "\t%.2f (%d)", float64(bytes)/megabyte, number)
}
