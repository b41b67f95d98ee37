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

// sent is a submission that may be made more than once; complete answers to it must be the same bytes.
type sent struct {
	path     string
	body     []byte
	deadline time.Time
	first    score.JobResult

	mu     sync.Mutex
	answer []byte
}

func (s *sent) ending() *score.JobResult {
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

// job writes a submission of the public API.
func (l *Generator) job(s *stream, due time.Time, j *mix.Job) *sent {
	sub := &sent{first: score.JobResult{Team: j.Kind.Team, Kind: j.Kind.Name, Tasks: len(j.Work)}}
	tasks := make([]taskJSON, len(j.Work))
	total := time.Duration(0)
	for i, w := range j.Work {
		total += w
		sub.first.Ideal = max(sub.first.Ideal, w)
		tasks[i].Payload = fmt.Appendf(nil, `{"work-ms":%.3f,"text":"%d/%d"}`, w.Seconds()*1000, j.Number, i)
		if l.MaxSizeError > 1 {
			off := math.Pow(l.MaxSizeError, 2*s.sizes.Float64()-1)
			tasks[i].Needs = &needsJSON{Slots: 1, MemoryMB: int(meanMemoryMB * off)}
		}
	}
	if l.Slots > 0 {
		sub.first.Floor = time.Duration(float64(total) / l.Slots)
	}
	id := fmt.Sprintf("%s-%d-%s-%d", l.run, l.Seed, j.Kind.Name, j.Number)
	sub.path = jobsPath + "/" + j.Kind.Team + "/" + id
	text, _ := json.Marshal(map[string]any{
		"id": id, "team": j.Kind.Team, "kind": j.Kind.Name, "tasks": tasks,
		"deadline": due.Add(j.Kind.Window).UTC().Format(time.RFC3339Nano),
	})
	sub.body, sub.deadline, _ = caller.FillDefaults(text, time.Now())
	return sub
}

// answerJSON is the part of an answer that the load looks at.
type answerJSON struct {
	Outcome string            `json:"outcome"`
	Reason  string            `json:"reason"`
	Cause   string            `json:"cause"`
	Results []json.RawMessage `json:"results"`
}

// submit makes a submission at one entry, and writes into e how it ended.
func (l *Generator) submit(s *sent, entry int, e *score.JobResult) {
	body, err := l.post(s, entry)
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
	if !s.same(body) {
		e.Outcome, e.Reason = partial, "answers to one submission differ"
	}
}

// same reports whether all complete answers up to now were the same.
func (s *sent) same(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil {
		s.answer = body
	}
	return bytes.Equal(s.answer, body)
}

func (l *Generator) post(s *sent, entry int) ([]byte, error) {
	return l.do(fasthttp.MethodPost, l.Entries[entry]+jobsPath, s.body, s.deadline)
}

// cancel withdraws a submission at one entry; how the job ended is what its submission is told.
func (l *Generator) cancel(s *sent, entry int) {
	_, _ = l.do(fasthttp.MethodDelete, l.Entries[entry]+s.path, nil, s.deadline)
}

func (l *Generator) do(method, target string, body []byte, deadline time.Time) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(target)
	if l.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+l.Token)
	}
	req.SetBodyRaw(body)
	if err := l.http.DoDeadline(req, resp, deadline.Add(answerSlack)); err != nil {
		return nil, err
	}
	return bytes.Clone(resp.Body()), nil
}

// errorText gives an error's kind without addresses, so that equal ones count together.
func errorText(err error) string {
	if err == fasthttp.ErrTimeout {
		return "no answer before the deadline"
	}
	return fmt.Sprintf("%T", err)
}
