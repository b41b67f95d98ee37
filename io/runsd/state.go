package runsd

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/ident"
	"persimmonstage/core/runs"
)

// state is the daemon's state dump.
type state struct {
	Self          ident.Ident    `json:"self"`
	Configuration int64          `json:"configuration"`
	Entries       []entryState   `json:"entries"`
	Evacuated     []string       `json:"evacuated"`
	Runs          *runs.Snapshot `json:"runs"`
}

type entryState struct {
	Address     string `json:"address"`
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// State returns the daemon's state as JSON.
func (d *Daemon) State(ctx context.Context) ([]byte, error) {
	st := &state{Self: d.self, Configuration: d.doc.Version()}
	if !d.loop.Call(ctx, func(time.Time) {
		st.Runs, st.Evacuated = d.runs.Snapshot(), d.evacuations.Table().Evacuated()
		for addr, l := range d.links {
			st.Entries = append(st.Entries, entryState{Address: addr, Name: l.entry, Incarnation: l.owner})
		}
	}) {
		return nil, errors.New("the process is stopping")
	}
	slices.SortFunc(st.Entries, func(a, b entryState) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return json.Marshal(st)
}
