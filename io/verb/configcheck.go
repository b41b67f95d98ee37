package verb

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/fold"
	"persimmonstage/core/lines"
)

// configCheck checks a folder without contacting any process.
func configCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a folder of TOML files and show which file each final value came from",
		ArgsUsage: "FOLDER",
		Description: "Needs no process. Every fault is shown with file, line, key and limit; any fault makes the exit code 1.\n\n" +
			"Example: persimmonstage config check ./config",
		Flags:  []cli.Flag{jsonFlag()},
		Action: runConfigCheck,
	}
}

type originLine struct {
	Key     string `json:"key"`
	Literal string `json:"literal"`
	File    string `json:"file"`
	Line    int    `json:"line"`
}

type checkResult struct {
	OK     bool            `json:"ok"`
	Faults []*cfgerr.Error `json:"faults"`
	Values []originLine    `json:"values"`
}

func runConfigCheck(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 1); err != nil {
		return err
	}
	files, err := readFolder(c.Args().First())
	if err != nil {
		return prefixError(c, err)
	}
	doc, faults := mergeFolder(files)
	result := checkResult{OK: len(faults) == 0, Faults: append([]*cfgerr.Error{}, faults...), Values: origins(doc)}
	if c.Bool("json") {
		return errors.CombineErrors(printJSON(c.Root().Writer, result), checkError(c, faults))
	}
	printCheck(c.Root().Writer, result, len(files))
	if !result.OK {
		return prefixError(c, reportFaults(c, faults))
	}
	return nil
}

// checkError returns the error that makes the exit code 1; the JSON output already contains the faults.
func checkError(c *cli.Command, faults []*cfgerr.Error) error {
	if len(faults) == 0 {
		return nil
	}
	return prefixError(c, faultCountError(faults))
}

func origins(doc fold.Document) []originLine {
	out := []originLine{}
	doc.Each(func(key []string, literal string, _ any, file string, line int) {
		out = append(out, originLine{Key: lines.Dotted(key), Literal: literal, File: file, Line: line})
	})
	return out
}

func printCheck(w io.Writer, result checkResult, files int) {
	for _, v := range result.Values {
		fmt.Fprintf(w, "%s = %s  # %s:%d\n", v.Key, v.Literal, v.File, v.Line)
	}
	if result.OK {
		fmt.Fprintf(w, "ok: %d values from %d files\n", len(result.Values), files)
	}
}

func sortFaults(faults []*cfgerr.Error) []*cfgerr.Error {
	slices.SortStableFunc(faults, func(a, b *cfgerr.Error) int {
		return cmp.Or(cmp.Compare(a.File(), b.File()), cmp.Compare(a.Line(), b.Line()), cmp.Compare(a.Key(), b.Key()))
	})
	return faults
}
