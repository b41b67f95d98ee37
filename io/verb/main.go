package verb

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	exitOK    = 0
	exitError = 1
)

// Main runs the command that args name and returns the exit code; errors go to stderr as one line.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "persimmonstage",
		Usage:          "dispatch sub-second tasks to targets, each at most once",
		Reader:         stdin,
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       table(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	terse(root)
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "persimmonstage: %s\n", oneLine(err))
		return exitError
	}
	return exitOK
}

// terse makes c and the commands below it answer a usage error with the error alone, where the library would print the
// whole help before it.
func terse(c *cli.Command) {
	c.OnUsageError = usageError
	if c.Action == nil {
		c.Action = needVerb
	}
	for _, sub := range c.Commands {
		terse(sub)
	}
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	const undefined = "flag provided but not defined: "
	if name, ok := strings.CutPrefix(err.Error(), undefined); ok {
		err = errors.Newf("unknown flag %q", "-"+name)
	}
	return named(c, err)
}

// needVerb runs where a verb is missing or unknown.
func needVerb(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return named(c, errors.Newf("unknown verb %q", c.Args().First()))
	}
	if c == c.Root() {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
