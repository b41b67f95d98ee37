package verb

import (
	"context"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/agentd"
	"persimmonstage/io/agtset"
	"persimmonstage/io/dump"
	"persimmonstage/io/logger"
	"persimmonstage/io/rlimit"
)

// agent runs an agent process, which serves one target.
func agent() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run an agent: announce a target, queue for it and start tasks in it",
		Description: "Stops on SIGTERM or SIGINT: refuses new work at once, lets running tasks end, exits 0.\n" +
			"SIGUSR1 prints the whole state to standard error. Logs go to standard error as JSON lines.\n\n" +
			"Example: persimmonstage agent --settings agent-1.toml",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	file, data, err := readSettings(c)
	if err != nil {
		return err
	}
	set, err := agtset.Load(file, data)
	if err != nil {
		return prefixError(c, err)
	}
	rlimit.LimitHeap(set.Limits.Memory())
	d, err := agentd.New(set, logger.New(c.Root().ErrWriter, "agent", set.Name))
	if err != nil {
		return prefixError(c, err)
	}
	dump.OnSignal(ctx, c.Root().ErrWriter, d)
	return prefixError(c, d.Run(ctx))
}
