package verb

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// teams lists the teams of the configuration in force.
func teams() *cli.Command {
	return &cli.Command{
		Name:  "teams",
		Usage: "list the teams of the configuration in force, their weights and quotas",
		Description: "Quotas are those of the whole system; each entry grants an equal part. A team that isn't configured has weight 1.\n\n" +
			"Example: persimmonstage teams --entry http://127.0.0.1:8080",
		Flags:  []cli.Flag{entryFlag(), operatorFlag(), jsonFlag()},
		Action: runTeams,
	}
}

type teamLine struct {
	Name    string `json:"name"`
	Weight  int    `json:"weight"`
	Starts  int    `json:"quota-starts-per-second"`
	Running int    `json:"quota-running"`
}

func runTeams(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	var all []teamLine
	body, err := fetch(c, "teams", &all)
	if err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		_, err = fmt.Fprintf(c.Root().Writer, "%s\n", body)
		return err
	}
	return printTeams(c.Root().Writer, all)
}

func printTeams(w io.Writer, all []teamLine) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "TEAM\tWEIGHT\tSTARTS A SECOND\tRUNNING")
	for _, t := range all {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", t.Name, t.Weight, quota(t.Starts), quota(t.Running))
	}
	return table.Flush()
}

func quota(n int) string {
	if n == 0 {
		return "no quota"
	}
	return strconv.Itoa(n)
}
