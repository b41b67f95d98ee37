//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax = 1000 * time.Millisecond
	stopMax = 50 * time.Millisecond
)

// kind is what a runner tells of itself besides its address.
type kind struct {
	service    string
	labels     []string
	cpu, memMB int
	guards     bool
}

// run is one run of a task at a runner.
type run struct {
	task   string
	number int64
	spec   string
	runner *runner
	boot   int
	kind   kind
	from   time.Time
	to     time.Time // zero until its end
	how    string
	timer  *time.Timer
	work   time.Duration
	cpu    int
	fails  bool
}

// runner is a stand-in for a runner of the platform. It does what PROTOCOL.md says of runners.
type runner struct {
	rec       *record
	name, id  string
	addr      string // app
	heartbeat string // control, of the daemon on its machine
	mu        sync.Mutex
	kind      kind
	boot      int
	bornMS    int64
	bornAt    time.Time
	up        bool
	ln        net.Listener
	conns     map[net.Conn]bool
	token     int64
	leaseEnd  time.Time
	leaseTick *time.Timer
	running   map[string]*run
	highest   map[string]int64 // run stopped or ended
	finished  [][]any
	index     int64
	changed   chan struct{}
	sequence  int64
	state     string
	drainedAt time.Time // when its drain was acknowledged
	manual    bool      // it sends no heartbeats by itself
	hang      bool      // it leaves all calls unanswered
	lateX     float64   // share of the orders that are left unanswered and carried out 2 to 12 s later
	loseX     float64   // share of the answers that are lost
	slowX     float64   // share of the calls that are carried out, or answered, up to 300 ms late
	rng       *rand.Rand
}

func newRunner(rec *record, name, addr, heartbeat string, k kind, seed uint64) *runner {
	r := &runner{rec: rec, name: name, id: "i-" + name, addr: addr, heartbeat: heartbeat, kind: k, rng: rand.New(rand.NewPCG(seed, 77))}
	r.start()
	go r.beats()
	return r
}

// start boots the runner: it holds and knows nothing of before.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		return
	}
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.rec.logf("runner %s can't listen: %v", r.name, err)
		return
	}
	r.boot++
	r.up, r.ln, r.conns = true, ln, map[net.Conn]bool{}
	r.bornAt = time.Now()
	r.bornMS = r.bornAt.UnixMilli()
	r.token, r.leaseEnd, r.index, r.sequence = 0, time.Time{}, 0, 0
	r.running, r.highest, r.finished = map[string]*run{}, map[string]int64{}, nil
	r.changed, r.state, r.drainedAt = make(chan struct{}), "ready", time.Time{}
	boot := r.boot
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(boot, w, q) }),
		ConnState: func(c net.Conn, st http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.boot != boot {
				return
			}
			if st == http.StateClosed {
				delete(r.conns, c)
			} else if r.up {
				r.conns[c] = true
			}
		},
	}
	go func() { _ = server.Serve(ln) }()
	if !r.manual {
		go r.beat()
	}
}

// crash ends the runner without a word; its channels are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	_ = r.ln.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	now := time.Now()
	for _, u := range r.running {
		u.to, u.how = now, "crashed"
		u.timer.Stop()
		r.rec.ended(u)
	}
	r.running = map[string]*run{}
}

// clockRate is the rate of the runners' clocks: they may be 2 % slow.
var clockRate = 1.0

func (r *runner) clock() int64 { return int64(clockRate*float64(time.Since(r.bornAt))/1e6) + 1 }

func (r *runner) beats() {
	for {
		time.Sleep(1500 * time.Millisecond)
		r.mu.Lock()
		manual := r.manual
		r.mu.Unlock()
		if !manual {
			r.beat()
		}
	}
}

