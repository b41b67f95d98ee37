package schedd

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/ident"
	"persimmonstage/core/sched"
)

// state is the content of a state dump.
type state struct {
	Self          ident.Ident     `json:"self"`
	Configuration int64           `json:"configuration"`
	Entries       []string        `json:"entries"`
	Evacuated     []string        `json:"evacuated"`
	Connections   int             `json:"connections"`
	Scheduler     *sched.Snapshot `json:"scheduler"`
}

// State returns a state dump as JSON.
func (d *Daemon) State(ctx context.Context) ([]byte, error) {
	st := call(ctx, d, func() *state {
		return &state{
			Self: d.self, Configuration: d.doc.Version(), Entries: d.entryAddresses(), Connections: len(d.links),
			Evacuated: d.evacuations.Table().Evacuated(),
			Scheduler: d.sched.Snapshot(),
		}
	})
	if st == nil {
		return nil, errors.New("the process is stopping")
	}
	return json.Marshal(st)
}
