package verb

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/trace"
)

// explain prints a job's log lines and the cause of its end.
func explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the logs of entries and agents what became of a repeatable job, and why",
		ArgsUsage: "ID FILE...",
		Description: "Reads log files (- for standard input), finds the lines of the job called ID, and prints them in the order of time\n" +
			"with the cause of its end. Exits 0 also if no line is found.\n\n" +
			"Example: persimmonstage explain 5c0e7a21d94b36f8 entry-*.log agent-*.log",
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return prefixError(c, errors.New("ID and FILE: missing"))
	}
	t := trace.New(c.Args().First())
	if err := readLogs(c, c.Args().Tail(), t.Add); err != nil {
		return prefixError(c, err)
	}
	for _, l := range t.Lines() {
		fmt.Fprintln(c.Root().Writer, l)
	}
	fmt.Fprintf(c.Root().Writer, "cause: %s\n", t.Cause())
	return nil
}
