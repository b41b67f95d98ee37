package rollup

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// A record is gzipped JSON: the names of teams, kinds and keys repeat in each series, and compressing the whole record at
// the fastest level takes a hundredth of the time of compressing each histogram.

// maxJSON bounds the decompressed size of a record in bytes.
const maxJSON = 16 << 20

// Encode returns the encoded form of r for the log; equal records have equal encodings.
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

// Decode decodes the output of Encode; it fails on a record that is malformed, too large, without an incarnation
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
