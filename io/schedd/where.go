package schedd

import (
	"context"

	"persimmonstage/core/batch"
	"persimmonstage/core/sched"
	"persimmonstage/io/uptime"
)

// Where tells where the tasks of a job would go if it were submitted now, without submitting it; nil if the process is stopping.
func (d *Daemon) Where(ctx context.Context, b *batch.Batch) *sched.Placement {
	return call(ctx, d, func() *sched.Placement { return d.sched.Where(uptime.Now(), b) })
}
