package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// retire declares an entry dead.
func retire() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "say that an entry is dead for good, when the others can't find out by themselves",
		ArgsUsage: "NAME",
		Description: "For the loss of a majority of the entries at once; while a majority lives a dead entry is replaced without this.\n" +
			"Make sure first that its process has ended and that its host is off: an entry that is only cut off and goes on\n" +
			"can then start a task twice. An entry that still answers is refused. Needs the log.\n\n" +
			"Example: persimmonstage retire --entry http://127.0.0.1:8080 --dead entry-2",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.BoolFlag{Name: "dead", Usage: "required: its process has surely ended"},
		},
		Action: runRetire,
	}
}

type retirement struct {
	Entry string `json:"entry"`
}

func runRetire(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 1); err != nil {
		return err
	}
	name := c.Args().First()
	switch {
	case name == "":
		return prefixError(c, errors.New("NAME: missing"))
	case !c.Bool("dead"):
		return prefixError(c, errors.New("--dead: missing; make sure that the process of "+name+" has ended"))
	}
	request, err := json.Marshal(retirement{Entry: name})
	if err != nil {
		return prefixError(c, err)
	}
	a := newAdminClient(c)
	status, body, err := a.client.Do(http.MethodPost, adminRoot+"retire", request, time.Now().Add(a.limit))
	if err != nil {
		return prefixError(c, err)
	}
	if status != statusOK {
		return prefixError(c, refusalError(status, body))
	}
	if c.Bool("json") {
		_, err = fmt.Fprintf(c.Root().Writer, "%s\n", body)
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is taken for dead; `persimmonstage state` shows the entries that are left\n", name)
	return err
}
