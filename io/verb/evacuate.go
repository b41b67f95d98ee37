package verb

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// evacuate takes all targets of data centres out of service, or puts them back.
func evacuate() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "give the targets of a data centre no new work, or put it back; without one, list what is evacuated",
		ArgsUsage: "[DATA-CENTRE...]",
		Description: "Changes drain.data-centres of the configuration in force, on top of whatever others publish meanwhile. What runs\n" +
			"there ends as usual; a target that joins later gets nothing either. A data centre in which the entry knows no target\n" +
			"is rejected, but can be put back.\n\n" +
			"Example: persimmonstage evacuate --entry http://127.0.0.1:8080 north-b\n" +
			"Example: persimmonstage evacuate --undo north-b",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.BoolFlag{Name: "undo", Usage: "put back instead"},
		},
		Action: runEvacuate,
	}
}

type evacuateResult struct {
	Version     int64    `json:"version"`
	DataCentres []string `json:"data-centres"`
}

func runEvacuate(ctx context.Context, c *cli.Command) error {
	names, undo := c.Args().Slice(), c.Bool("undo")
	if undo && len(names) == 0 {
		return prefixError(c, errors.New("DATA-CENTRE: missing, at least 1"))
	}
	if err := checkDataCentres(c, names, undo); err != nil {
		return prefixError(c, err)
	}
	doc, version, err := changeDrains(ctx, c, map[string][]string{"data-centres": names}, undo)
	if err != nil {
		return prefixError(c, err)
	}
	result := evacuateResult{Version: version, DataCentres: drainList(doc, "data-centres")}
	w := c.Root().Writer
	if c.Bool("json") {
		return printJSON(w, result)
	}
	_, err = fmt.Fprintf(w, "version %d\nevacuated data centres: %s\n", result.Version, joinNames(result.DataCentres))
	return err
}

// checkDataCentres returns an error for a name that is no data centre of a target that the entry knows; it is likely misspelt.
func checkDataCentres(c *cli.Command, names []string, undo bool) error {
	if undo || len(names) == 0 {
		return nil
	}
	var all []targetLine
	if _, err := fetch(c, "targets", &all); err != nil {
		return err
	}
	var known []string
	for _, t := range all {
		known = append(known, t.DataCentre)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	for _, name := range names {
		if !slices.Contains(known, name) {
			return errors.Newf("DATA-CENTRE: %q: no target there; known are %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}
