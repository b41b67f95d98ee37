//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// trouble reports whether the disruption of the case is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// sameKinds gives all runners one kind.
func sameKinds(k kind) func(int) kind { return func(int) kind { return k } }

// cancelMS and stopMS are the bounds cancel_ms and stop-ms.
const (
	cancelMS = 3000 * time.Millisecond
	stopMS   = 50 * time.Millisecond
)

// cancelCase: a job runs at front-1; its client cancels it through front-2, which loses power right after its acknowledgement.
func cancelCase(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 4, sameKinds(kind{service: "s1", labels: []string{"a", "r1"}, cpu: 16000, memMB: 32768, guards: true}))
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 20*time.Second)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	for round := range 3 {
		if !w.cancelOnce(fmt.Sprintf("00000000000000a%d", round), w.entries[1+round%2]) {
			return w.failed("a cancel wasn't acknowledged")
		}
		if len(w.rec.broken) > 0 {
			break
		}
	}
	return w
}

// failed notes that the case couldn't be played.
func (w *world) failed(reason string) *world {
	w.rec.logf("not played: %s", reason)
	w.unplayed = reason
	return w
}

// cancelOnce has a job run at front-1, cancels it through another entry, which then loses power, and checks what is started after that.
func (w *world) cancelOnce(id string, other *process) bool {
	j := &job{id: id, queue: "p", spec: "build the class sets", tasks: 160, cpu: 4000, work: 900 * time.Millisecond}
	w.rec.add(j)
	done := make(chan int, 1)
	go func() { done <- w.post(context.Background(), w.entries[0], j, 14*time.Second) }()
	time.Sleep(time.Second)
	other.mu.Lock()
	other.down = 2 * time.Second
	other.mu.Unlock()
	status := w.del(other, j)
	if trouble() {
		other.signal(syscall.SIGKILL)
		w.rec.logf("TROUBLE %s loses power", other.name)
	}
	if status != 200 && status != 410 {
		return false
	}
	<-done
	time.Sleep(4 * time.Second) // all machines are in touch again
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	for _, u := range w.rec.runs {
		if jobOf(u.task) != id {
			continue
		}
		if by := u.from.Sub(j.cancelAckedAt); by > cancelMS {
			w.rec.breakf("UNASKED", "started %.3f s after the cancel was acknowledged: %s", by.Seconds(), u)
		} else if by := u.to.Sub(j.cancelAckedAt); by > cancelMS+stopMS {
			w.rec.breakf("UNASKED", "ran until %.3f s after the cancel was acknowledged: %s", by.Seconds(), u)
		}
	}
	return true
}

// foreignCase: besides the runner w1, which belongs to s1, another writer sends heartbeats for it. They lack the field slots, so they name no
// runner to use, and say s2.
func foreignCase(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 2, func(i int) kind {
		return kind{service: []string{"s1", "s2"}[i], labels: []string{"a", "r1"}, cpu: 16000, memMB: 32768, guards: true}
	})
	services := map[string][]string{"p": {"s1"}, "q": {"s2"}}
	w.rec.services = func(queue string) []string { return services[queue] }
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 5*time.Second), queue("q", "s2", 5*time.Second)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	if trouble() {
		go w.runners[0].foreignBeats(ctx, "s2")
	}
	for n := 0; ctx.Err() == nil; n++ {
		name := []string{"p", "q"}[n%2]
		j := &job{id: fmt.Sprintf("%016x", n+1), queue: name, spec: "print the label", tasks: 3, cpu: 6000, work: 300 * time.Millisecond}
		w.rec.add(j)
		w.post(context.Background(), w.entries[n%3], j, 1500*time.Millisecond)
	}
	return w
}

// foreignBeats sends heartbeats that lack slots and name another service, as another writer.
func (r *runner) foreignBeats(ctx context.Context, service string) {
	for n := 1; ctx.Err() == nil; n++ {
		r.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"service": service, "addr": r.addr, "zone": "z", "version": "v1", "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": r.kind.cpu, "mem-mb": r.kind.memMB, "gpu": 0}, "labels": r.kind.labels,
			"server-time-ms": r.clock(), "sequence": r.sequence + int64(n), "born": r.bornMS,
		})
		r.mu.Unlock()
		resp, err := http.Post("http://"+r.heartbeat+"/api/instances/"+r.id+"/heartbeat", "application/json", strings.NewReader(string(body)))
		if err == nil {
			resp.Body.Close()
			r.rec.logf("TROUBLE heartbeat of another writer for %s, without slots: %s", r.name, resp.Status)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// termCase: front-1 is told to stop while a request waits there for room at a runner.
func termCase(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 2, sameKinds(kind{service: "s1", labels: []string{"a", "r1"}, cpu: 16000, memMB: 32768, guards: true}))
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 20*time.Second), queue("q", "s1", 20*time.Second)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	long := 7 * time.Second
	full := &job{id: "00000000000000b1", queue: "p", spec: "cut the sheets", tasks: 8, cpu: 4000, work: long}
	waits := &job{id: "00000000000000b2", queue: "q", spec: "print the label", tasks: 1, cpu: 4000, work: long}
	w.rec.add(full)
	w.rec.add(waits)
	term := time.Now()
	if trouble() {
		w.rec.logf("TROUBLE %s gets SIGTERM", w.entries[0].name)
		w.entries[0].term(time.Second)
	}
	time.Sleep(time.Second)
	done := make(chan int, 1)
	go func() { done <- w.post(context.Background(), w.entries[0], full, 15*time.Second) }()
	time.Sleep(400 * time.Millisecond)
	sent := time.Now()
	status := w.post(context.Background(), w.entries[0], waits, 15*time.Second)
	ended := time.Now()
	w.rec.logf("the channel of %s ended %.3f s after the SIGTERM", waits.id, ended.Sub(term).Seconds())
	<-done
	if status == 0 && ended.Sub(sent) < 200*time.Millisecond {
		return w.failed("the request wasn't taken")
	}
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	if status == 0 {
		w.rec.breakf("LOST", "the channel of %s ended without an answer, %.3f s after the request was sent and %.3f s after the SIGTERM; starts of its task: %d",
			waits.id, ended.Sub(sent).Seconds(), ended.Sub(term).Seconds(), len(w.rec.byTask[waits.id+".0.0.0"]))
	}
	return w
}

