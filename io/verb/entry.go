package verb

import (
	"context"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/dump"
	"persimmonstage/io/entryd"
	"persimmonstage/io/entset"
	"persimmonstage/io/logger"
	"persimmonstage/io/rlimit"
)

// entry runs an entry process.
func entry() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: callers' and operators' HTTP, and the jobs of the shards that it owns",
		Description: "Stops on SIGTERM or SIGINT: takes no new connections, answers what is in progress, exits 0.\n" +
			"SIGUSR1 prints the whole state to standard error. Logs go to standard error as JSON lines.\n\n" +
			"Example: persimmonstage entry --settings entry-1.toml",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	file, data, err := readSettings(c)
	if err != nil {
		return err
	}
	set, err := entset.Load(file, data)
	if err != nil {
		return prefixError(c, err)
	}
	rlimit.LimitHeap(set.Limits.Memory())
	d, err := entryd.New(set, logger.New(c.Root().ErrWriter, "entry", set.Name))
	if err != nil {
		return prefixError(c, err)
	}
	dump.OnSignal(ctx, c.Root().ErrWriter, d)
	return prefixError(c, d.Run(ctx))
}
