package verb

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/io/caller"
)

// cancelLimit bounds the wait for tasks that have started to end.
const cancelLimit = 30 * time.Second

// cancel withdraws the tasks of a job that have not started.
func cancel() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "withdraw what has not started of a job, and print how the job ended",
		ArgsUsage: "TEAM ID",
		Description: "Tasks that run go on to their end; a job all of whose tasks had started in time is complete as without the\n" +
			"cancellation. The answer is the one that the job's callers get. Exits 0 if the job has ended.\n\n" +
			"Example: persimmonstage cancel --entry http://127.0.0.1:8080 castle-kits cut-sheets-7",
		Flags:  []cli.Flag{entryFlag(), teamTokenFlag(), answerFlag()},
		Action: runCancel,
	}
}

func runCancel(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 2); err != nil {
		return err
	}
	team, id := c.Args().Get(0), c.Args().Get(1)
	switch {
	case team == "":
		return prefixError(c, errors.New("TEAM: missing"))
	case id == "":
		return prefixError(c, errors.New("ID: missing"))
	}
	client := caller.New(trimSlash(c.String("entry")), c.String("token"))
	path := "/v1/jobs/" + url.PathEscape(team) + "/" + url.PathEscape(id)
	status, body, err := client.Do(http.MethodDelete, path, nil, time.Now().Add(cancelLimit))
	if err != nil {
		return prefixError(c, err)
	}
	return prefixError(c, printFinalAnswer(c.Root().Writer, status, body, c.Bool("json")))
}
