//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// calm has soak play one trouble at a time, with clients that leave without a sign, since the path to them is silent.
var calm bool

// soak plays a random installation with random troubles.
func soak(w *world, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 5))
	version := 1
	services := map[string]string{"p": "s1", "q": "s2", "r": "s1"}
	put := func() {
		version += 1 + rng.IntN(3)
		var list []route
		for _, name := range []string{"p", "q", "r"} {
			list = append(list, queue(name, services[name], 12*time.Second))
		}
		w.store.put("keyed.op", "config", configuration(version, list...))
		w.rec.logf("configuration %d: %v", version, services)
	}
	var smu sync.Mutex
	ever := map[string][]string{"p": {"s1"}, "q": {"s2", "s1"}, "r": {"s1", "s2"}}
	w.rec.services = func(q string) []string {
		smu.Lock()
		defer smu.Unlock()
		return ever[q]
	}
	put()
	if !w.awaitReady(15 * time.Second) {
		w.rec.logf("not ready")
		return
	}
	w.rec.logf("ready")
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for c := range 14 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.soakClient(ctx, c, rand.New(rand.NewPCG(seed, uint64(100+c))))
		}()
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		pause := 100 + rng.IntN(1400)
		if calm {
			pause += 2500
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
		procs := append(append([]*process{}, w.entries...), w.agents...)
		p := procs[rng.IntN(len(procs))]
		r := w.runners[rng.IntN(len(w.runners))]
		d := time.Duration(200+rng.IntN(3300)) * time.Millisecond
		switch rng.IntN(18) {
		case 0, 1:
			w.rec.logf("TROUBLE kill %s", p.name)
			p.kill(time.Duration(100+rng.IntN(1500)) * time.Millisecond)
		case 2:
			w.rec.logf("TROUBLE term %s", p.name)
			p.term(300 * time.Millisecond)
		case 3, 4:
			w.rec.logf("TROUBLE freeze %s %s", p.name, d)
			p.freeze(d)
		case 5, 6:
			down := time.Duration(rng.IntN(1500)) * time.Millisecond
			if rng.IntN(2) == 0 {
				down = time.Duration(rng.IntN(60)) * time.Millisecond
			}
			other := rng.IntN(2) == 0
			w.rec.logf("TROUBLE crash of %s for %s, other kind %v", r.name, down, other)
			r.crash()
			if other {
				r.mu.Lock()
				if r.kind.service == "s1" {
					r.kind.service, r.kind.labels = "s2", []string{"b", "k2"}
				} else {
					r.kind.service, r.kind.labels = "s1", []string{"a", "k1"}
				}
				r.mu.Unlock()
			}
			time.AfterFunc(down, r.start)
		case 7:
			w.rec.logf("TROUBLE late orders at %s", r.name)
			r.mu.Lock()
			r.lateX = 0.3
			r.mu.Unlock()
			time.AfterFunc(5*time.Second, func() {
				r.mu.Lock()
				r.lateX = 0
				r.mu.Unlock()
			})
		case 8:
			w.rec.logf("TROUBLE lost answers at %s", r.name)
			r.mu.Lock()
			r.loseX = 0.3
			r.mu.Unlock()
			time.AfterFunc(5*time.Second, func() {
				r.mu.Lock()
				r.loseX = 0
				r.mu.Unlock()
			})
		case 16, 17:
			w.rec.logf("TROUBLE %s leaves calls unanswered %s", r.name, d)
			r.mu.Lock()
			r.hang = true
			r.mu.Unlock()
			time.AfterFunc(d, func() {
				r.mu.Lock()
				r.hang = false
				r.mu.Unlock()
			})
		case 13, 14, 15:
			w.rec.logf("TROUBLE slow calls at %s", r.name)
			r.mu.Lock()
			r.slowX = 0.5
			r.mu.Unlock()
			time.AfterFunc(8*time.Second, func() {
				r.mu.Lock()
				r.slowX = 0
				r.mu.Unlock()
			})
		case 9:
			w.rec.logf("TROUBLE store down %s", d)
			w.store.setDown(true)
			time.AfterFunc(d, func() { w.store.setDown(false) })
		case 10, 11:
			q := []string{"q", "r"}[rng.IntN(2)]
			if services[q] == "s1" {
				services[q] = "s2"
			} else {
				services[q] = "s1"
			}
			put()
		case 12:
			if rng.IntN(3) > 0 {
				continue
			}
			w.rec.logf("TROUBLE all entries killed")
			for _, e := range w.entries {
				e.kill(time.Duration(100+rng.IntN(900)) * time.Millisecond)
			}
		}
	}
	time.Sleep(3 * time.Second)
	stop()
	wg.Wait()
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	for _, u := range w.rec.runs {
		j := w.rec.jobs[jobOf(u.task)]
		if j == nil || j.cancelAckedAt.IsZero() {
			continue
		}
		if by := u.from.Sub(j.cancelAckedAt); by > 3*time.Second {
			w.rec.breakf("UNASKED", "%s: started %s after the cancel was acknowledged", u, by)
		}
		if by := u.to.Sub(j.cancelAckedAt); !u.to.IsZero() && by > 3050*time.Millisecond {
			w.rec.breakf("UNASKED", "%s: ran until %s after the cancel was acknowledged", u, by)
		}
	}
	for _, j := range w.rec.jobs {
		rejected := len(j.statuses) > 0
		for _, s := range j.statuses {
			rejected = rejected && s == "503"
		}
		if !rejected {
			continue
		}
		for task, list := range w.rec.byTask {
			if jobOf(task) == j.id {
				w.rec.breakf("REFUSED", "%s: %v, and %s", j.id, j.statuses, list[0])
				break
			}
		}
	}
}

