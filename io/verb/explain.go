package verb

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/trace"
)

// maxLogLine is the longest log line that can be read, in bytes.
const maxLogLine = 1 << 20

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
	for _, file := range c.Args().Tail() {
		if err := addFile(t, file, c.Root().Reader); err != nil {
			return prefixError(c, err)
		}
	}
	for _, l := range t.Lines() {
		fmt.Fprintln(c.Root().Writer, l)
	}
	fmt.Fprintf(c.Root().Writer, "cause: %s\n", t.Cause())
	return nil
}

func addFile(t *trace.Trace, file string, stdin io.Reader) error {
	r := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		defer f.Close()
		r = f
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		t.Add(lines.Text())
	}
	return errors.Wrap(lines.Err(), file)
}
