package verb

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
	"persimmonstage/io/lag"
)

const (
	lagTeam       = "config-lag"
	defaultRounds = 20
	maxWeight     = 1000
)

// configLag measures the time from a version's acceptance until every process has it in force.
func configLag() *cli.Command {
	return &cli.Command{
		Name:  "lag",
		Usage: "measure the time from acceptance until every process has a version in force",
		Description: "For trials: publishes changes to the weight of a team \"" + lagTeam + "\", polls the state of each process every\n" +
			"20 ms, and publishes the document from before at the end. Exits 1 if a process misses a version.\n\n" +
			"Example: persimmonstage config lag --entry http://127.0.0.1:8080 --process http://127.0.0.1:8080 \\\n" +
			"  --process http://127.0.0.1:8090 --changes 50 --pause 2s",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.StringSliceFlag{Name: "process", Usage: "the `URL` of an entry or agent, once for each"},
			&cli.IntFlag{Name: "changes", Value: defaultRounds, Usage: "how many changes, up to 1000"},
			&cli.DurationFlag{Name: "pause", Usage: "the time between changes"},
		},
		Action: runConfigLag,
	}
}

type lagResult struct {
	Changes   int     `json:"changes"`
	Processes int     `json:"processes"`
	Observed  int64   `json:"observed"`
	Missed    int     `json:"missed"`
	P50MS     float64 `json:"p50-ms"`
	P99MS     float64 `json:"p99-ms"`
	MaxMS     float64 `json:"max-ms"`
	Slowest   string  `json:"slowest"`
}

func runConfigLag(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	processes, rounds := c.StringSlice("process"), c.Int("changes")
	switch {
	case len(processes) == 0:
		return errors.Newf("%s: --process: missing", c.Name)
	case rounds < 1 || rounds > maxWeight:
		return errors.Newf("%s: --changes %d: must be between 1 and %d", c.Name, rounds, maxWeight)
	}
	for i, p := range processes {
		processes[i] = trimSlash(p)
	}
	probe := lag.New(processes, c.String("token"))
	err := measureLag(ctx, c, probe, rounds)
	result := newLagResult(probe, rounds, len(processes))
	if c.Bool("json") {
		return errors.CombineErrors(printJSON(c.Root().Writer, result), prefixError(c, err))
	}
	fmt.Fprintf(c.Root().Writer, "%d changes, %d processes: %d observed, %d missed; p50 %.0f ms, p99 %.0f ms, most %.0f ms (%s)\n",
		result.Changes, result.Processes, result.Observed, result.Missed, result.P50MS, result.P99MS, result.MaxMS, result.Slowest)
	return prefixError(c, err)
}

// measureLag publishes one change after another and restores the original document at the end.
func measureLag(ctx context.Context, c *cli.Command, probe *lag.Probe, rounds int) error {
	a := newAdminClient(c)
	before, base, err := a.document(-1)
	if err != nil {
		return err
	}
	last, err := a.publishRounds(ctx, c, probe, before, base, rounds)
	_, restore := a.publishAs(context.WithoutCancel(ctx), last, before)
	return errors.CombineErrors(err, restore)
}

// publishRounds publishes the changes, waits after each until every process has it, and returns the last version.
func (a adminClient) publishRounds(ctx context.Context, c *cli.Command, probe *lag.Probe, before fold.Document, base int64, rounds int) (int64, error) {
	for round := 1; round <= rounds && ctx.Err() == nil; round++ {
		weight := delta.Set([]string{"teams", lagTeam, "weight"}, fmt.Sprint(round))
		doc, err := before.Apply([]delta.Change{weight})
		if err != nil {
			return base, err
		}
		if base, err = a.publishAs(ctx, base, doc); err != nil {
			return base, err
		}
		if err := probe.Await(ctx, base, time.Now()); err != nil {
			return base, err
		}
		pause(ctx, c.Duration("pause"))
	}
	return base, nil
}

func (a adminClient) publishAs(ctx context.Context, base int64, doc fold.Document) (int64, error) {
	return a.publish(ctx, publication{ID: uuid.NewString(), Base: base, Author: lagTeam, Document: string(doc.TOML())})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func newLagResult(probe *lag.Probe, rounds, processes int) lagResult {
	ms := func(percent float64) float64 { return float64(probe.Quantile(percent)) / float64(time.Millisecond) }
	observed, missed := probe.Observed()
	return lagResult{
		Changes: rounds, Processes: processes, Observed: observed, Missed: missed,
		P50MS: ms(50), P99MS: ms(99), MaxMS: ms(100), Slowest: probe.Slowest(),
	}
}
