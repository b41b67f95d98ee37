package verb

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const defaultHistory = 20

// configHistory prints the newest versions with author, time and changes.
func configHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "print the newest versions: who changed what, and when",
		Description: "Newest first. An entry remembers up to 1000 versions, after a restart those that the log still has.\n\n" +
			"Example: persimmonstage config history --entry http://127.0.0.1:8080 --count 5",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.IntFlag{Name: "count", Value: defaultHistory, Usage: "how many versions, up to 1000"},
		},
		Action: runConfigHistory,
	}
}

type historyEntry struct {
	Version int64        `json:"version"`
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	When    time.Time    `json:"when"`
	Changes []changeLine `json:"changes"`
}

func runConfigHistory(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	var shown shownConfig
	if _, err := newAdminClient(c).get(fmt.Sprintf("history=%d", c.Int("count")), &shown); err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, append([]historyEntry{}, shown.History...))
	}
	for _, e := range shown.History {
		printEntry(c.Root().Writer, e)
	}
	return nil
}

func printEntry(w io.Writer, e historyEntry) {
	fmt.Fprintf(w, "version %d  %s  %s\n", e.Version, e.When.Format(time.RFC3339), e.Author)
	printLines(w, "  ", e.Changes)
}
