//go:build review

// Command driver plays the cases of the review: it starts the commands of the deploy file as separate processes on loopback
// addresses, with stand-ins of the platform's store, runners and clients, and judges what these see.
//
//	driver CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 the disruption is left out.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service   = "order-desk"
	zone      = "nz-north-a"
	entries   = 3
	agents    = 11
	resend    = 1300 * time.Millisecond // resend-ms
	patience  = 1500 * time.Millisecond // of clients, X-Persimmonstage-Deadline-Ms
	taskCPU   = 6200
	smallCPU  = 64000
	readyTime = 20 * time.Second
	longest   = 100 * time.Second // of a play
)

// place is where a run of a task is going on.
type place struct {
	runner string
	number int
	since  time.Time
}

// world is one play of a case.
type world struct {
	dir     string
	net     string // the first three bytes of the addresses
	began   time.Time
	trouble bool
	store   *store
	runners []*runner
	entries []*process
	agents  []*process
	mu      sync.Mutex
	record  bytes.Buffer
	running map[string][]place // by task
	broken  []string
	drains  map[string]time.Time // when the first draining heartbeat of a runner was acknowledged
	answers map[int]int
	starts  int
	onStart func(task string, number int, spec, runner, kind string, used, cpu int) // further checks; w.mu is held
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(&w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// breaks records that the rule was broken; w.mu is held.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logLocked("BROKEN: %s", text)
	w.broken = append(w.broken, text)
}

func (w *world) started(task string, number int, spec, runner, kind string, used, cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.logLocked("run of %s number %d starts at %s (%s), cpu %d of %d, spec %q", task, number, runner, kind, used, cpu, spec)
	for _, p := range w.running[task] {
		w.breaks("TWICE: %s runs as %d at %s and as %d at %s, where it started %d ms ago", task, number, runner, p.number, p.runner,
			time.Since(p.since).Milliseconds())
	}
	w.running[task] = append(w.running[task], place{runner, number, time.Now()})
	if w.onStart != nil {
		w.onStart(task, number, spec, runner, kind, used, cpu)
	}
}

func (w *world) ended(task string, number int, runner, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("run of %s number %d ends at %s: %s", task, number, runner, how)
	w.running[task] = slices.DeleteFunc(w.running[task], func(p place) bool { return p.runner == runner && p.number == number })
	if len(w.running[task]) == 0 {
		delete(w.running, task)
	}
}

func (w *world) drained(runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.drains[runner]; !known {
		w.drains[runner] = time.Now()
	}
}

// configuration is the operator's configuration, with one queue.
func configuration(guards bool) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-sheets", "host": "kits.example", "path-prefix": "/sheets/", "kind": "unsafe", "timeout-ms": 1500,
			"target-latency-ms": 60, "priority": 0, "service": service, "max-attempts": 4, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "enforce-capacity": guards,
			"standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// job is what a client hands in.
type job struct {
	tasks, ms, cpu int
	label          string
}

func (j *job) body() string {
	step := map[string]any{"count": j.tasks, "cpu": j.cpu, "mem-mb": 64, "estimate-ms": j.ms}
	if j.label != "" {
		step["constraints"] = j.label
	}
	spec := fmt.Sprintf("ms=%d cpu=%d label=%s", j.ms, j.cpu, j.label)
	data, _ := json.Marshal(map[string]any{"spec": spec, "best-effort": true, "phases": []any{step}})
	return string(data)
}

// submit sends a job until it is answered, as PROTOCOL.md tells clients to: after no answer, a broken channel, 502 or 504 it is
// sent again resend-ms later, to any daemon.
func (w *world) submit(ctx context.Context, j *job) {
	id := newID()
	for try := 1; ctx.Err() == nil; try++ {
		entry := rand.IntN(entries)
		status := w.post(entry, id, j)
		w.mu.Lock()
		w.answers[status]++
		w.logLocked("job %s, %d tasks, try %d at entry %d: status %d", id, j.tasks, try, entry, status)
		w.mu.Unlock()
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || try == 3 {
			return
		}
		time.Sleep(resend)
	}
}

func (w *world) post(entry int, id string, j *job) int {
	return w.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, w.entryIP(entry), id, j)
}

