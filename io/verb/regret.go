package verb

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/regret"
	"persimmonstage/io/graph"
)

// regretCommand prints what was earned by window, and the most that could have been.
func regretCommand() *cli.Command {
	return &cli.Command{
		Name:      "regret",
		Usage:     "compare from the logs of entries and agents what repeatable jobs earned with the most that was possible",
		ArgsUsage: "FILE...",
		Description: "Reads log files (- for standard input), each in order of time, and prints for each window of two seconds what the jobs that\n" +
			"arrived in it earned: 1 for an answer within the objective, 0.2 for a later one that is of use. The bound is the most that a\n" +
			"dispatcher could have earned that knew all jobs, sizes and losses beforehand. Where earned is near the bound, the load was the\n" +
			"cause of what was lost; the other columns say for what reason jobs earned less than owed. Below: how many jobs were\n" +
			"given up before their deadline, and about how many of them wrongly, and how many were kept until it in vain.\n\n" +
			"Example: persimmonstage regret --plot day.svg entry-*.log agent-*.log",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "weight", Usage: "QUEUE=WEIGHT: how much a job of a queue counts; 1 for others"},
			&cli.StringFlag{Name: "plot", Usage: "file that the picture is written to, as SVG"},
		},
		Action: runRegret,
	}
}

func runRegret(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return prefixError(c, errors.New("FILE: missing"))
	}
	weights, err := parseWeights(c.StringSlice("weight"))
	if err != nil {
		return prefixError(c, err)
	}
	report := regret.New(weights)
	if err := readLogs(c, c.Args().Slice(), report.Add); err != nil {
		return prefixError(c, err)
	}
	rows := report.Rows()
	if len(rows) == 0 {
		return prefixError(c, errors.New("no job in the logs"))
	}
	if err := writeRegret(c.Root().Writer, rows); err != nil {
		return prefixError(c, err)
	}
	return prefixError(c, writeFile(c.String("plot"), "", func(w io.Writer) error { return graph.WriteSVG(w, rows) }))
}

func parseWeights(list []string) (map[string]float64, error) {
	weights := make(map[string]float64, len(list))
	for _, text := range list {
		kind, number, found := strings.Cut(text, "=")
		weight, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || weight < 0 {
			return nil, errors.Newf("weight: %q is not of the form QUEUE=WEIGHT with a weight of 0 or more", text)
		}
		weights[kind] = weight
	}
	return weights, nil
}

// writeRegret writes a line for each window and one for their sum.
func writeRegret(out io.Writer, rows []regret.Row) error {
	reasons := map[string]bool{}
	sum := regret.Row{Lost: map[string]float64{}}
	for i := range rows {
		r := &rows[i]
		sum.Errors.Add(r.Errors)
		sum.Jobs, sum.Owed, sum.Earned, sum.Bound = sum.Jobs+r.Jobs, sum.Owed+r.Owed, sum.Earned+r.Earned, sum.Bound+r.Bound
		for reason, v := range r.Lost {
			reasons[reason] = true
			sum.Lost[reason] += v
		}
	}
	columns := slices.Sorted(maps.Keys(reasons))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "second\tjobs\towed\tearned\tbound\tearned/bound\t%s\t\n", strings.Join(columns, "\t"))
	for i := range rows {
		writeRegretRow(w, fmt.Sprintf("%.0f", rows[i].At.Seconds()), &rows[i], columns)
	}
	writeRegretRow(w, "all", &sum, columns)
	if err := w.Flush(); err != nil {
		return err
	}
	return writeErrors(out, sum.Jobs, sum.Errors)
}

// writeErrors writes the errors with jobs that took longer than expected; logs of entries that don't count forecasts have none.
func writeErrors(out io.Writer, jobs int, e regret.Errors) error {
	if e.Forecasts == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "given up before the deadline: %d of %d jobs, about %.1f wrongly (%d of %d forecasts were too late)\n"+
		"kept until the deadline in vain: %d of %d jobs\n", e.GivenUp, jobs, e.Wrongly(), e.Early, e.Forecasts, e.Kept, jobs)
	return err
}

func writeRegretRow(w io.Writer, name string, r *regret.Row, columns []string) {
	if r.Jobs == 0 {
		return
	}
	ratio := "-"
	if r.Bound > 0 {
		ratio = fmt.Sprintf("%.2f", r.Earned/r.Bound)
	}
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%s", name, r.Jobs, r.Owed, r.Earned, r.Bound, ratio)
	for _, reason := range columns {
		fmt.Fprintf(w, "\t%.1f", r.Lost[reason])
	}
	fmt.Fprintln(w, "\t")
}
