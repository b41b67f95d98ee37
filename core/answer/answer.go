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

// Answer is the end of a request as its caller sees it; equal answers encode to the same bytes.
type Answer struct {
	Status  int
	Outcome string
	ID      string
	Reason  string
	Cause   string
	// NotRun is said only when it is known; see NotRunKnown.
	NotRun      bool
	NotRunKnown bool
	RetryAfter  time.Duration
	Results     [][]byte
	// NotOwner tells an entry, never a caller, that another entry owns the shard.
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

// Body gives the JSON body.
func (a *Answer) Body() []byte {
	b := body{Outcome: a.Outcome, ID: a.ID, Reason: a.Reason, Cause: a.Cause, Results: a.Results}
	b.Results = present(a.Results)
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

// present gives an empty result in place of nil, which JSON would write as null.
func present(results [][]byte) [][]byte {
	out := slices.Clone(results)
	for i := range out {
		if out[i] == nil {
			out[i] = []byte{}
		}
	}
	return out
}

// Refusal gives an answer that says not run; status is one of the statuses that refuse.
func Refusal(status int, id, reason, cause string, retryAfter time.Duration) Answer {
	return Answer{
		Status: status, Outcome: Refused, ID: id, Reason: reason, Cause: cause,
		NotRun: true, NotRunKnown: true, RetryAfter: retryAfter,
	}
}

// Conflict gives the answer to an id that is already taken by other content; it says nothing of that other submission.
func Conflict(id string) Answer {
	return Refusal(StatusConflict, id, "id: the same id was submitted with different content", "", 0)
}

// Uncertain gives the answer of a submission that may have run.
func Uncertain(id, reason, cause string) Answer {
	return Answer{Status: StatusUnknown, Outcome: Unknown, ID: id, Reason: reason, Cause: cause}
}

// Failure gives the answer of a job that ended without a whole answer.
func Failure(id, reason, cause string, notRun bool) Answer {
	return Answer{
		Status: StatusOK, Outcome: Failed, ID: id, Reason: reason, Cause: cause,
		NotRun: notRun, NotRunKnown: true,
	}
}

// Success gives the whole answer of a job, one result per task in the order of the submission.
func Success(id string, results [][]byte) Answer {
	return Answer{Status: StatusOK, Outcome: Complete, ID: id, Results: results}
}

// OtherOwner gives the answer between entries that the shard is owned by another.
func OtherOwner() Answer {
	return Answer{NotOwner: true}
}
