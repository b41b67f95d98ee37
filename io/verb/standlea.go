package verb

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/lessor"
)

// standLeases runs a stand-in of the platform's lease service.
func standLeases() *cli.Command {
	return &cli.Command{
		Name:  "leases",
		Usage: "run a stand-in of the platform's lease service of a worker",
		Description: "Prints its address, then serves until it is stopped; an agent whose settings name it takes a lease for each start.\n" +
			"POST /faults switches the faults \"down\", \"slow-ms\", \"lose-answers\" (the next N effects happen without an answer),\n" +
			"\"memory-factor\" and \"cores-factor\" (tasks use that many times what they declared) and \"refuse-renewals\"; each body\n" +
			"replaces the last. GET /counts counts leases and actions.\n\n" +
			"Example: persimmonstage stand-in leases --listen 127.0.0.1:9200\n" +
			"Example: curl -d '{\"memory-factor\": 3}' http://127.0.0.1:9200/faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on, port 0 for any"},
			&cli.DurationFlag{Name: "lag", Value: lessor.DefaultLag, Usage: "by how much a usage report is late"},
			&cli.BoolFlag{Name: "checkpointing", Usage: "tasks can be checkpointed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := rejectExtraArgs(c, 0); err != nil {
				return err
			}
			s, err := lessor.Start(c.String("listen"), c.Duration("lag"), c.Bool("checkpointing"))
			if err != nil {
				return prefixError(c, err)
			}
			fmt.Fprintln(c.Root().Writer, s.Addr())
			<-ctx.Done()
			return prefixError(c, s.Close())
		},
	}
}
