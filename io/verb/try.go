package verb

import (
	"context"
	_ "embed"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/caller"
	"persimmonstage/io/local"
	"persimmonstage/io/logger"
)

//go:embed sample.json
var sampleJob []byte

const tryTargets = 3

// try runs one job in a whole installation inside this process.
func try() *cli.Command {
	return &cli.Command{
		Name:      "try",
		Usage:     "run a job through a whole installation in this process, print its answer and exit",
		ArgsUsage: "[FILE | -]",
		Description: "Starts the stand-in log, an entry, three agents and their stand-in targets on free loopback ports,\n" +
			"sends the job in FILE (- for standard input, nothing for a built-in sample) over the public API and prints\n" +
			"the whole answer. The stand-in targets sort, compress or hash a payload, by the job's kind. The job's id,\n" +
			"issued and deadline are filled in where they are missing. Exits 0 if the job is complete.\n\n" +
			"Example: persimmonstage try job.json",
		Flags: []cli.Flag{
			answerFlag(),
			&cli.BoolFlag{Name: "logs", Usage: "print the parts' logs to standard error"},
		},
		Action: runTry,
	}
}

func runTry(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 1); err != nil {
		return err
	}
	text, err := readJob(c.Args().First(), c.Root().Reader, sampleJob)
	if err != nil {
		return prefixError(c, err)
	}
	body, deadline, err := caller.FillDefaults(text, time.Now())
	if err != nil {
		return prefixError(c, err)
	}
	logs := io.Discard
	if c.Bool("logs") {
		logs = c.Root().ErrWriter
	}
	stack, err := local.Start(tryTargets, logger.New(logs, "try", "local"))
	if err != nil {
		return prefixError(c, err)
	}
	defer stack.Stop()
	status, got, err := caller.New(trimSlash(stack.URL()), "").Submit(body, deadline)
	if err != nil {
		return prefixError(c, err)
	}
	return prefixError(c, printAnswer(c.Root().Writer, status, got, c.Bool("json")))
}
