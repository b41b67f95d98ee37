//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func tryMany(binary, dir string) *world {
	w := newWorld(binary, dir, 3, 2, sameKinds(kind{service: "s1", labels: []string{"a", "r1"}, cpu: 64000, memMB: 131072, guards: true}))
	w.store.put("keyed.op", "config", configuration(3, queue("p", "s1", 20*time.Second)))
	if !w.awaitReady(15 * time.Second) {
		return w.failed("the entries weren't ready in 15 s")
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 5 {
				j := &job{id: fmt.Sprintf("%015x%d", i+1, n), queue: "p", spec: "x", tasks: 160, cpu: 50, work: 200 * time.Millisecond}
				w.rec.add(j)
				w.post(context.Background(), w.entries[i%3], j, 1500*time.Millisecond)
			}
		}()
	}
	wg.Wait()
	return w
}
