package verb

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/io/caller"
)

const adminTimeout = 10 * time.Second

// state prints the whole state of a process.
func state() *cli.Command {
	return &cli.Command{
		Name:  "state",
		Usage: "print the whole state of an entry or agent as JSON",
		Description: "Asks the process's own HTTP port, which an agent has too.\n\n" +
			"Example: persimmonstage state --entry http://127.0.0.1:8080",
		Flags: []cli.Flag{entryFlag(), operatorFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := rejectExtraArgs(c, 0); err != nil {
				return err
			}
			client := caller.New(trimSlash(c.String("entry")), c.String("token"))
			status, body, err := client.Do("GET", "/v1/admin/state", nil, time.Now().Add(adminTimeout))
			if err != nil {
				return prefixError(c, err)
			}
			if status != statusOK {
				return prefixError(c, errors.Newf("answer %d: %s", status, body))
			}
			fmt.Fprintf(c.Root().Writer, "%s\n", body)
			return nil
		},
	}
}

func operatorFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "token", Usage: "the operator's token", Sources: cli.EnvVars("PERSIMMONSTAGE_OPERATOR_TOKEN"),
	}
}
