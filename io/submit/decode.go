package submit

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/limits"
	"persimmonstage/core/needs"
	"persimmonstage/core/task"
)

const (
	statusMalformed = 400
	statusTooLarge  = 413
)

// request is a submission as sent. Payloads stay base64 until all sizes are checked, so an oversized job costs one scan.
type request struct {
	ID       string    `json:"id"`
	Team     string    `json:"team"`
	Kind     string    `json:"kind"`
	Issued   string    `json:"issued"`
	Deadline string    `json:"deadline"`
	Tasks    []reqTask `json:"tasks"`
}

type reqTask struct {
	Payload *string       `json:"payload"`
	Needs   *needs.Vector `json:"needs"`
}

// Decode parses a submission and checks it against the limits, and its times against now; the error is an *Error.
func Decode(body []byte, lim limits.Limits, now time.Time) (*job.Job, error) {
	if len(body) > lim.BodyBytes {
		return nil, &Error{
			field: "body", reason: fmt.Sprintf("%d bytes", len(body)),
			limit: strconv.Itoa(lim.BodyBytes), status: statusTooLarge,
		}
	}
	var r request
	if err := parse(body, &r); err != nil {
		return nil, err
	}
	if err := r.checkNames(lim); err != nil {
		return nil, err
	}
	if err := r.checkSizes(lim); err != nil {
		return nil, err
	}
	j := &job.Job{Key: jobkey.Key{Team: r.Team, ID: r.ID}, Kind: r.Kind}
	if err := r.parseTimes(j, lim, now); err != nil {
		return nil, err
	}
	if err := r.decodeTasks(j, lim); err != nil {
		return nil, err
	}
	return j, nil
}

func (r *request) checkNames(lim limits.Limits) error {
	for _, f := range []struct{ field, value string }{{"id", r.ID}, {"team", r.Team}, {"kind", r.Kind}} {
		if err := checkName(f.field, f.value, lim.NameBytes); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, value string, limit int) error {
	if value == "" {
		return &Error{field: field, reason: "missing", status: statusMalformed}
	}
	if len(value) > limit {
		return &Error{
			field: field, reason: fmt.Sprintf("%d bytes", len(value)),
			limit: strconv.Itoa(limit), status: statusMalformed,
		}
	}
	for _, c := range value {
		if c <= ' ' || c > '~' || c == '/' {
			return &Error{field: field, reason: fmt.Sprintf("character %q is not allowed", c), status: statusMalformed}
		}
	}
	return nil
}

func (r *request) checkSizes(lim limits.Limits) error {
	if len(r.Tasks) == 0 {
		return &Error{field: "tasks", reason: "missing", limit: "at least 1", status: statusMalformed}
	}
	if len(r.Tasks) > lim.TasksPerJob {
		return &Error{
			field: "tasks", reason: fmt.Sprintf("%d tasks", len(r.Tasks)),
			limit: strconv.Itoa(lim.TasksPerJob), status: statusTooLarge,
		}
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].checkSize(i, lim); err != nil {
			return err
		}
	}
	return nil
}

func (t *reqTask) checkSize(i int, lim limits.Limits) error {
	field := fmt.Sprintf("tasks[%d].", i)
	if t.Payload == nil {
		return &Error{field: field + "payload", reason: "missing", status: statusMalformed}
	}
	if n := base64.StdEncoding.DecodedLen(len(*t.Payload)); n > lim.PayloadBytes+base64Slack {
		return payloadTooLarge(field, n, lim)
	}
	if t.Needs == nil {
		t.Needs = &needs.Vector{Slots: 1}
	}
	if name := t.Needs.FirstNegative(); name != "" {
		return &Error{field: field + "needs." + name, reason: "negative", limit: "at least 0", status: statusMalformed}
	}
	if name := t.Needs.FirstExceeding(maxNeeds); name != "" {
		return &Error{
			field: field + "needs." + name, reason: strconv.Itoa(t.Needs.Amount(name)),
			limit: strconv.Itoa(maxNeed), status: statusMalformed,
		}
	}
	if *t.Needs == (needs.Vector{}) {
		return &Error{field: field + "needs", reason: "nothing is needed", limit: "at least 1 of something", status: statusMalformed}
	}
	return nil
}

// maxNeed keeps each dimension, and its sum over a job, within the integers of the protocol between processes.
const maxNeed = math.MaxInt32

var maxNeeds = needs.Vector{Slots: maxNeed, Cores: maxNeed, MemoryMB: maxNeed, Accelerators: maxNeed}

// base64Slack is how many bytes DecodedLen may exceed the true length by, because of padding.
const base64Slack = 2

// epoch is the earliest issue time; far earlier ones would overflow the protocol's nanoseconds and decode as later times.
var epoch = time.Unix(0, 0).UTC()

func (r *request) parseTimes(j *job.Job, lim limits.Limits, now time.Time) error {
	var err error
	if j.Issued, err = parseTime("issued", r.Issued); err != nil {
		return err
	}
	if j.Deadline, err = parseTime("deadline", r.Deadline); err != nil {
		return err
	}
	if j.Issued.Before(epoch) {
		return &Error{
			field: "issued", reason: j.Issued.Format(time.RFC3339), limit: "at least " + epoch.Format(time.RFC3339),
			status: statusMalformed,
		}
	}
	if j.Issued.After(now.Add(lim.IssuedSkew)) {
		return &Error{
			field: "issued", reason: "in the future by " + j.Issued.Sub(now).Round(time.Millisecond).String(),
			limit: lim.IssuedSkew.String(), status: statusMalformed,
		}
	}
	if !j.Deadline.After(now) {
		return &Error{field: "deadline", reason: "expired", status: statusMalformed, mayHaveRun: true}
	}
	if j.Deadline.After(now.Add(lim.MaxDeadline)) {
		return &Error{
			field: "deadline", reason: "too far ahead: " + j.Deadline.Sub(now).Round(time.Second).String(),
			limit: lim.MaxDeadline.String(), status: statusMalformed,
		}
	}
	return nil
}

func parseTime(field, value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, &Error{field: field, reason: "missing", status: statusMalformed}
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return time.Time{}, &Error{field: field, reason: strconv.Quote(value) + " is not an RFC 3339 time", status: statusMalformed}
	}
	return t, nil
}

func (r *request) decodeTasks(j *job.Job, lim limits.Limits) error {
	j.Tasks = make([]task.Task, len(r.Tasks))
	for i := range r.Tasks {
		payload, err := base64.StdEncoding.DecodeString(*r.Tasks[i].Payload)
		if err != nil {
			return &Error{field: fmt.Sprintf("tasks[%d].payload", i), reason: "not base64: " + err.Error(), status: statusMalformed}
		}
		if len(payload) > lim.PayloadBytes {
			return payloadTooLarge(fmt.Sprintf("tasks[%d].", i), len(payload), lim)
		}
		j.Tasks[i] = task.Task{Payload: payload, Needs: *r.Tasks[i].Needs}
	}
	return nil
}

func payloadTooLarge(field string, n int, lim limits.Limits) error {
	return &Error{
		field: field + "payload", reason: fmt.Sprintf("%d bytes", n),
		limit: strconv.Itoa(lim.PayloadBytes), status: statusTooLarge,
	}
}
