package rollup

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// A record is JSON under gzip: the names of teams, kinds and keys come again with each account, and compressing the
// whole record at the least effort takes a hundredth of the time that compressing each histogram does.

// maxJSON bounds what a record may unpack to, in bytes.
const maxJSON = 16 << 20

// Encode returns the bytes of r for the log; the same record gives the same bytes.
func (r *Rollup) Encode() ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "encode roll-up")
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return nil, errors.Wrapf(err, "encode roll-up %s", r.ID())
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrapf(err, "encode roll-up %s", r.ID())
	}
	return b.Bytes(), nil
}

// Decode reads what Encode wrote; it fails on a record that is garbled, too large, without an incarnation,
// or longer than a day.
func Decode(data []byte) (*Rollup, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decode roll-up")
	}
	text, err := io.ReadAll(io.LimitReader(zr, maxJSON+1))
	if err != nil {
		return nil, errors.Wrap(err, "decode roll-up")
	}
	if len(text) > maxJSON {
		return nil, errors.Newf("decode roll-up: unpacks to more than %d bytes", maxJSON)
	}
	var r Rollup
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, errors.Wrap(err, "decode roll-up")
	}
	return &r, errors.Wrap(r.check(), "decode roll-up")
}

const maxLength = 24 * time.Hour

func (r *Rollup) check() error {
	switch {
	case r.Incarnation == "":
		return errors.New("incarnation: missing")
	case r.From.IsZero() || r.To.Before(r.From) || r.To.Sub(r.From) > maxLength:
		return errors.New("from, to: not a stretch of at most a day")
	case min(r.Overdue, r.EventsLost, r.LostJobs) < 0:
		return errors.New("overdue, events-lost, lost-jobs: negative count")
	}
	for _, s := range r.Series {
		if s == nil {
			return errors.New("series: null")
		}
	}
	return nil
}
