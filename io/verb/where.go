package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/sched"
	"persimmonstage/io/caller"
)

// where prints where a job would go now.
func where() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "tell where the tasks of a repeatable job would go now, and why, without sending it",
		ArgsUsage: "[FILE | -]",
		Description: "Asks an entry (its --admin-port) about the job in FILE (- or nothing for standard input), a body as callers post it to\n" +
			"the host and path. Prints whether it would start, wait or be refused, and how each target ranks. Exits 0 in each case.\n\n" +
			"Example: persimmonstage where --entry http://10.1.0.13:9465 --host shop.example --path /orders/ job.json",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), answerFlag(),
			&cli.StringFlag{Name: "host", Usage: "the host that callers post the job to"},
			&cli.StringFlag{Name: "path", Usage: "the path that callers post the job to, with or without an id"},
		},
		Action: runWhere,
	}
}

func runWhere(_ context.Context, c *cli.Command) error {
	text, err := readJobArg(c)
	if err != nil {
		return err
	}
	query := url.Values{"host": {c.String("host")}, "path": {c.String("path")}}
	client := caller.New(trimSlash(c.String("entry")), c.String("token"))
	status, body, err := client.Do("POST", "/v1/admin/where?"+query.Encode(), text, time.Now().Add(adminTimeout))
	if err != nil {
		return prefixError(c, err)
	}
	if status != statusOK {
		return prefixError(c, errors.Newf("answer %d: %s", status, body))
	}
	if c.Bool("json") {
		fmt.Fprintf(c.Root().Writer, "%s\n", body)
		return nil
	}
	var p sched.Placement
	if err := json.Unmarshal(body, &p); err != nil {
		return prefixError(c, errors.Wrap(err, "answer is not JSON"))
	}
	return prefixError(c, printPlacement(c.Root().Writer, &p))
}

// printPlacement prints the decision on a job and a line for each target.
func printPlacement(w io.Writer, p *sched.Placement) error {
	fmt.Fprintf(w, "queue %s: %s", p.Route, p.Decision)
	if p.Reason != "" {
		fmt.Fprintf(w, ", %s", p.Reason)
	}
	fmt.Fprintf(w, "\nexpected %d ms a task, objective in %d ms, deadline in %d ms; refused unless started within %d ms; %d jobs go first; load %.2f\n",
		p.ExpectedMS, p.ObjectiveMS, p.DeadlineMS, p.WaitMS, p.Preceding, p.Load)
	for i, agent := range p.Tasks {
		fmt.Fprintf(w, "task %d: %s\n", i, agent)
	}
	if p.Waiting > 0 {
		fmt.Fprintf(w, "%d tasks would wait\n", p.Waiting)
	}
	const columnGap = 2
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "agent\tdata centre\tpace\trun ms\tfree\tslowdown\tfailures\tfirst task")
	for i := range p.Targets {
		v := &p.Targets[i]
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%.2f\t%.2f\t%d\t%s\n", v.Agent, v.DataCentre, v.Pace, v.RunMS, v.Free, v.Slowdown, v.Failures, verdict(v))
	}
	return t.Flush()
}

// verdict tells how a target compares with the one that would get the first task.
func verdict(v *sched.PlacementView) string {
	switch {
	case v.Chosen:
		return "chosen"
	case v.Excluded != "":
		return "no: " + v.Excluded
	case v.Term == "":
		return "equal"
	case v.Preferred:
		return "better by " + v.Term + ", not in the sample"
	}
	return "behind by " + v.Term
}