// delete cancels a job at an entry.
func (w *world) delete(entry int, id string) int {
	return w.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodDelete, w.entryIP(entry), id, nil)
}

// send sends a client's request and returns the status of the answer, 0 if there is none; then the client closes its channel.
func (w *world) send(c *http.Client, method, ip, id string, j *job) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var body io.Reader
	if j != nil {
		body = strings.NewReader(j.body())
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+ip+":8161/sheets/"+id, body)
	if err != nil {
		return 0
	}
	q.Host = "kits.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Persimmonstage-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	resp, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// traffic hands in jobs at a steady rate until ctx ends, and waits for their answers.
func (w *world) traffic(ctx context.Context, perSecond float64, next func() *job) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for ctx.Err() == nil {
			all.Add(1)
			go func() {
				defer all.Done()
				w.submit(ctx, next())
			}()
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}()
	return &all
}

func (w *world) entryIP(i int) string { return fmt.Sprintf("%s.%d", w.net, 10+i) }
func (w *world) agentIP(i int) string { return fmt.Sprintf("%s.%d", w.net, 30+i) }

// open starts the store, the runners and the processes, and waits until jobs are answered.
func (w *world) open(c *scenario) error {
	run, err := commands("deploy/system.toml")
	if err != nil {
		return err
	}
	w.store = newStore()
	w.store.put("keyed.op", "config", configuration(c.guards))
	storeAddr := w.net + ".250:8169"
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: w.store}).Serve(ln) }()
	var seeds []string
	for i := range entries {
		seeds = append(seeds, w.entryIP(i)+":8166")
	}
	for i := range entries {
		p, err := w.process(fmt.Sprintf("front-%d", i), "front", w.entryIP(i), storeAddr, seeds, run["front"])
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for i := range agents {
		p, err := w.process(fmt.Sprintf("side-%d", i), "side", w.agentIP(i), storeAddr, seeds, run["side"])
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range agents {
		r := &runner{
			w: w, name: fmt.Sprintf("runner-%d", i), id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: w.agentIP(i) + ":8165",
			control: w.agentIP(i) + ":8166", guards: c.guards,
		}
		kind, cpu := c.kind(i)
		if err := r.boot(kind, cpu); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.ready() {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("no entry is ready after %s", readyTime)
}

// ready asks the entries as the balancer does.
func (w *world) ready() bool {
	for i := range entries {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + w.entryIP(i) + ":8167/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (w *world) process(name, class, ip, storeAddr string, seeds, command []string) (*process, error) {
	file, err := settings(w.dir, name, class, ip, storeAddr, seeds)
	if err != nil {
		return nil, err
	}
	p := &process{w: w, name: name, command: command, settings: file}
	return p, p.start()
}

func (w *world) close() {
	for _, p := range slices.Concat(w.entries, w.agents) {
		p.kill()
	}
}

// watch ends the processes and the play if it is interrupted or takes too long.
func (w *world) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	w.close()
	os.Exit(2)
}

// freeNet returns the first three bytes of loopback addresses at which nothing listens.
func freeNet() string { return fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250)) }

func play(c *scenario, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	w := &world{
		dir: dir, net: freeNet(), began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", running: map[string][]place{},
		drains: map[string]time.Time{}, answers: map[int]int{},
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = os.WriteFile(filepath.Join(folder, "record.txt"), w.record.Bytes(), 0o644)
	}()
	defer w.close()
	go w.watch()
	if err := w.open(c); err != nil {
		w.log("the case couldn't run: %s", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
	c.play(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("%d starts; answers by status: %v; the rule was broken %d times", w.starts, w.answers, len(w.broken))
	fmt.Printf("%d starts; answers by status: %v; the rule was broken %d times\n", w.starts, w.answers, len(w.broken))
	for _, b := range w.broken[:min(3, len(w.broken))] {
		fmt.Println(" ", b)
	}
	switch {
	case w.answers[http.StatusOK] < c.served:
		w.logLocked("the case couldn't run: too few jobs were served")
		return 2
	case len(w.broken) > 0:
		return 1
	}
	return 0
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: driver CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}
