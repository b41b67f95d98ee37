package answer

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"
)

// Outcomes that an answer can carry.
const (
	Complete = "complete"
	Failed   = "failed"
	Refused  = "refused"
	Unknown  = "unknown"
)

// HTTP statuses that an answer can carry.
const (
	StatusOK          = 200
	StatusMalformed   = 400
	StatusConflict    = 409
	StatusTooMany     = 429
	StatusUnavailable = 503
	StatusUnknown     = 504
)

// Answer is the answer to a submission; equal answers have equal encodings.
type Answer struct {
	Status  int
	Outcome string
	ID      string
	Reason  string
	Cause   string
	// NotRun means that nothing was run; it is part of the body only if NotRunKnown is set.
	NotRun      bool
	NotRunKnown bool
	RetryAfter  time.Duration
	Results     [][]byte
	// NotOwner means that another entry owns the shard; it is sent to entries only, never to a caller.
	NotOwner bool
}

type body struct {
	Outcome      string   `json:"outcome"`
	ID           string   `json:"id,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	Cause        string   `json:"cause,omitempty"`
	NotRun       *bool    `json:"not-run,omitempty"`
	RetryAfterMS int64    `json:"retry-after-ms,omitempty"`
	Results      [][]byte `json:"results,omitempty"`
}

// Body returns the JSON body.
func (a *Answer) Body() []byte {
	b := body{Outcome: a.Outcome, ID: a.ID, Reason: a.Reason, Cause: a.Cause, Results: a.Results}
	b.Results = replaceNil(a.Results)
	b.RetryAfterMS = a.RetryAfter.Milliseconds()
	if a.NotRunKnown {
		b.NotRun = &a.NotRun
	}
	out, err := json.Marshal(&b)
	if err != nil {
		return []byte(`{"outcome":"unknown","reason":` + strconv.Quote(err.Error()) + `}`)
	}
	return out
}

// replaceNil returns a copy of results with nil replaced by an empty result, since JSON would encode nil as null.
func replaceNil(results [][]byte) [][]byte {
	out := slices.Clone(results)
	for i := range out {
		if out[i] == nil {
			out[i] = []byte{}
		}
	}
	return out
}

// Refusal returns the answer to a job that was refused and not run; status must be one for refusals.
func Refusal(status int, id, reason, cause string, retryAfter time.Duration) Answer {
	return Answer{
		Status: status, Outcome: Refused, ID: id, Reason: reason, Cause: cause,
		NotRun: true, NotRunKnown: true, RetryAfter: retryAfter,
	}
}

// Conflict returns the answer to an id already used with different content; it reveals nothing of the other submission.
func Conflict(id string) Answer {
	return Refusal(StatusConflict, id, "id: the same id was submitted with different content", "", 0)
}

// Uncertain returns the answer to a submission that may have run.
func Uncertain(id, reason, cause string) Answer {
	return Answer{Status: StatusUnknown, Outcome: Unknown, ID: id, Reason: reason, Cause: cause}
}

// Failure returns the answer to a job that ended without all of its results.
func Failure(id, reason, cause string, notRun bool) Answer {
	return Answer{
		Status: StatusOK, Outcome: Failed, ID: id, Reason: reason, Cause: cause,
		NotRun: notRun, NotRunKnown: true,
	}
}

// Success returns the answer to a complete job, with one result per task in the order of the submission.
func Success(id string, results [][]byte) Answer {
	return Answer{Status: StatusOK, Outcome: Complete, ID: id, Results: results}
}

// OtherOwner returns the answer to an entry that another entry owns the shard.
func OtherOwner() Answer {
	return Answer{NotOwner: true}
}