// againCase: a client cancels its job, and cancels it once more 7 s later; its request arrives once more 3.7 s after the second acknowledgement.
func againCase(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 4, sameKinds(kind{service: "s1", labels: []string{"a", "r1"}, cpu: 16000, memMB: 32768, guards: true}))
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 1500*time.Millisecond)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	j := &job{id: "00000000000000c1", queue: "p", spec: "cut the sheet", tasks: 4, cpu: 4000, work: 900 * time.Millisecond}
	w.rec.add(j)
	done := make(chan int, 1)
	go func() { done <- w.post(context.Background(), w.entries[0], j, 1500*time.Millisecond) }()
	time.Sleep(300 * time.Millisecond)
	if status := w.del(w.entries[0], j); status != 200 {
		return w.failed("the cancel wasn't acknowledged")
	}
	<-done
	time.Sleep(7 * time.Second)
	if status := w.del(w.entries[1], j); status != 200 && status != 410 {
		return w.failed("the second cancel wasn't acknowledged")
	}
	second := time.Now()
	time.Sleep(3700 * time.Millisecond)
	if trouble() {
		w.rec.logf("TROUBLE the request arrives once more")
		w.post(context.Background(), w.entries[2], j, 1500*time.Millisecond)
	}
	time.Sleep(time.Second)
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	for _, u := range w.rec.runs {
		if u.from.Sub(second) > cancelMS {
			w.rec.breakf("UNASKED", "started %.3f s after the first and %.3f s after the second acknowledgement of its cancel: %s",
				u.from.Sub(j.cancelAckedAt).Seconds(), u.from.Sub(second).Seconds(), u)
		}
	}
	return w
}

// drainCase: a runner crashes and starts again under its id, and leaves calls unanswered for a while. Meanwhile it says that it drains, which is
// acknowledged, and its first heartbeat, which was held up, arrives after that.
func drainCase(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 2, sameKinds(kind{service: "s1", labels: []string{"a", "r1"}, cpu: 32000, memMB: 32768, guards: true}))
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 1500*time.Millisecond)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for c := range 4 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				j := &job{id: fmt.Sprintf("%08x%08x", c+1, n), queue: "p", spec: "check the price", tasks: 2, cpu: 6000, work: 100 * time.Millisecond}
				w.rec.add(j)
				w.post(context.Background(), w.entries[(c+n)%3], j, 1500*time.Millisecond)
			}
		}()
	}
	r := w.runners[0]
	r.mu.Lock()
	r.manual, r.hang = true, trouble()
	r.mu.Unlock()
	w.rec.logf("TROUBLE %s crashes", r.name)
	r.crash()
	time.Sleep(time.Second)
	r.start()
	r.mu.Lock()
	r.hang = trouble()
	r.mu.Unlock()
	first := r.newBeat()
	w.rec.logf("TROUBLE %s is back, and leaves calls unanswered", r.name)
	if !trouble() {
		r.sendBeat(first)
	}
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	at := r.beat()
	if at.IsZero() {
		return w.failed("the draining wasn't acknowledged")
	}
	w.rec.logf("TROUBLE %s drains, acknowledged", r.name)
	r.mu.Lock()
	r.drainedAt = at
	r.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	r.beat()
	time.Sleep(300 * time.Millisecond)
	if trouble() {
		w.rec.logf("TROUBLE the first heartbeat of %s arrives, acknowledged: %v", r.name, !r.sendBeat(first).IsZero())
	}
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	r.hang = false
	r.mu.Unlock()
	w.rec.logf("TROUBLE %s answers again", r.name)
	time.Sleep(900 * time.Millisecond)
	r.beat()
	time.Sleep(1500 * time.Millisecond)
	return w
}
