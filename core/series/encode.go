package series

import (
	"strconv"
	"strings"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// A histogram is encoded as the list of its buckets, step or step*count separated by commas, where step is the difference
// from the value of the previous bucket, at first from zero. The library's own encoding is not used: it sets up a
// compressor for each histogram, which for the few buckets of a minute costs a hundred times as much as the list.

func encode(h *hdr.PackedHistogram) string {
	if h == nil {
		return ""
	}
	var b []byte
	var last int64
	h.ForEachBucket(func(value, count int64) bool {
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, value-last, 10)
		last = value
		if count != 1 {
			b = append(b, '*')
			b = strconv.AppendInt(b, count, 10)
		}
		return true
	})
	return string(b)
}

// decode decodes a list of buckets; an empty list gives nil.
func decode(text string, highest int64, digits int) (*hdr.PackedHistogram, error) {
	if text == "" {
		return nil, nil
	}
	h := hdr.NewPacked(1, highest, digits)
	var value int64
	for bucket := range strings.SplitSeq(text, ",") {
		step, n, err := parseBucket(bucket)
		if err != nil {
			return nil, err
		}
		if step > highest-value {
			return nil, errors.Newf("histogram bucket %q: beyond %d", bucket, highest)
		}
		value += step
		if err := h.RecordValues(value, n); err != nil {
			return nil, errors.Wrapf(err, "histogram bucket %q", bucket)
		}
	}
	return h, nil
}

func parseBucket(bucket string) (step, n int64, err error) {
	first, count, counted := strings.Cut(bucket, "*")
	step, err = strconv.ParseInt(first, 10, 64)
	if err != nil || step < 0 {
		return 0, 0, errors.Newf("histogram bucket %q: not a step of 0 or more", bucket)
	}
	if !counted {
		return step, 1, nil
	}
	n, err = strconv.ParseInt(count, 10, 64)
	if err != nil || n < 1 {
		return 0, 0, errors.Newf("histogram bucket %q: not a positive count", bucket)
	}
	return step, n, nil
}
