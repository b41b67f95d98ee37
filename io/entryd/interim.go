package entryd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/past"
	"persimmonstage/core/shards"
)

func (d *Daemon) join(context.Context) error {
	m, err := shards.First(uuid.NewString(), shardCount, d.self)
	if err != nil {
		return err
	}
	d.adopt(m.At(1))
	return nil
}

func (d *Daemon) serving(int) bool { return true }

func (d *Daemon) configVersion() int64 { return 0 }

func (d *Daemon) configData() (int64, []byte) { return 0, nil }

type history struct{ d *Daemon }

func (history) Fresh(int, jobkey.Key, time.Time) bool { return true }

func (history) Found(int, jobkey.Key) []past.Past { return nil }

type retries struct{}

func (retries) Started(time.Time) {}

func (retries) Next(now time.Time, rng *rand.Rand, deadline time.Time) time.Time {
	at := now.Add(5*time.Millisecond + time.Duration(rng.Int64N(int64(15*time.Millisecond))))
	if at.After(deadline) {
		return deadline
	}
	return at
}
