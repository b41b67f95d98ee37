//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// routeChange is when the operator's store acknowledged that a route is there, or isn't any more.
type routeChange struct {
	at    time.Time
	there bool
}

// soak2 plays planned work, configurations and a store that turns machines away.
func soak2(w *world, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 6))
	var mu sync.Mutex
	changes := map[string][]routeChange{}
	var unstable time.Time // the store was last impaired
	version, extra := 1, map[string]bool{}
	put := func() {
		version += 1 + rng.IntN(3)
		list := []route{queue("p", "s1", 12*time.Second)}
		names := []string{}
		for n := range 6 {
			name := fmt.Sprintf("x%d", n)
			if extra[name] {
				list = append(list, queue(name, "s1", 12*time.Second))
				names = append(names, name)
			}
		}
		at := w.store.put("keyed.op", "config", configuration(version, list...))
		w.rec.logf("configuration %d: %v", version, names)
		mu.Lock()
		defer mu.Unlock()
		for n := range 6 {
			name := fmt.Sprintf("x%d", n)
			c := changes[name]
			if len(c) == 0 || c[len(c)-1].there != extra[name] {
				changes[name] = append(c, routeChange{at, extra[name]})
			}
		}
	}
	put()
	if !w.awaitReady(15 * time.Second) {
		w.rec.logf("not ready")
		return
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.soak2Client(ctx, c, rand.New(rand.NewPCG(seed, uint64(100+c))))
		}()
	}
	for i, p := range w.entries { // probes
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(500+i)))
			for ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
				name := fmt.Sprintf("x%d", rng.IntN(6))
				sent := time.Now()
				status, _ := callHTTP(context.Background(), http.MethodGet, "http://"+p.front+"/"+name+"/", host, nil, time.Second)
				mu.Lock()
				bound := 2 * time.Second
				if sent.Sub(unstable) < 3*time.Second+bound {
					bound = 7 * time.Second
				}
				c := changes[name]
				p.mu.Lock()
				touch := time.Since(p.begunAt) > 3*time.Second && time.Since(p.termAt) > 7*time.Second
				p.mu.Unlock()
				if len(c) > 0 && touch {
					last := c[len(c)-1]
					age := sent.Sub(last.at)
					if age > bound && (status == 200 && !last.there || status == 404 && last.there) {
						w.rec.mu.Lock()
						w.rec.breakf("CONFIG", "%s answers %d for %s %s after the ack of its change", p.name, status, name, age)
						w.rec.mu.Unlock()
					}
				}
				mu.Unlock()
			}
		}()
	}
	end := time.Now().Add(length)
	gated := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rng.IntN(1200)) * time.Millisecond)
		procs := append(append([]*process{}, w.entries...), w.agents...)
		p := procs[rng.IntN(len(procs))]
		r := w.runners[rng.IntN(len(w.runners))]
		switch rng.IntN(9) {
		case 0, 1, 2:
			extra[fmt.Sprintf("x%d", rng.IntN(6))] = rng.IntN(2) == 0
			put()
		case 3:
			if time.Since(p.termAt) > 15*time.Second {
				w.rec.logf("TROUBLE term %s", p.name)
				p.term(300 * time.Millisecond)
			}
		case 4, 5:
			if gated < 3 {
				mode := []string{"busy", "many", "reset", "silent"}[rng.IntN(4)]
				d := time.Duration(500+rng.IntN(8000)) * time.Millisecond
				w.rec.logf("TROUBLE store turns %s away (%s) for %s", p.name, mode, d)
				gated++
				p.gate.set(mode)
				mu.Lock()
				unstable = time.Now().Add(time.Hour)
				mu.Unlock()
				go func() {
					time.Sleep(d)
					p.gate.set("")
					mu.Lock()
					defer mu.Unlock()
					gated--
					unstable = time.Now()
					if gated > 0 {
						unstable = time.Now().Add(time.Hour)
					}
				}()
			}
		case 6:
			r.mu.Lock()
			busy := r.state != "ready" || !r.up
			r.mu.Unlock()
			if !busy {
				w.rec.logf("TROUBLE %s drains", r.name)
				go r.leave(time.Duration(2000+rng.IntN(4000))*time.Millisecond, rng.IntN(2) == 0)
			}
		case 7:
			down := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			r.mu.Lock()
			ok := r.state == "ready" && r.up
			r.mu.Unlock()
			if ok {
				w.rec.logf("TROUBLE crash of %s for %s", r.name, down)
				r.crash()
				time.AfterFunc(down, r.start)
			}
		}
	}
	stop()
	wg.Wait()
}

func (w *world) soak2Client(ctx context.Context, c int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%08x%08x", c+1, n), queue: "p", tasks: 1 + rng.IntN(4), cpu: 4000}
		j.spec = fmt.Sprintf("job %s", j.id)
		j.work = time.Duration(30+rng.IntN(800)) * time.Millisecond
		w.rec.add(j)
		p := w.entries[rng.IntN(len(w.entries))]
		began := time.Now()
		ctx2, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		status, text := callHTTP(ctx2, http.MethodPost, "http://"+p.front+"/"+j.queue+"/"+j.id, host, j.body(), 1500*time.Millisecond)
		cancel()
		took := time.Since(began)
		w.rec.logf("POST %s to %s: %d %s after %s", j.id, p.name, status, oneLine(text), took)
		if status == 0 && !strings.Contains(text, "refused") && !strings.Contains(text, "deadline exceeded") {
			w.rec.mu.Lock()
			ran := len(w.rec.byTask[j.id+".0.0.0"]) > 0
			if ran || took > 200*time.Millisecond {
				w.rec.breakf("LOST", "%s at %s: %s, ran %v", j.id, p.name, text, ran)
			}
			w.rec.mu.Unlock()
		}
		if status == 0 && strings.Contains(text, "deadline exceeded") {
			w.rec.mu.Lock()
			w.rec.breakf("no answer", "%s at %s: %s", j.id, p.name, text)
			w.rec.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}
