package verb

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

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
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "persimmonstage: %v\n", err)
		return exitError
	}
	return exitOK
}
