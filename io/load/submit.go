package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/caller"
)

const (
	meanMemoryMB = 1024
	answerSlack  = 2 * time.Second
	partial      = "partial"
	jobsPath     = "/v1/jobs"
)

// submission is a job that may be submitted more than once; all complete answers to it must have the same bytes.
type submission struct {
	path     string
	body     []byte
	deadline time.Time
	first    score.JobResult

	mu     sync.Mutex
	answer []byte
}

func (s *submission) newResult() *score.JobResult {
	e := s.first
	return &e
}

type taskJSON struct {
	Payload []byte     `json:"payload"`
	Needs   *needsJSON `json:"needs,omitempty"`
}

type needsJSON struct {
	Slots    int `json:"slots"`
	MemoryMB int `json:"memory-mb"`
}

// newSubmission encodes a job for the public API.
func (g *Generator) newSubmission(s *stream, due time.Time, j *mix.Job) *submission {
	sub := &submission{first: score.JobResult{Team: j.Kind.Team, Kind: j.Kind.Name, Tasks: len(j.Work)}}
	tasks := make([]taskJSON, len(j.Work))
	total := time.Duration(0)
	for i, w := range j.Work {
		total += w
		sub.first.Ideal = max(sub.first.Ideal, w)
		tasks[i].Payload = fmt.Appendf(nil, `{"work-ms":%.3f,"text":"%d/%d"}`, w.Seconds()*1000, j.Number, i)
		if g.MaxSizeError > 1 {
			off := math.Pow(g.MaxSizeError, 2*s.sizes.Float64()-1)
			tasks[i].Needs = &needsJSON{Slots: 1, MemoryMB: int(meanMemoryMB * off)}
		}
	}
	if g.Slots > 0 {
		sub.first.Floor = time.Duration(float64(total) / g.Slots)
	}
	id := fmt.Sprintf("%s-%d-%s-%d", g.run, g.Seed, j.Kind.Name, j.Number)
	sub.path = jobsPath + "/" + j.Kind.Team + "/" + id
	text, _ := json.Marshal(map[string]any{
		"id": id, "team": j.Kind.Team, "kind": j.Kind.Name, "tasks": tasks,
		"deadline": due.Add(j.Kind.Window).UTC().Format(time.RFC3339Nano),
	})
	sub.body, sub.deadline, _ = caller.FillDefaults(text, time.Now())
	return sub
}

// answerJSON holds the fields of an answer that the load evaluates.
type answerJSON struct {
	Outcome string            `json:"outcome"`
	Reason  string            `json:"reason"`
	Cause   string            `json:"cause"`
	Results []json.RawMessage `json:"results"`
}

// submit sends a submission to one entry and stores the outcome in e.
func (g *Generator) submit(s *submission, entry int, e *score.JobResult) {
	body, err := g.post(s, entry)
	if err != nil {
		e.Outcome, e.Reason = score.Lost, errorText(err)
		return
	}
	var a answerJSON
	if err := json.Unmarshal(body, &a); err != nil {
		e.Outcome, e.Reason = score.Lost, "answer is not JSON"
		return
	}
	e.Outcome, e.Reason = a.Outcome, a.Cause
	if e.Reason == "" {
		e.Reason = a.Reason
	}
	if a.Outcome != score.Complete {
		return
	}
	if len(a.Results) != e.Tasks {
		e.Outcome, e.Reason = partial, fmt.Sprintf("%d of %d results", len(a.Results), e.Tasks)
		return
	}
	if !s.sameAnswer(body) {
		e.Outcome, e.Reason = partial, "answers to one submission differ"
	}
}

// sameAnswer reports whether body equals the first complete answer.
func (s *submission) sameAnswer(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil {
		s.answer = body
	}
	return bytes.Equal(s.answer, body)
}

func (g *Generator) post(s *submission, entry int) ([]byte, error) {
	return g.do(fasthttp.MethodPost, g.Entries[entry]+jobsPath, s.body, s.deadline)
}

// cancel cancels a submission at one entry; the job's outcome is in the answer to the submission.
func (g *Generator) cancel(s *submission, entry int) {
	_, _ = g.do(fasthttp.MethodDelete, g.Entries[entry]+s.path, nil, s.deadline)
}

func (g *Generator) do(method, target string, body []byte, deadline time.Time) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(target)
	if g.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+g.Token)
	}
	req.SetBodyRaw(body)
	if err := g.http.DoDeadline(req, resp, deadline.Add(answerSlack)); err != nil {
		return nil, err
	}
	return bytes.Clone(resp.Body()), nil
}

// errorText returns an error's type without addresses, so that equal errors are counted together.
func errorText(err error) string {
	if err == fasthttp.ErrTimeout {
		return "no answer before the deadline"
	}
	return fmt.Sprintf("%T", err)
}
