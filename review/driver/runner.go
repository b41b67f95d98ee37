//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax  = time.Second             // hold-max-ms
	stopTime = 40 * time.Millisecond   // at most stop-ms = 50
	beatTime = 1500 * time.Millisecond // heartbeat-ms
)

// life is one life of a runner: what a boot of it holds and knows.
type life struct {
	born     int64
	began    time.Time
	kind     string
	cpu      int
	token    int64
	leaseEnd time.Time
	running  map[string]*run
	ended    map[string]int
	finished [][]any
	index    int
	changed  chan struct{}
	sequence int64
	draining bool
	cancel   context.CancelFunc
	server   *http.Server
}

type run struct {
	number int
	from   time.Time
	work   time.Duration
	cpu    int
}

// runner is the stand-in of the runner on a side machine.
type runner struct {
	w       *world
	name    string
	id      string
	addr    string
	control string // the agent's address for heartbeats
	guards  bool
	mu      sync.Mutex
	life    *life
}

// boot starts a life: it serves, and sends a heartbeat at once and then one each heartbeat-ms.
func (r *runner) boot(kind string, cpu int) error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		born: time.Now().UnixMilli(), began: time.Now(), kind: kind, cpu: cpu, running: map[string]*run{}, ended: map[string]int{},
		changed: make(chan struct{}), cancel: cancel,
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(l, w, q) })}
	r.mu.Lock()
	r.life = l
	r.mu.Unlock()
	r.w.log("runner %s (%s) starts: born %d, kind %s, cpu %d", r.name, r.id, l.born, kind, cpu)
	go func() { _ = l.server.Serve(ln) }()
	go r.beats(ctx, l)
	return nil
}

// crash ends the present life: everything that runs on it is gone, and its port is closed.
func (r *runner) crash() {
	r.mu.Lock()
	l := r.life
	r.life = nil
	for task, u := range l.running {
		r.w.ended(task, u.number, r.name, "crashed")
	}
	l.running = map[string]*run{}
	r.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	r.w.log("runner %s crashes", r.name)
}

func (r *runner) drain() {
	r.mu.Lock()
	r.life.draining = true
	l := r.life
	r.mu.Unlock()
	r.beat(l)
}

func (r *runner) beats(ctx context.Context, l *life) {
	for ctx.Err() == nil {
		r.beat(l)
		select {
		case <-time.After(beatTime):
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat of a life, and records its ack if the runner drains.
func (r *runner) beat(l *life) {
	r.mu.Lock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "addr": r.addr, "zone": zone, "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
		"capacity": map[string]any{"cpu": l.cpu, "mem-mb": 131072, "gpu": 0}, "labels": []string{l.kind, "r1"},
		"server-time-ms": l.clock(), "sequence": l.sequence, "born": l.born,
	})
	sequence := l.sequence
	r.mu.Unlock()
	status := postBeat(r.control, r.id, body)
	if state == "draining" || status != http.StatusOK {
		r.w.log("runner %s: heartbeat %d (%s): status %d", r.name, sequence, state, status)
	}
	if state == "draining" && status == http.StatusOK {
		r.w.drained(r.name)
	}
}

// postBeat sends a heartbeat and returns the status of the answer, 0 if there is none within a second.
func postBeat(control, id string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/api/instances/"+id+"/heartbeat", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// clock is the runner's steady clock.
func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"deadline-ms"`
	Token int64  `json:"fencing-token"`
	Ack   int    `json:"ack-index"`
	Wait  int64  `json:"wait-ms"`
}

func (r *runner) serve(l *life, w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("X-Persimmonstage-Instance-Id", r.id)
		return
	}
	if id := q.Header.Get("X-Persimmonstage-Target-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if r.life != l {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.expire(l)
	reason := ""
	if c.Token < l.token {
		reason = "fence"
	} else {
		l.token = c.Token
		r.extend(l, c.Until)
		switch q.URL.Path {
		case "/api/run-start":
			reason = r.start(l, &c)
		case "/api/run-stop":
			r.stop(l, c.Task, c.Run)
		case "/api/hold":
			for len(l.finished) > 0 && l.finished[0][0].(int) <= c.Ack {
				l.finished = l.finished[1:]
			}
		}
	}
	changed, waits := l.changed, q.URL.Path == "/api/hold" && reason == "" && len(l.finished) == 0 && c.Wait > 0
	r.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
	}
	r.answer(l, w, reason)
}

func (r *runner) answer(l *life, w http.ResponseWriter, reason string) {
	r.mu.Lock()
	if r.life != l {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"server-time-ms": l.clock(), "born": l.born}
	if reason != "" {
		body["reason"] = reason
	} else {
		running := [][]any{}
		for task, u := range l.running {
			running = append(running, []any{task, u.number, "", min(99, int(100*time.Since(u.from)/max(1, u.work))), u.cpu})
		}
		body["running"], body["finished"] = running, append([][]any{}, l.finished...)
	}
	r.mu.Unlock()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write(data)
}

// extend lengthens the lease, to at most hold-max-ms from now.
func (r *runner) extend(l *life, until int64) {
	at := l.began.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(holdMax); at.After(latest) {
		at = latest
	}
	if until == 0 || !at.After(l.leaseEnd) {
		return
	}
	l.leaseEnd = at
	time.AfterFunc(time.Until(at)+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expire(l)
	})
}

func (r *runner) expire(l *life) {
	if r.life != l || time.Now().Before(l.leaseEnd) {
		return
	}
	for task := range l.running {
		r.end(l, task, "lapsed")
	}
}

func (l *life) used() int {
	n := 0
	for _, u := range l.running {
		n += u.cpu
	}
	return n
}

func (r *runner) start(l *life, c *call) string {
	if u := l.running[c.Task]; u != nil {
		if u.number == c.Run {
			return ""
		}
		return "old"
	}
	if c.Run <= l.ended[c.Task] {
		return "old"
	}
	if time.Now().After(l.leaseEnd) {
		return "late"
	}
	ms, cpu := parseSpec(c.Spec)
	if r.guards && l.used()+cpu > l.cpu {
		return "room"
	}
	u := &run{number: c.Run, from: time.Now(), work: time.Duration(ms) * time.Millisecond, cpu: cpu}
	l.running[c.Task] = u
	r.w.started(c.Task, c.Run, c.Spec, r.name, l.kind, l.used(), l.cpu)
	time.AfterFunc(u.work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expire(l)
		if r.life == l && l.running[c.Task] == u {
			r.end(l, c.Task, "done")
		}
	})
	return ""
}

// stop ends a run after stopTime, and makes later starts of it or of lower ones be rejected.
func (r *runner) stop(l *life, task string, number int) {
	l.ended[task] = max(l.ended[task], number)
	u := l.running[task]
	if u == nil || u.number > number {
		return
	}
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == l && l.running[task] == u {
			r.end(l, task, "stopped")
		}
	})
}

func (r *runner) end(l *life, task, how string) {
	u := l.running[task]
	delete(l.running, task)
	l.ended[task] = max(l.ended[task], u.number)
	l.index++
	l.finished = append(l.finished, []any{l.index, task, u.number, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
	r.w.ended(task, u.number, r.name, how)
}

// parseSpec reads "ms=N cpu=N label=L n=N".
func parseSpec(spec string) (ms, cpu int) {
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, err := strconv.Atoi(v)
		if err != nil && !errors.Is(err, strconv.ErrSyntax) {
			panic(fmt.Sprint("spec: ", spec))
		}
		switch k {
		case "ms":
			ms = n
		case "cpu":
			cpu = n
		}
	}
	return ms, cpu
}
