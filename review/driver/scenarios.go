//go:build review

package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// scenario is one case.
type scenario struct {
	guards bool
	served int // jobs that have to be served for the play to count
	kind   func(runner int) (label string, cpu int)
	play   func(w *world)
}

func allAlike(int) (string, int) { return "a", smallCPU }

var scenarios = map[string]*scenario{
	"foreign-heartbeat": {guards: true, served: 50, kind: allAlike, play: foreignHeartbeat},
	"foreign-sequence":  {guards: true, served: 50, kind: allAlike, play: foreignSequence},
	"held-up":           {guards: true, served: 15, kind: allAlike, play: heldUp},
	"cancelled":         {guards: true, served: 20, kind: allAlike, play: cancelled},
	"other-kind":        {guards: true, served: 50, kind: twoKinds, play: otherKind},
}

// run hands in jobs for a time, and calls trouble after some of it.
func (w *world) run(perSecond float64, next func() *job, before time.Duration, trouble func(), after time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	all := w.traffic(ctx, perSecond, next)
	time.Sleep(before)
	if w.trouble {
		trouble()
	}
	time.Sleep(after)
	stop()
	all.Wait()
}

func sheets() *job { return &job{tasks: 4, ms: 900, cpu: taskCPU} }

// foreignHeartbeat: another writer sends a heartbeat of a service that isn't named in the configuration.
func foreignHeartbeat(w *world) {
	w.run(22, sheets, 4*time.Second, func() {
		body, _ := json.Marshal(map[string]any{
			"service": "print-room", "addr": w.net + ".240:8165", "zone": zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": smallCPU, "mem-mb": 131072, "gpu": 0}, "labels": []string{"a", "r9"},
			"server-time-ms": 100, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		r := w.runners[0]
		w.log("another writer's heartbeat at %s: %s", r.control, body)
		w.log("it is answered with status %d", postBeat(r.control, "i-0000beef", body))
	}, 4*time.Second)
}

// foreignSequence: another writer sends a heartbeat with fields missing, and later the runner that it names drains.
func foreignSequence(w *world) {
	r := w.runners[0]
	w.onStart = func(task string, _ int, _, runner, _ string, _, _ int) {
		if at, ok := w.drains[runner]; ok && time.Since(at) > 2*time.Second {
			w.breaks("DRAIN: %s is started at %s %d ms after its draining was acknowledged", task, runner, time.Since(at).Milliseconds())
		}
	}
	w.run(15, sheets, 4*time.Second, func() {
		r.mu.Lock()
		born := r.life.born
		r.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": service, "addr": r.addr, "zone": zone, "state": "ready", "born": born, "sequence": time.Now().UnixMilli(),
			"capacity": map[string]any{"cpu": smallCPU, "mem-mb": 131072, "gpu": 0},
		})
		w.log("another writer's heartbeat at %s: %s", r.control, body)
		w.log("it is answered with status %d", postBeat(r.control, r.id, body))
	}, 0)
	w.run(15, sheets, time.Second, func() {}, 0)
	w.log("%s drains", r.name)
	r.drain()
	w.run(15, sheets, 0, func() {}, 8*time.Second)
}

func twoKinds(i int) (string, int) {
	if i < agents/3 {
		return "b", smallCPU
	}
	return "a", smallCPU
}

