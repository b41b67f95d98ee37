package agentd

import (
	"time"

	"persimmonstage/io/wire"
)

// gotConfig takes a newer configuration document.
func (d *Daemon) gotConfig(got *wire.Fetched) error {
	d.loop.Post(func(time.Time) {
		if got.Version > d.config {
			d.config = got.Version
		}
	})
	return nil
}