// leave drains the runner, which then leaves and is replaced by another at the same address or at a new one.
func (r *runner) leave(serve time.Duration, newAddr bool) {
	r.mu.Lock()
	r.state = "draining"
	boot := r.boot
	r.mu.Unlock()
	at := r.beat()
	r.mu.Lock()
	if r.boot == boot {
		r.drainedAt = at
	}
	r.mu.Unlock()
	r.rec.logf("%s drains, acknowledged: %v", r.name, !at.IsZero())
	time.Sleep(serve)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := c.Post("http://"+r.heartbeat+"/api/instances/"+r.id+"/leave", "application/json", nil); err == nil {
		resp.Body.Close()
	}
	r.crash()
	time.Sleep(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
	r.mu.Lock()
	r.id += "x"
	if newAddr {
		host, _, _ := net.SplitHostPort(r.addr)
		r.addr = freeAddr(host)
	}
	r.mu.Unlock()
	r.start()
}

// beat sends a heartbeat and returns when it was acknowledged, the zero time if it wasn't.
func (r *runner) beat() time.Time {
	if body := r.newBeat(); body != nil {
		return r.sendBeat(body)
	}
	return time.Time{}
}

// newBeat returns the next heartbeat, nil if the runner is down.
func (r *runner) newBeat() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return nil
	}
	r.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": r.kind.service, "addr": r.addr, "zone": "z", "version": "v1", "slots": 8, "state": r.state, "cold-remaining-ms": 0,
		"capacity": map[string]int{"cpu": r.kind.cpu, "mem-mb": r.kind.memMB, "gpu": 0}, "labels": r.kind.labels,
		"server-time-ms": r.clock(), "sequence": r.sequence, "born": r.bornMS,
	})
	return body
}

// sendBeat sends a heartbeat and returns when it was acknowledged, the zero time if it wasn't.
func (r *runner) sendBeat(body []byte) time.Time {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+r.heartbeat+"/api/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		r.rec.logf("heartbeat of %s: %s", r.name, resp.Status)
		return time.Time{}
	}
	return time.Now()
}

type call struct {
	Task       string  `json:"task"`
	Run        int64   `json:"run"`
	Spec       string  `json:"spec"`
	Deadline   int64   `json:"deadline-ms"`
	Token      int64   `json:"fencing-token"`
	Ack        int64   `json:"ack-index"`
	Wait       int64   `json:"wait-ms"`
	Checkpoint *string `json:"checkpoint"`
}

func (r *runner) serve(boot int, w http.ResponseWriter, q *http.Request) {
	var c call
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	slow := func() {
		r.mu.Lock()
		d := time.Duration(0)
		if r.rng.Float64() < r.slowX {
			d = time.Duration(r.rng.Float64() * r.rng.Float64() * float64(300*time.Millisecond))
		}
		r.mu.Unlock()
		time.Sleep(d)
	}
	slow()
	r.mu.Lock()
	if r.boot != boot || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := q.Header.Get("X-Persimmonstage-Target-Instance"); want != "" && want != r.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.hang {
		r.mu.Unlock()
		<-q.Context().Done()
		return
	}
	order := q.URL.Path == "/api/run-start" || q.URL.Path == "/api/run-stop"
	if order && r.rng.Float64() < r.lateX {
		delay := 2*time.Second + time.Duration(r.rng.Float64()*float64(10*time.Second))
		time.AfterFunc(delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.boot == boot && r.up {
				r.do(q.URL.Path, &c)
			}
		})
		r.mu.Unlock()
		<-q.Context().Done()
		return
	}
	lost := r.rng.Float64() < r.loseX
	status, reason := r.do(q.URL.Path, &c)
	wait := q.URL.Path == "/api/hold" && status == http.StatusOK && len(r.finished) == 0 && c.Wait > 0
	changed := r.changed
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	if lost {
		<-q.Context().Done()
		return
	}
	r.mu.Lock()
	if r.boot != boot || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"server-time-ms": r.clock(), "born": r.bornMS}
	if reason != "" {
		body["reason"] = reason
	}
	if q.URL.Path == "/api/hold" && status == http.StatusOK {
		running := [][]any{}
		for _, u := range r.running {
			percent := 0
			if u.work > 0 {
				percent = int(min(99, 100*time.Since(u.from)/u.work))
			}
			running = append(running, []any{u.task, u.number, "", percent, u.cpu})
		}
		body["running"] = running
		body["finished"] = append([][]any{}, r.finished[:min(500, len(r.finished))]...)
	}
	r.mu.Unlock()
	slow()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// do carries out a call; r.mu is held.
