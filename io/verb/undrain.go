package verb

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// undrain puts targets and hosts back into service.
func undrain() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "give a drained target or host work again",
		ArgsUsage: "[TARGET...]",
		Description: "Takes the names out of drain.targets and drain.hosts of the configuration in force, on top of whatever others\n" +
			"publish meanwhile. The same as `drain --undo`. A target stays drained while its host is.\n\n" +
			"Example: persimmonstage undrain saw-2\n" +
			"Example: persimmonstage undrain --host 10.0.0.7",
		Flags:  append([]cli.Flag{entryFlag(), operatorFlag(), jsonFlag()}, drainFlags()...),
		Action: runUndrain,
	}
}

func runUndrain(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() && len(c.StringSlice("target"))+len(c.StringSlice("host")) == 0 {
		return prefixError(c, errors.New("TARGET or --host: missing, at least 1"))
	}
	return drainOrUndo(ctx, c, true)
}
