package days

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/day"
	"persimmonstage/core/rollup"
	"persimmonstage/io/roll"
)

const (
	// batch is the number of records requested per read.
	batch = 64
	// readTimeout bounds one read of the log, catchUpTimeout all reads until the end of the log.
	readTimeout    = 5 * time.Second
	catchUpTimeout = 10 * time.Minute
	// futureDays is how many days another entry's record may be ahead of this clock.
	futureDays = 1
)

// record is a record of the stream.
type record interface {
	Offset() int64
	Data() []byte
}

// client reads the log: Read returns records from an offset on (0: the oldest), and the offset of the next append.
type client[R record] interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]R, int64, error)
}

// truncated is the error of a log that no longer has the requested offset; First returns the oldest one that it has.
type truncated interface{ First() int64 }

// reader returns the records from an offset on and the offset to read next.
type reader func(ctx context.Context, from int64) (data [][]byte, next int64, err error)

func readerOf[R record](log client[R]) reader {
	return func(ctx context.Context, from int64) ([][]byte, int64, error) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		records, _, err := log.Read(ctx, roll.Stream, from, batch, 0)
		if err != nil {
			return nil, from, err
		}
		next := from
		data := make([][]byte, 0, len(records))
		for _, r := range records {
			data = append(data, r.Data())
			next = r.Offset() + 1
		}
		return data, next, nil
	}
}

// refresh reads new records from the log, in the background if that takes long; it reports whether the read ended in time.
func (d *Days) refresh(ctx context.Context, now time.Time) bool {
	d.mu.Lock()
	if d.reading == nil {
		if now.Sub(d.asOf) < cacheTTL && !now.Before(d.asOf) {
			d.mu.Unlock()
			return true
		}
		d.start(now)
	}
	reading := d.reading
	d.mu.Unlock()
	t := time.NewTimer(maxReadWait)
	defer t.Stop()
	select {
	case <-reading:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// start starts a read; the caller holds mu.
func (d *Days) start(now time.Time) {
	// The read outlives the request that started it, so that each request doesn't restart a long read.
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	done := make(chan struct{})
	d.reading, d.cancel = done, cancel
	go func() {
		err := d.catchUp(ctx, now)
		cancel()
		d.mu.Lock()
		d.lastErr = err
		if err == nil {
			d.asOf = now
		}
		d.reading, d.cancel = nil, nil
		d.mu.Unlock()
		close(done)
	}()
}

// catchUp reads the log to its end.
func (d *Days) catchUp(ctx context.Context, now time.Time) error {
	d.mu.Lock()
	next := d.next
	d.dropOldDays(now)
	d.mu.Unlock()
	for {
		data, after, err := d.read(ctx, next)
		var truncatedErr truncated
		switch {
		case errors.As(err, &truncatedErr) && truncatedErr.First() > next:
			next = truncatedErr.First()
			continue
		case err != nil:
			return err
		case len(data) == 0:
			return nil
		}
		next = after
		d.addRecords(now, data, next)
	}
}

// addRecords decodes the records and adds them to their days.
func (d *Days) addRecords(now time.Time, data [][]byte, next int64) {
	rs := make([]*rollup.Rollup, 0, len(data))
	bad := 0
	for _, b := range data {
		r, err := rollup.Decode(b)
		if err != nil {
			bad++
			continue
		}
		rs = append(rs, r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.badRecords += int64(bad)
	d.next = next
	for _, r := range rs {
		d.add(now, r)
	}
}

// add adds r to its day, and to the day in which the loss that it states began.
func (d *Days) add(now time.Time, r *rollup.Rollup) {
	for _, at := range []time.Time{r.LostFrom, r.From} {
		if at.IsZero() || !d.keeps(now, at) {
			continue
		}
		d.dayOf(at).Add(r)
	}
}

// keeps reports whether the day of at is kept.
func (d *Days) keeps(now, at time.Time) bool {
	today := day.New(now, d.loc)
	return !at.Before(today.From().AddDate(0, 0, 1-d.kept)) && at.Before(today.To().AddDate(0, 0, futureDays))
}

// dropOldDays removes the days that are no longer kept.
func (d *Days) dropOldDays(now time.Time) {
	for name, acc := range d.days {
		if !d.keeps(now, acc.From()) {
			delete(d.days, name)
		}
	}
}
