package verb

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"persimmonstage/core/needs"
)

// columnGap is the padding between table columns, in characters.
const columnGap = 2

// targets lists an entry's view of the targets.
func targets() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "list the targets that an entry knows, what is free there and how fast they are",
		Description: "A target that isn't usable gets no new work from this entry: it is drained, leaving or taken out as\n" +
			"sick; the last column says which, and why. The factor is its run time over what is usual for the same kind of work;\n" +
			"in flight are this entry's tasks.\n\n" +
			"Example: persimmonstage targets --entry http://127.0.0.1:8080",
		Flags:  []cli.Flag{entryFlag(), operatorFlag(), jsonFlag()},
		Action: runTargets,
	}
}

type targetLine struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"data-centre"`
	Rack       string       `json:"rack"`
	Usable     bool         `json:"usable"`
	Out        string       `json:"out"`
	Free       needs.Vector `json:"free"`
	InFlight   int          `json:"in-flight"`
	Factor     float64      `json:"run-time-factor"`
}

func runTargets(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	var all []targetLine
	body, err := fetch(c, "targets", &all)
	if err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		_, err = fmt.Fprintf(c.Root().Writer, "%s\n", body)
		return err
	}
	return printTargets(c.Root().Writer, all)
}

func printTargets(w io.Writer, all []targetLine) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "TARGET\tDATA CENTRE\tRACK\tUSABLE\tIN FLIGHT\tFACTOR\tFREE\tOUT BECAUSE")
	for _, t := range all {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.2f\t%s\t%s\n",
			t.Name, t.DataCentre, orDash(t.Rack), yesNo(t.Usable), t.InFlight, t.Factor, amounts(t.Free), orDash(t.Out))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	usable := 0
	for _, t := range all {
		if t.Usable {
			usable++
		}
	}
	_, err := fmt.Fprintf(w, "%d of %d usable\n", usable, len(all))
	return err
}

// amounts formats the nonzero dimensions of v.
func amounts(v needs.Vector) string {
	var parts []string
	for _, d := range []struct {
		n    int
		name string
	}{{v.Slots, "slots"}, {v.Cores, "cores"}, {v.MemoryMB, "memory-mb"}, {v.Accelerators, "accelerators"}} {
		if d.n != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", d.name, d.n))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
