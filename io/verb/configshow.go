package verb

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// configShow prints the document of a version.
func configShow() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the document that is in force, or that of an earlier version",
		Description: "The text is TOML and can be put into a folder as it is; the version stands in a comment.\n\n" +
			"Example: persimmonstage config show --entry http://127.0.0.1:8080 --version 41",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.Int64Flag{Name: "version", Value: -1, Usage: "the `VERSION` to show", DefaultText: "the one in force"},
		},
		Action: runConfigShow,
	}
}

type shownConfig struct {
	Version  int64          `json:"version"`
	Document string         `json:"document"`
	History  []historyEntry `json:"history,omitempty"`
}

func runConfigShow(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	query := ""
	if v := c.Int64("version"); v >= 0 {
		query = fmt.Sprintf("version=%d", v)
	}
	var shown shownConfig
	if _, err := newAdminClient(c).get(query, &shown); err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, shown)
	}
	fmt.Fprintf(c.Root().Writer, "# version %d\n%s", shown.Version, shown.Document)
	return nil
}
