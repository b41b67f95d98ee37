package series

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
)

// wire is the JSON form of a Series in a record.
type wire struct {
	Team        string     `json:"team"`
	Kind        string     `json:"kind"`
	Complete    int64      `json:"complete,omitempty"`
	Failed      int64      `json:"failed,omitempty"`
	Refused     int64      `json:"refused,omitempty"`
	Unknown     int64      `json:"unknown,omitempty"`
	Tasks       int64      `json:"tasks,omitempty"`
	Late        int64      `json:"late,omitempty"`
	WorstLateUS int64      `json:"worst-late-us,omitempty"`
	Suffered    []wireHarm `json:"suffered,omitempty"`
	Untimed     int64      `json:"untimed,omitempty"`
	Response    string     `json:"response,omitempty"`
	OverIdeal   string     `json:"over-ideal,omitempty"`
}

type wireHarm struct {
	Outcome ended.Outcome `json:"outcome"`
	Cause   cause.Cause   `json:"cause,omitempty"`
	Late    bool          `json:"late,omitempty"`
	Jobs    int64         `json:"jobs"`
}

// MarshalJSON encodes s in a fixed order, so that equal series have equal encodings.
func (s *Series) MarshalJSON() ([]byte, error) {
	w := wire{
		Team: s.team, Kind: s.kind, Tasks: s.tasks, Late: s.late, Untimed: s.untimed,
		Complete: s.Jobs(ended.Complete), Failed: s.Jobs(ended.Failed),
		Refused: s.Jobs(ended.Refused), Unknown: s.Jobs(ended.Unknown),
		WorstLateUS: s.worstLate.Microseconds(),
	}
	for _, c := range s.suffered {
		w.Suffered = append(w.Suffered, wireHarm{Outcome: c.Outcome, Cause: c.Cause, Late: c.Late, Jobs: c.jobs})
	}
	slices.SortFunc(w.Suffered, compareHarm)
	w.Response, w.OverIdeal = encode(s.response), encode(s.ratio)
	return json.Marshal(w)
}

// UnmarshalJSON decodes the output of MarshalJSON; it fails on a negative count or a histogram that doesn't decode.
func (s *Series) UnmarshalJSON(data []byte) error {
	var w wire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "series")
	}
	if min(w.Complete, w.Failed, w.Refused, w.Unknown, w.Tasks, w.Late, w.WorstLateUS, w.Untimed) < 0 {
		return errors.Newf("series %q %q: negative count", w.Team, w.Kind)
	}
	*s = Series{team: w.Team, kind: w.Kind, tasks: w.Tasks, late: w.Late, untimed: w.Untimed}
	s.worstLate = time.Duration(w.WorstLateUS) * time.Microsecond
	s.jobs = [outcomes]int64{w.Complete, w.Failed, w.Refused, w.Unknown}
	for _, h := range w.Suffered {
		if h.Jobs < 0 {
			return errors.Newf("series %q %q: negative count", w.Team, w.Kind)
		}
		s.addHarm(Harm{Outcome: h.Outcome, Cause: h.Cause, Late: h.Late}, h.Jobs)
	}
	var err error
	if s.response, err = decode(w.Response, highestResponse, responseDigits); err != nil {
		return errors.Wrapf(err, "series %q %q: response", w.Team, w.Kind)
	}
	if s.ratio, err = decode(w.OverIdeal, highestRatio, ratioDigits); err != nil {
		return errors.Wrapf(err, "series %q %q: over-ideal", w.Team, w.Kind)
	}
	return nil
}

func compareHarm(a, b wireHarm) int {
	late := func(h wireHarm) int {
		if h.Late {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause), cmp.Compare(late(a), late(b)))
}
