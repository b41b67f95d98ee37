package entryd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
	"persimmonstage/core/task"
	"persimmonstage/io/entset"
	"persimmonstage/io/outbox"
	"persimmonstage/io/wire"
)

// announceAgent announces an agent with eight slots as if both its connections were open.
func announceAgent(now time.Time, d *Daemon, name string, conn uint64) {
	d.announce(now, &agentLink{
		who: ident.Ident{Name: name, Incarnation: name}, conn: conn, box: outbox.New(),
		hello: &wire.Hello{Name: name, Incarnation: name, DataCentre: "dc-1", Capacity: &wire.Needs{Slots: 8}},
	})
}

// A job that the current targets can finish in time is admitted as soon as the last of them is announced.
func TestAnnouncedTargetCountsImmediately(t *testing.T) {
	set, err := entset.Load("entry.toml", []byte(settings))
	require.NoError(t, err)
	d, err := New(set, zap.NewNop())
	require.NoError(t, err)
	defer d.control.Stop(t.Context())
	now := time.Now()
	announceAgent(now, d, "agent-1", 1)
	d.tickSlow(now)
	announceAgent(now, d, "agent-2", 2)
	j := &job.Job{Key: jobkey.Key{Team: "kits", ID: "1"}, Kind: "sort", Issued: now, Deadline: now.Add(4 * time.Second)}
	for range 160 {
		j.Tasks = append(j.Tasks, task.Task{Needs: needs.Vector{Slots: 1}})
	}
	d.speeds.Learn(0, "sort", 0, 200*time.Millisecond)
	_, _, refusal := d.admit(now, j)
	require.Nil(t, refusal)
}
