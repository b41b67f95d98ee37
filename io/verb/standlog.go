package verb

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/logsrv"
)

// standLog runs a stand-in of the platform's log.
func standLog() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "run a stand-in of the platform's append-only log, in memory",
		Description: "Prints its address, then serves until it is stopped. POST /v1/faults switches the faults \"down\", \"slow-ms\",\n" +
			"\"lose-answers\" (the next N appends take effect without an answer) and \"pause\"; each body replaces the last.\n\n" +
			"Example: persimmonstage stand-in log --listen 127.0.0.1:9100\n" +
			"Example: curl -d '{\"down\": true}' http://127.0.0.1:9100/v1/faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on, port 0 for any"},
			&cli.IntFlag{Name: "keep-records", Value: logsrv.DefaultRetention, Usage: "how many records a stream keeps"},
			&cli.DurationFlag{Name: "keep-age", Value: 7 * 24 * time.Hour, Usage: "how long a stream keeps a record, 0 for ever"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := rejectExtraArgs(c, 0); err != nil {
				return err
			}
			s, err := logsrv.Start(c.String("listen"), c.Int("keep-records"), c.Duration("keep-age"))
			if err != nil {
				return prefixError(c, err)
			}
			fmt.Fprintln(c.Root().Writer, s.Addr())
			<-ctx.Done()
			return prefixError(c, s.Close())
		},
	}
}