func (w *world) soakClient(ctx context.Context, c int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%08x%08x", c+1, n), queue: []string{"p", "q", "r"}[rng.IntN(3)], tasks: 1 + rng.IntN(8), cpu: 2000 + 1000*rng.IntN(7)}
		j.spec = fmt.Sprintf("job %s \u00e9\"<&> %d", j.id, rng.IntN(1000))
		j.work = time.Duration(30+rng.IntN(400)) * time.Millisecond
		switch rng.IntN(6) {
		case 0:
			j.work = time.Duration(500+rng.IntN(3500)) * time.Millisecond
		case 1:
			j.work, j.tasks = time.Duration(500+rng.IntN(2500))*time.Millisecond, 1
		}
		if calm {
			j.work, j.tasks = time.Duration(500+rng.IntN(900))*time.Millisecond, 1+rng.IntN(3)
		}
		if rng.IntN(3) == 0 {
			j.antiAffinity, j.tasks = 1+rng.IntN(2), 1+rng.IntN(5)
		}
		if rng.IntN(5) == 0 {
			j.label = []string{"k1", "k2"}[rng.IntN(2)]
		}
		if rng.IntN(6) == 0 {
			j.failShare = 0.2
		}
		w.rec.add(j)
		deadline := 1500 * time.Millisecond
		if !calm && rng.IntN(2) == 0 {
			deadline = time.Duration(2000+rng.IntN(8000)) * time.Millisecond
		}
		attempt, leave := context.WithCancel(ctx)
		if rng.IntN(3) == 0 {
			leave()
			attempt, leave = context.WithTimeout(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		cancelled := make(chan bool, 1)
		if rng.IntN(12) == 0 {
			go func() {
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				status := w.del(w.entries[rng.IntN(len(w.entries))], j)
				cancelled <- status/100 == 2 || status == http.StatusGone
			}()
		}
		for tries := 0; tries < 6; tries++ {
			p, status := w.entries[rng.IntN(len(w.entries))], 0
			if calm && rng.IntN(2) == 0 {
				patience := time.Duration(rng.IntN(600)) * time.Millisecond
				go w.post(context.Background(), p, j, deadline)
				time.Sleep(patience)
				w.rec.logf("the client of %s leaves %s unseen", j.id, p.name)
			} else {
				status = w.post(attempt, p, j, deadline)
			}
			leave()
			attempt = context.Background()
			w.rec.mu.Lock()
			j.statuses = append(j.statuses, fmt.Sprint(status))
			acked := !j.cancelAckedAt.IsZero()
			w.rec.mu.Unlock()
			if status != 0 && status != 502 && status != 504 || acked {
				break
			}
			time.Sleep(resend)
		}
		leave()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}
