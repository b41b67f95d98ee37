package digest

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Decode decodes the JSON form of a digest; it fails on one that can't be rendered.
func Decode(data []byte) (*Digest, error) {
	var d Digest
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "the account of a day")
	}
	switch {
	case d.Day == "":
		return nil, errors.New("the account of a day: day: missing")
	case !d.From.Before(d.To):
		return nil, errors.New("the account of a day: from, to: not a stretch of time")
	case len(d.Slots) == 0:
		return nil, errors.New("the account of a day: slots: missing")
	case slices.Contains(d.Suffered, nil), slices.Contains(d.Reasons, nil), slices.Contains(d.CallerCaused, nil):
		return nil, errors.New("the account of a day: null in a list")
	}
	for _, w := range d.Suffered {
		if slices.Contains(w.Reasons, nil) {
			return nil, errors.New("the account of a day: null in a list")
		}
	}
	return &d, nil
}
