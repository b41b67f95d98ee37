package verb

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/caller"
)

// submit sends a job to an entry and prints its answer.
func submit() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "send a job to an entry, wait for its answer and print it",
		ArgsUsage: "[FILE | -]",
		Description: "Sends the job in FILE (- or nothing for standard input), in the JSON form of the public API. The job's\n" +
			"id, issued and deadline are filled in where they are missing. Exits 0 if the job is complete.\n\n" +
			"Example: persimmonstage submit --entry http://127.0.0.1:8080 job.json",
		Flags:  []cli.Flag{entryFlag(), teamTokenFlag(), answerFlag()},
		Action: runSubmit,
	}
}

func runSubmit(_ context.Context, c *cli.Command) error {
	text, err := readJobArg(c)
	if err != nil {
		return err
	}
	body, deadline, err := caller.FillDefaults(text, time.Now())
	if err != nil {
		return prefixError(c, err)
	}
	status, got, err := caller.New(trimSlash(c.String("entry")), c.String("token")).Submit(body, deadline)
	if err != nil {
		return prefixError(c, err)
	}
	return prefixError(c, printAnswer(c.Root().Writer, status, got, c.Bool("json")))
}
