package verb

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"persimmonstage/platform/boot"
	"persimmonstage/platform/role"
)

// onPlatform groups the commands that run a process on the users' platform.
func onPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a process on the users' platform, with the settings that the platform gives it",
		Commands: []*cli.Command{
			platformRole("entry", "serve callers of repeatable jobs, and place their tasks", role.Entry),
			platformRole("agent", "run the tasks of repeatable jobs at the runner of this host", role.Agent),
		},
	}
}

func platformRole(name, usage string, run func(ctx context.Context, w io.Writer, metricsPort int, admin boot.Admin) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Description: "Reads the settings file that PERSIMMONSTAGE_BOOT names. Stops on SIGTERM or SIGINT: takes nothing new, lets\n" +
			"what runs end, exits 0. Logs go to standard output as JSON lines; SIGUSR1 prints the whole state there.\n\n" +
			"Example: persimmonstage platform " + name + " --metrics-port 9464",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at /metrics of this port; 0 is none"},
			&cli.IntFlag{Name: "admin-port", Usage: "serve operators (state, where) at this port; 0 is none"},
			&cli.StringFlag{Name: "admin-token-hash", Usage: "SHA-256 in hex of the operators' token, required with admin-port"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := rejectExtraArgs(c, 0); err != nil {
				return err
			}
			admin := boot.Admin{Port: c.Int("admin-port"), TokenHash: c.String("admin-token-hash")}
			if err := admin.Check(); err != nil {
				return prefixError(c, err)
			}
			signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
			return prefixError(c, run(ctx, os.Stdout, c.Int("metrics-port"), admin))
		},
	}
}
