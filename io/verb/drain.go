package verb

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
)

const drainAttempts = 10

// drain takes targets and hosts out of service, or puts them back.
func drain() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "give a target or a host no new work, or put it back; without either, list what is drained",
		ArgsUsage: "[TARGET...]",
		Description: "Changes drain.targets and drain.hosts of the configuration in force, on top of whatever others publish\n" +
			"meanwhile. A later `config publish` of a folder that lacks the entry ends the drain: see `config diff`.\n\n" +
			"Example: persimmonstage drain --entry http://127.0.0.1:8080 saw-2\n" +
			"Example: persimmonstage drain --host 10.0.0.7 --undo",
		Flags: append([]cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.BoolFlag{Name: "undo", Usage: "put back instead"},
		}, drainFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error { return drainOrUndo(ctx, c, c.Bool("undo")) },
	}
}

func drainFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "target", Usage: "the `NAME` of an agent, once for each; the same as an argument"},
		&cli.StringSliceFlag{Name: "host", Usage: "the `NAME` or IP number of a host, once for each"},
	}
}

type drainResult struct {
	Version int64    `json:"version"`
	Targets []string `json:"targets"`
	Hosts   []string `json:"hosts"`
}

func drainOrUndo(ctx context.Context, c *cli.Command, undo bool) error {
	doc, version, err := changeDrains(ctx, c, map[string][]string{
		"targets": append(c.StringSlice("target"), c.Args().Slice()...),
		"hosts":   c.StringSlice("host"),
	}, undo)
	if err != nil {
		return prefixError(c, err)
	}
	result := newDrainResult(doc, version)
	w := c.Root().Writer
	if c.Bool("json") {
		return printJSON(w, result)
	}
	fmt.Fprintf(w, "version %d\ndrained targets: %s\ndrained hosts: %s\n",
		result.Version, joinNames(result.Targets), joinNames(result.Hosts))
	return nil
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// changeDrains adds names to the lists under [drain], or removes them for undo, and publishes that; if another operator publishes
// first, it retries on the new version, up to drainAttempts times.
func changeDrains(ctx context.Context, c *cli.Command, lists map[string][]string, undo bool) (fold.Document, int64, error) {
	a := newAdminClient(c)
	for range drainAttempts {
		before, version, err := a.document(-1)
		if err != nil {
			return before, 0, err
		}
		doc, err := applyDrains(before, lists, undo)
		if err != nil || doc.Sum() == before.Sum() {
			return doc, version, err
		}
		next, conflicted, err := a.tryPublish(ctx, version, doc)
		if !conflicted {
			return doc, next, err
		}
	}
	return fold.Document{}, 0, errors.Newf("other operators published first %d times", drainAttempts)
}

// tryPublish publishes doc on base and reports whether another operator published first.
func (a adminClient) tryPublish(ctx context.Context, base int64, doc fold.Document) (version int64, conflicted bool, err error) {
	p := publication{ID: uuid.NewString(), Base: base, Document: string(doc.TOML())}
	version, err = a.publish(ctx, p)
	var conflict *conflictError
	return version, errors.As(err, &conflict), err
}

// applyDrains adds names to the lists under [drain], or removes them for undo.
func applyDrains(doc fold.Document, lists map[string][]string, undo bool) (fold.Document, error) {
	for key, names := range lists {
		if len(names) == 0 {
			continue
		}
		var err error
		change := listChange([]string{"drain", key}, mergeNames(drainList(doc, key), names, undo))
		if doc, err = doc.Apply([]delta.Change{change}); err != nil {
			return doc, err
		}
	}
	return fold.Parse("document", doc.TOML())
}

// listChange returns the change that sets key to names, or removes the key if there are none.
func listChange(key, names []string) delta.Change {
	if len(names) == 0 {
		return delta.Remove(key)
	}
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, strconv.Quote(name))
	}
	return delta.Set(key, "["+strings.Join(quoted, ", ")+"]")
}

func mergeNames(list, names []string, undo bool) []string {
	out := slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(names, name) })
	if !undo {
		out = append(out, names...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func drainList(doc fold.Document, key string) []string {
	value, _ := doc.Value("drain", key)
	items, _ := value.([]any)
	names := []string{}
	for _, item := range items {
		if name, ok := item.(string); ok {
			names = append(names, name)
		}
	}
	return names
}

func newDrainResult(doc fold.Document, version int64) drainResult {
	return drainResult{Version: version, Targets: drainList(doc, "targets"), Hosts: drainList(doc, "hosts")}
}
