package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/transfer"
)

// configRow is the result of one configuration experiment: the propagation of changes, or the recovery of a fresh
// process.
type configRow struct {
	// Parts is the number of agents, and Records the number of records in the log.
	Parts                    int     `json:"parts"`
	Entries                  int     `json:"entries"`
	Records                  int     `json:"records"`
	InForceP50Seconds        float64 `json:"in_force_p50_seconds"`
	InForceP95Seconds        float64 `json:"in_force_p95_seconds"`
	InForceMaxSeconds        float64 `json:"in_force_max_seconds"`
	IdleBytesPerSecond       float64 `json:"idle_bytes_per_second"`
	IdleCPUShare             float64 `json:"idle_cpu_share"`
	BytesPerChange           float64 `json:"bytes_per_change"`
	CPUMsPerChange           float64 `json:"cpu_ms_per_change"`
	RecoverySeconds          float64 `json:"recovery_seconds"`
	Source                   string  `json:"source"`
	ChangesInForceEverywhere int     `json:"changes_in_force_everywhere"`
}

type configRuns struct {
	Runs []*configRow `json:"runs"`
}

// configFlags holds the flags of the command config.
type configFlags struct {
	parts   []int
	entries int
	changes int
	idle    time.Duration
	delay   time.Duration
	records []int
	json    bool
}

func configCommand(c *kingpin.CmdClause) func(ctx context.Context, w io.Writer) error {
	f := &configFlags{}
	c.Flag("parts", "Number of agents; may be given again.").Default("100", "200", "300").IntsVar(&f.parts)
	c.Flag("entries", "Number of entries, one a failure domain.").Default("4").IntVar(&f.entries)
	c.Flag("changes", "Number of changes.").Default("20").IntVar(&f.changes)
	c.Flag("idle", "How long the idle fleet is watched.").Default("5s").DurationVar(&f.idle)
	c.Flag("log-delay", "Added to each call of the log.").Default("50ms").DurationVar(&f.delay)
	c.Flag("records", "Records that a fresh process recovers from; may be given again.").Default("1", "1000", "10000").IntsVar(&f.records)
	c.Flag("json", "Print JSON.").BoolVar(&f.json)
	return f.run
}

func (f *configFlags) run(ctx context.Context, w io.Writer) error {
	var rows []*configRow
	for _, n := range f.parts {
		r, err := f.measureFleet(ctx, n)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	for _, n := range f.records {
		for _, source := range []string{"log", "snapshot", "peers"} {
			r, err := recoverFrom(ctx, n, source)
			if err != nil {
				return err
			}
			rows = append(rows, r)
		}
	}
	if f.json {
		return json.NewEncoder(w).Encode(configRuns{Runs: rows})
	}
	printConfig(w, rows)
	return nil
}

func printConfig(w io.Writer, rows []*configRow) {
	t := tabwriter.NewWriter(w, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "parts\trecords\tsource\tp50 s\tp95 s\tmax s\tidle B/s\tidle CPU\tB/change\tCPU ms/change\trecovery s\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.5f\t%.0f\t%.2f\t%.4f\t\n", r.Parts, r.Records, r.Source,
			r.InForceP50Seconds, r.InForceP95Seconds, r.InForceMaxSeconds, r.IdleBytesPerSecond, r.IdleCPUShare,
			r.BytesPerChange, r.CPUMsPerChange, r.RecoverySeconds)
	}
	_ = t.Flush()
}

// measureFleet measures how long changes take to reach all agents of a fleet, and what the fleet costs while idle.
// Bytes and CPU time are per agent; CPU time includes that of the entries and the simulated platform, which run in
// this process.
func (f *configFlags) measureFleet(ctx context.Context, parts int) (*configRow, error) {
	const fast = 1 << 30
	l, err := fleet.New(ctx, fleet.Options{
		VMs: parts, Domains: f.entries, LinkBytesPerSecond: fast, OriginLinks: 1, Swarm: transfer.NewSettings(),
	})
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if err := l.WaitReady(ctx); err != nil {
		return nil, err
	}
	l.Platform.Log.SetFaults(standin.LogFaults{DelayMs: int(f.delay.Milliseconds())})
	row := &configRow{Parts: parts, Entries: f.entries, Source: "log"}
	bytes, cpu := linkBytes(l), cpuTime()
	time.Sleep(f.idle)
	row.IdleBytesPerSecond = float64(linkBytes(l)-bytes) / float64(parts) / f.idle.Seconds()
	row.IdleCPUShare = (cpuTime() - cpu).Seconds() / f.idle.Seconds() / float64(parts)
	bytes, cpu = linkBytes(l), cpuTime()
	started := time.Now()
	var times []float64
	for i := range f.changes {
		got, err := f.timeChange(ctx, l, i)
		if err != nil {
			return nil, err
		}
		times = append(times, got...)
		row.ChangesInForceEverywhere++
	}
	elapsed := time.Since(started).Seconds()
	perAgent := float64(parts) * float64(f.changes)
	row.BytesPerChange = (float64(linkBytes(l)-bytes) - row.IdleBytesPerSecond*elapsed*float64(parts)) / perAgent
	row.CPUMsPerChange = 1000 * ((cpuTime() - cpu).Seconds() - row.IdleCPUShare*elapsed*float64(parts)) / perAgent
	slices.Sort(times)
	row.InForceP50Seconds, row.InForceP95Seconds = times[len(times)/2], times[len(times)*95/100]
	row.InForceMaxSeconds = times[len(times)-1]
	return row, nil
}

