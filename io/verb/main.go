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

// Main runs the command given by args and returns the exit code; an error is printed to stderr as one line.
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
	shortenUsageErrors(root)
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "persimmonstage: %s\n", oneLine(err))
		return exitError
	}
	return exitOK
}

// shortenUsageErrors makes c and its subcommands print only the error of a wrong usage; the library's default prints the
// whole help too.
func shortenUsageErrors(c *cli.Command) {
	c.OnUsageError = usageError
	if c.Action == nil {
		c.Action = missingVerb
	}
	for _, sub := range c.Commands {
		shortenUsageErrors(sub)
	}
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	const undefined = "flag provided but not defined: "
	if name, ok := strings.CutPrefix(err.Error(), undefined); ok {
		err = errors.Newf("unknown flag %q", "-"+name)
	}
	return prefixError(c, err)
}

// missingVerb handles a missing or unknown verb.
func missingVerb(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return prefixError(c, errors.Newf("unknown verb %q", c.Args().First()))
	}
	if c == c.Root() {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
