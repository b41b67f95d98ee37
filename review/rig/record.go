//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// job is what a client hands in, and what became of it.
type job struct {
	id, queue     string
	spec          string
	tasks, cpu    int
	antiAffinity  int
	label         string
	work          time.Duration
	failShare     float64
	cancelAckedAt time.Time
	statuses      []string // of all attempts
}

// record is what clients and runners have seen. Rules that are broken are noted as they are seen.
type record struct {
	mu       sync.Mutex
	began    time.Time
	lines    []string
	jobs     map[string]*job
	runs     []*run
	byTask   map[string][]*run
	broken   []string
	services func(queue string) []string // to which any configuration sends a queue
}

func newRecord() *record {
	return &record{began: time.Now(), jobs: map[string]*job{}, byTask: map[string][]*run{}}
}

func (r *record) stamp(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(r.began).Seconds()) }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, r.stamp(time.Now())+" "+fmt.Sprintf(format, args...))
}

func (r *record) breakf(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.lines = append(r.lines, r.stamp(time.Now())+" BROKEN "+text)
}

func (r *record) add(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.id] = j
}

func (r *record) job(task string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return r.jobs[id]
}

// begun notes a start and checks the rules on it; used is the processor that the runner's runs need with it.
func (r *record) begun(u *run, used int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, u)
	r.lines = append(r.lines, fmt.Sprintf("%s start of %s run %d at %s", r.stamp(u.from), u.task, u.number, u.runner.name))
	id, _, _ := strings.Cut(u.task, ".")
	j := r.jobs[id]
	if j == nil {
		r.breakf("UNASKED", "%s: no client sent it", u)
		return
	}
	if u.spec != j.spec {
		r.breakf("UNASKED", "%s: with another spec, %q", u, u.spec)
	}
	for _, o := range r.byTask[u.task] {
		if o.to.IsZero() {
			r.breakf("TWICE", "%s while %s", u, o)
		}
	}
	if used > u.kind.cpu {
		r.breakf("LIMIT", "%s: %d of %d", u, used, u.kind.cpu)
	}
	if r.services != nil && !slices.Contains(r.services(j.queue), u.kind.service) {
		r.breakf("ROUTE", "%s: queue %s isn't sent to %s", u, j.queue, u.kind.service)
	}
	if j.label != "" && !slices.Contains(u.kind.labels, j.label) {
		r.breakf("ROUTE", "%s: without label %s", u, j.label)
	}
	if j.antiAffinity > 0 {
		n := 1
		for task, list := range r.byTask {
			if !strings.HasPrefix(task, id+".") || task == u.task {
				continue
			}
			for _, o := range list {
				if o.to.IsZero() && o.runner == u.runner {
					n++
				}
			}
		}
		if n > j.antiAffinity {
			r.breakf("ROUTE", "%s: %d tasks of the step there, at most %d", u, n, j.antiAffinity)
		}
	}
	r.byTask[u.task] = append(r.byTask[u.task], u)
}

func (r *record) ended(u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%s end of %s run %d at %s: %s", r.stamp(u.to), u.task, u.number, u.runner.name, u.how))
}

// write writes the lines to a file, by time.
func (r *record) write(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	must(os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644))
}