func linkBytes(l *fleet.Fleet) int64 {
	var n int64
	for _, a := range l.Agents {
		n += a.Link.Bytes.Load()
	}
	return n
}

// timeChange appends one change to the log and returns the seconds until each agent has applied it.
func (f *configFlags) timeChange(ctx context.Context, l *fleet.Fleet, i int) ([]float64, error) {
	target := l.Agents[0].Follower.State().Offset() + 1
	started := time.Now()
	if err := l.Append(organisationChange(i)); err != nil {
		return nil, err
	}
	seconds := make(chan float64, len(l.Agents))
	for _, a := range l.Agents {
		go func() {
			for ctx.Err() == nil {
				changed := a.Follower.Changed()
				if a.Follower.State().Offset() >= target {
					break
				}
				select {
				case <-ctx.Done():
				case <-changed:
				}
			}
			seconds <- time.Since(started).Seconds()
		}()
	}
	var times []float64
	for range l.Agents {
		times = append(times, <-seconds)
	}
	return times, ctx.Err()
}

func organisationChange(i int) *pb.Change {
	name := fmt.Sprintf("organisation-%d", i)
	return &pb.Change{ChangeId: name, Organisation: name, Operation: &pb.Change_PutOrganisation{
		PutOrganisation: &pb.PutOrganisation{Organisation: &pb.Organisation{Id: name}},
	}}
}

// recoverFrom measures how long a fresh process takes to load the configuration from a number of records, a tenth of
// which create organisations while the others update them.
func recoverFrom(ctx context.Context, records int, source string) (*configRow, error) {
	l, err := fleet.New(ctx, fleet.Options{VMs: 1, Domains: 1, LinkBytesPerSecond: 1 << 30, OriginLinks: 1, Swarm: transfer.NewSettings()})
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if err := l.WaitReady(ctx); err != nil {
		return nil, err
	}
	revisions := map[int]uint64{}
	for i := range records {
		n := i % max(1, records/10)
		c := organisationChange(n)
		c.ChangeId, c.BaseRevision = fmt.Sprint(i), revisions[n]
		revisions[n] = uint64(i) + 1
		if err := l.Append(c); err != nil {
			return nil, err
		}
	}
	follower := l.Agents[0].Follower
	for follower.State().Offset() < id.Offset(records) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-follower.Changed():
		}
	}
	row := &configRow{Parts: 1, Entries: 1, Records: records, Source: source}
	started := time.Now()
	if source == "peers" {
		err = recoverFromPeer(ctx, l, records)
	} else {
		err = recoverFromLog(ctx, l, follower.State().Snapshot(), records, source == "snapshot")
	}
	row.RecoverySeconds = time.Since(started).Seconds()
	return row, err
}

// recoverFromPeer loads the configuration from an entry process.
func recoverFromPeer(ctx context.Context, l *fleet.Fleet, records int) error {
	s := configlog.NewStore(func(kernel.Time) {})
	a, err := l.Config(0).Sync(ctx, &pb.SyncRequest{})
	if err != nil {
		return err
	}
	if a.GetState() != nil {
		s.RestoreSnapshot(a.GetState())
	}
	if _, err := s.Apply(a.GetRecords()); err != nil {
		return err
	}
	return checkOffset(s, records)
}

// recoverFromLog loads the configuration from the log; with snapshot, from a snapshot in the log before which all
// records have expired.
func recoverFromLog(ctx context.Context, l *fleet.Fleet, state *pb.State, records int, snapshot bool) error {
	address := l.PlatformURL
	if snapshot {
		data, err := proto.Marshal(&pb.Record{Body: &pb.Record_Snapshot{Snapshot: state}})
		if err != nil {
			return err
		}
		l.Platform.Log.Append(data)
		l.Platform.Log.Expire(1)
		records++
	}
	p := platform.New(&platform.Settings{Log: address}, &http.Client{})
	s := configlog.NewStore(func(kernel.Time) {})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	t := configlog.NewTail(s, &log.Logger{Level: log.ErrorLevel}, p.Read, func(context.Context) error { return platform.ErrUnavailable })
	go t.Run(ctx)
	for !s.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Changed():
		case <-time.After(time.Second):
		}
	}
	return checkOffset(s, records)
}

func checkOffset(s *configlog.Store, records int) error {
	if got := s.State().Offset(); got < id.Offset(records) {
		return fmt.Errorf("recovered only up to offset %d of %d", got, records)
	}
	return nil
}