// powerLoss takes the power of the last side machine: its runner and its agent are gone. The runner comes back after down under the
// id that it had, as another kind, and its agent shortly after.
func (w *world) powerLoss(down time.Duration, kind string, cpu int) {
	r, p := w.runners[agents-1], w.agents[agents-1]
	w.log("side machine %d loses power", agents-1)
	r.crash()
	p.kill()
	time.Sleep(down)
	if err := r.boot(kind, cpu); err != nil {
		w.log("runner not started: %s", err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := p.start(); err != nil {
		w.log("agent not started: %s", err)
	}
}

// otherKind: a machine comes back as another kind.
func otherKind(w *world) {
	w.onStart = func(task string, _ int, spec, runner, kind string, _, _ int) {
		label := spec[strings.Index(spec, "label=")+len("label="):]
		if label != "" && label != kind {
			w.breaks("ROUTE: %s, which needs the label %s, is started at %s, which is of kind %s", task, label, runner, kind)
		}
	}
	w.run(25, func() *job { return &job{tasks: 4, ms: 300, cpu: taskCPU, label: "a"} }, 3*time.Second, func() {
		w.powerLoss(time.Second, "b", smallCPU)
	}, 5*time.Second)
}

const (
	cancels      = 12
	repeatEvery  = 4                       // of the cancelled jobs, one in so many is sent once more
	repeatAfter  = 3500 * time.Millisecond // after the answer to its POST
	cancelTime   = 3 * time.Second         // cancel_ms
	beforeCancel = 300 * time.Millisecond
	cancelPause  = 330 * time.Millisecond // beside 10 jobs a second: less than a quarter of the jobs are cancelled
)

// cancelled: clients cancel jobs that run, and some of the requests that handed these jobs in arrive once more.
func cancelled(w *world) {
	acked := map[string]time.Time{} // when the cancelling of a job was acknowledged; guarded by w.mu
	w.onStart = func(task string, _ int, _, runner, _ string, _, _ int) {
		id, _, _ := strings.Cut(task, ".")
		if at, ok := acked[id]; ok && time.Since(at) > cancelTime {
			w.breaks("UNASKED: %s is started at %s %d ms after the cancelling of its job was acknowledged", task, runner,
				time.Since(at).Milliseconds())
		}
	}
	var all sync.WaitGroup
	w.run(10, sheets, time.Second, func() {}, 0)
	ctx, stop := context.WithCancel(context.Background())
	traffic := w.traffic(ctx, 10, sheets)
	for n := range cancels {
		all.Add(1)
		go func() {
			defer all.Done()
			id, entry, j := newID(), n%entries, sheets()
			answered := make(chan int, 1)
			go func() { answered <- w.post(entry, id, j) }()
			time.Sleep(beforeCancel)
			status := w.delete(entry, id)
			w.mu.Lock()
			if status/100 == 2 || status == http.StatusGone {
				acked[id] = time.Now()
			}
			w.mu.Unlock()
			posted := <-answered
			w.log("job %s at entry %d: cancelled with status %d; its POST is answered with %d", id, entry, status, posted)
			if !w.trouble || n%repeatEvery != 0 || posted/100 != 2 {
				return
			}
			time.Sleep(repeatAfter)
			w.log("the request of job %s arrives once more, at entry %d", id, (entry+n/repeatEvery)%entries)
			w.log("it is answered with %d", w.post((entry+n/repeatEvery)%entries, id, j))
		}()
		time.Sleep(cancelPause)
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	stop()
	traffic.Wait()
}

const (
	cutClients = 80
	cutTime    = 3150 * time.Millisecond
	sendPause  = 8 * time.Millisecond
)

// heldUp: the path between an entry and clients with open channels to it is cut for a time. The clients get no answer, leave, and send
// their jobs again to other entries; then the path is whole again and what was sent arrives.
func heldUp(w *world) {
	l, err := newLink(w.net+".20:8161", w.entryIP(0)+":8161")
	if err != nil {
		w.log("link: %s", err)
		return
	}
	defer l.close()
	clients := make([]*http.Client, cutClients)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		w.send(clients[i], http.MethodGet, w.net+".20", "", nil) // opens the channel
	}
	ctx, stop := context.WithCancel(context.Background())
	traffic := w.traffic(ctx, 8, sheets)
	time.Sleep(time.Second)
	if w.trouble {
		w.log("the path between entry 0 and its clients is cut")
		l.cut()
		time.AfterFunc(cutTime, func() {
			w.log("the path is whole again")
			l.heal()
		})
	}
	var all sync.WaitGroup
	for _, c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			id, j := newID(), &job{tasks: 4, ms: 900, cpu: 1000}
			status := w.send(c, http.MethodPost, w.net+".20", id, j)
			w.log("job %s at entry 0: status %d", id, status)
			if status != 0 {
				return
			}
			c.CloseIdleConnections()
			time.Sleep(resend)
			entry := 1 + rand.IntN(entries-1)
			w.log("job %s is sent again, to entry %d: status %d", id, entry, w.post(entry, id, j))
		}()
		time.Sleep(sendPause)
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	traffic.Wait()
}
