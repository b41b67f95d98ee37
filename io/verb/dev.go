package verb

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/local"
	"persimmonstage/io/logger"
)

// dev runs a whole installation in this process until it receives SIGINT or SIGTERM.
func dev() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole installation in this process until SIGINT or SIGTERM",
		Description: "Starts what try starts, prints the address of the owner's page and of the API, and stays up.\n" +
			"Any team name is taken and no token is needed. Logs go to standard error as JSON lines.\n\n" +
			"Example: persimmonstage dev --targets 5",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "targets", Value: tryTargets, Usage: "number of agents with a stand-in target each"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	stack, err := local.Start(c.Int("targets"), logger.New(c.Root().ErrWriter, "dev", "local"))
	if err != nil {
		return prefixError(c, err)
	}
	defer stack.Stop()
	fmt.Fprintln(c.Root().Writer, stack.URL())
	<-ctx.Done()
	return nil
}
