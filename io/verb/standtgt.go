package verb

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/runner"
)

// standTarget runs a stand-in target.
func standTarget() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in target that sorts, compresses or hashes payloads and counts every start",
		Description: "A payload of the form {\"work-ms\": N, \"text\": \"...\"} also takes N ms, divided by the speed.\n" +
			"POST /faults switches faults, GET /starts counts starts.\n\n" +
			"Example: persimmonstage stand-in target --listen 127.0.0.1:9001 --speed 0.25",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on, port 0 for any"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "divides the run time that a payload asks for"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := rejectExtraArgs(c, 0); err != nil {
				return err
			}
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return prefixError(c, err)
			}
			fmt.Fprintln(c.Root().Writer, l.Addr())
			s := &runner.Server{Speed: c.Float("speed")}
			context.AfterFunc(ctx, s.Stop)
			return prefixError(c, s.Serve(l))
		},
	}
}