func (r *runner) do(path string, c *call) (int, string) {
	if c.Token < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = c.Token
	switch path {
	case "/api/run-start":
		return r.startRun(c)
	case "/api/run-stop":
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if u := r.running[c.Task]; u != nil && u.number <= c.Run {
			time.AfterFunc(time.Duration(r.rng.Float64()*float64(stopMax)), func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(u, "stopped", time.Now())
			})
		}
		return http.StatusOK, ""
	case "/api/hold":
		for len(r.finished) > 0 && r.finished[0][0].(int64) <= c.Ack {
			r.finished = r.finished[1:]
		}
		r.extend(c.Deadline)
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

func (r *runner) startRun(c *call) (int, string) {
	if u := r.running[c.Task]; u != nil && u.number == c.Run {
		r.extend(c.Deadline)
		return http.StatusOK, ""
	}
	if c.Run <= r.highest[c.Task] {
		r.extend(c.Deadline)
		return http.StatusConflict, "old"
	}
	if c.Deadline <= r.clock() {
		return http.StatusConflict, "late"
	}
	j := r.rec.job(c.Task)
	used := 0
	for _, u := range r.running {
		used += u.cpu
	}
	cpu := 0
	if j != nil {
		cpu = j.cpu
	}
	r.extend(c.Deadline)
	if r.kind.guards && used+cpu > r.kind.cpu {
		return http.StatusConflict, "room"
	}
	work, fails := 100*time.Millisecond, false
	if j != nil {
		work = j.work
		fails = j.failShare > 0 && r.rng.Float64() < j.failShare
	}
	u := &run{task: c.Task, number: c.Run, spec: c.Spec, runner: r, boot: r.boot, kind: r.kind, from: time.Now(), work: work, cpu: cpu, fails: fails}
	r.running[c.Task] = u
	r.rec.begun(u, used+cpu)
	if !r.drainedAt.IsZero() && time.Since(r.drainedAt) > 2*time.Second {
		r.rec.mu.Lock()
		r.rec.breakf("DRAIN", "%s: %s after the ack", u, time.Since(r.drainedAt))
		r.rec.mu.Unlock()
	}
	u.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		how := "done"
		if u.fails {
			how = "failed"
		}
		r.end(u, how, time.Now())
	})
	return http.StatusOK, ""
}

// end ends a run unless it has ended; r.mu is held.
func (r *runner) end(u *run, how string, at time.Time) {
	if !u.to.IsZero() || r.running[u.task] != u {
		return
	}
	if at.After(r.leaseEnd) {
		at, how = r.leaseEnd, "lapsed"
	}
	u.to, u.how = at, how
	u.timer.Stop()
	delete(r.running, u.task)
	r.highest[u.task] = max(r.highest[u.task], u.number)
	r.index++
	r.finished = append(r.finished, []any{r.index, u.task, u.number, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
	r.rec.ended(u)
}

// extend extends the lease of all runs to a time of the runner's clock, by holdMax from now at most.
func (r *runner) extend(deadline int64) {
	at := r.bornAt.Add(time.Duration(float64(deadline) / clockRate * float64(time.Millisecond)))
	if latest := time.Now().Add(holdMax); at.After(latest) {
		at = latest
	}
	if deadline == 0 || !at.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = at
	if r.leaseTick != nil {
		r.leaseTick.Stop()
	}
	boot := r.boot
	r.leaseTick = time.AfterFunc(time.Until(at), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.boot != boot || time.Now().Before(r.leaseEnd) {
			return
		}
		for _, u := range r.running {
			r.end(u, "lapsed", r.leaseEnd)
		}
	})
}

func (u *run) String() string {
	to := "running"
	if !u.to.IsZero() {
		to = fmt.Sprintf("%s at %s", u.how, u.runner.rec.stamp(u.to))
	}
	return fmt.Sprintf("%s run %d at %s (%s): %s to %s", u.task, u.number, u.runner.name, u.kind.service, u.runner.rec.stamp(u.from), to)
}
