package verb

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/load"
)

// loadCommand generates load on running entries.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "offer jobs to running entries, open loop, and report response over ideal, messages, and what a flood leaves",
		Description: "Jobs of the kinds of both users arrive at random times from a seed; loopback only. The ideal of a job is the\n" +
			"longest run time that its tasks ask for; its floor is the least time in which --slots could serve it alone.\n" +
			"With --flood the load is offered twice, the second time beside the flood. Exits 0 unless a task was started twice.\n\n" +
			"Example: persimmonstage load --entry http://127.0.0.1:8080 --utilization 0.3 --slots 80 --seconds 20 --flood least",
		Flags:    loadFlags(),
		Action:   runLoad,
		Commands: []*cli.Command{loadCompare()},
	}
}

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "entries' `URL`s"},
		&cli.StringSliceFlag{Name: "agent", Usage: "agents' `URL`s, for their counters"},
		&cli.StringSliceFlag{Name: "target", Usage: "stand-in targets' `URL`s, for their counts of starts"},
		&cli.StringFlag{Name: "token", Usage: "the teams' token", Sources: cli.EnvVars("PERSIMMONSTAGE_TOKEN")},
		&cli.FloatFlag{Name: "seconds", Value: 10, Usage: "how long jobs arrive, at most 300"},
		&cli.FloatFlag{Name: "rate", Usage: "jobs per second, at most 20000"},
		&cli.FloatFlag{Name: "utilization", Usage: "share of --slots that the load takes, in place of --rate"},
		&cli.FloatFlag{Name: "slots", Usage: "slots of the fleet times their targets' speed"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the arrivals"},
		&cli.IntFlag{Name: "tasks", Usage: "tasks of each job, in place of 1 to 160 drawn at random"},
		&cli.IntFlag{Name: "run-ms", Usage: "middle of the run times, in place of 50 ms to 2 s by kind"},
		&cli.FloatFlag{Name: "resubmit", Usage: "share of the jobs that are submitted twice, at two entries"},
		&cli.FloatFlag{Name: "cancel", Usage: "share of the jobs that are cancelled, all together at the next whole second"},
		&cli.FloatFlag{Name: "sizes-off", Usage: "declare sizes that are up to this many times off"},
		&cli.StringFlag{Name: "flood", Usage: "least, most, small-jobs, huge-jobs or resubmissions"},
		&cli.FloatFlag{Name: "factor", Value: 10, Usage: "times the capacity of --slots that the flood asks for"},
		&cli.StringFlag{Name: "json", Usage: "write the report to `FILE`"},
		&cli.StringFlag{Name: "svg", Usage: "write the plot to `FILE`"},
	}
}

const (
	calmPhase  = "calm"
	floodPhase = "flood"
)

// newLoad returns the load that the flags describe for one set of entries.
func newLoad(c *cli.Command, entries []string) (*load.Generator, error) {
	l := &load.Generator{
		Entries: trimSlashes(entries), Agents: trimSlashes(c.StringSlice("agent")), Targets: trimSlashes(c.StringSlice("target")),
		Token: c.String("token"),
		Kinds: mix.Fixed(c.Int("tasks"), time.Duration(c.Int("run-ms"))*time.Millisecond),
		Rate:  c.Float("rate"), Seconds: c.Float("seconds"), Seed: c.Uint64("seed"), Slots: c.Float("slots"),
		Resubmit: c.Float("resubmit"), MaxSizeError: c.Float("sizes-off"), CancelShare: c.Float("cancel"), Progress: c.Root().ErrWriter,
	}
	if c.Int("tasks") > mix.MaxTasks {
		return nil, errors.Newf("tasks: %d, at most %d", c.Int("tasks"), mix.MaxTasks)
	}
	if u := c.Float("utilization"); u > 0 {
		if l.Slots <= 0 {
			return nil, errors.New("slots: missing, --utilization needs it")
		}
		l.Rate = u * l.Slots / mix.MeanWork(l.Kinds).Seconds()
	}
	if c.String("flood") != "" && l.Slots <= 0 {
		return nil, errors.New("slots: missing, --flood needs it")
	}
	return l, l.Check()
}

func trimSlashes(list []string) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = trimSlash(s)
	}
	return out
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	l, err := newLoad(c, c.StringSlice("entry"))
	if err != nil {
		return prefixError(c, err)
	}
	err = l.RunPhase(ctx, calmPhase)
	if err == nil && c.String("flood") != "" {
		err = l.RunFlood(ctx, floodPhase, c.String("flood"), c.Float("factor"))
	}
	return prefixError(c, errors.CombineErrors(err, writeLoad(c, l, "")))
}

// writeLoad prints the table and writes the files of --json and --svg, with suffix before their extension.
func writeLoad(c *cli.Command, l *load.Generator, suffix string) error {
	if err := l.WriteTable(c.Root().Writer); err != nil {
		return err
	}
	if err := writeFile(c.String("json"), suffix, l.WriteJSON); err != nil {
		return err
	}
	return writeFile(c.String("svg"), suffix, l.WriteSVG)
}

func writeFile(name, suffix string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	if dot := strings.LastIndexByte(name, '.'); dot > 0 && suffix != "" {
		name = name[:dot] + suffix + name[dot:]
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.CombineErrors(write(f), f.Close())
}

// loadCompare generates the same load on two sets of entries in turn.
func loadCompare() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "offer the same load to two sets of entries in turn, round by round, and compare them",
		ArgsUsage: "A B",
		Description: "A and B are entries' URLs with commas between them. Files of --json and --svg get -a and -b before their ending.\n\n" +
			"Example: persimmonstage load compare --rate 20 --seconds 5 --rounds 4 http://127.0.0.1:8080 http://127.0.0.1:9080",
		Flags:  append(loadFlags(), &cli.IntFlag{Name: "rounds", Value: 3, Usage: "turns of each set"}),
		Action: runCompare,
	}
}

func runCompare(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.Newf("%s: two sets of entries are expected, got %d", c.Name, c.Args().Len())
	}
	var sides [2]*load.Generator
	for i := range sides {
		l, err := newLoad(c, strings.Split(c.Args().Get(i), ","))
		if err != nil {
			return prefixError(c, err)
		}
		sides[i] = l
	}
	for range c.Int("rounds") {
		for i, name := range []string{"A", "B"} {
			if err := sides[i].RunPhase(ctx, name); err != nil {
				return prefixError(c, err)
			}
		}
	}
	for i, suffix := range []string{"-a", "-b"} {
		if err := writeLoad(c, sides[i], suffix); err != nil {
			return prefixError(c, err)
		}
	}
	return prefixError(c, load.WriteKept(c.Root().Writer, "A", "B", score.Compare(sides[0].Score("A"), sides[1].Score("B"))))
}
