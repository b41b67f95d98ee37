package verb

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"
)

// configDiff prints the differences between two versions, or between the version in force and a folder.
func configDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what differs between two versions, or what publishing a folder would change",
		ArgsUsage: "FROM [TO] | FOLDER",
		Description: "FROM and TO are versions; TO is by default the one in force. + is a new key, - one that is gone, ~ a new value.\n\n" +
			"Example: persimmonstage config diff --entry http://127.0.0.1:8080 40 41\n" +
			"Example: persimmonstage config diff ./config",
		Flags:  []cli.Flag{entryFlag(), operatorFlag(), jsonFlag()},
		Action: runConfigDiff,
	}
}

type comparedConfig struct {
	From    int64        `json:"from"`
	To      int64        `json:"to,omitempty"`
	Folder  string       `json:"folder,omitempty"`
	Changes []changeLine `json:"changes"`
}

func runConfigDiff(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 2); err != nil {
		return err
	}
	var out comparedConfig
	var err error
	if _, bad := strconv.ParseInt(c.Args().First(), 10, 64); bad == nil {
		query := "from=" + c.Args().First()
		if c.Args().Len() == 2 {
			query += "&to=" + c.Args().Get(1)
		}
		_, err = newAdminClient(c).get(query, &out)
	} else {
		out, err = diffFolder(c)
	}
	if err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, out)
	}
	printLines(c.Root().Writer, "", out.Changes)
	fmt.Fprintf(c.Root().Writer, "%d keys differ\n", len(out.Changes))
	return nil
}

func diffFolder(c *cli.Command) (comparedConfig, error) {
	if err := rejectExtraArgs(c, 1); err != nil {
		return comparedConfig{}, err
	}
	dir := c.Args().First()
	files, err := readFolder(dir)
	if err != nil {
		return comparedConfig{}, err
	}
	doc, faults := mergeFolder(files)
	if len(faults) > 0 {
		return comparedConfig{}, reportFaults(c, faults)
	}
	current, version, err := newAdminClient(c).document(-1)
	return comparedConfig{From: version, Folder: dir, Changes: difference(current, doc)}, err
}
