//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	deadlineHeader = "X-Persimmonstage-Deadline-Ms"
	resend         = 1300 * time.Millisecond // resend-ms
)

// host is the host of all queues.
const host = "h.example"

func (j *job) body() []byte {
	step := map[string]any{"count": j.tasks, "cpu": j.cpu, "mem-mb": 64, "estimate-ms": j.work.Milliseconds()}
	if j.antiAffinity > 0 {
		step["anti-affinity"] = j.antiAffinity
	}
	if j.label != "" {
		step["constraints"] = j.label
	}
	data, err := json.Marshal(map[string]any{"spec": j.spec, "best-effort": true, "phases": []any{step}})
	must(err)
	return data
}

// call makes a request over a channel of its own and returns its status and body; the status is 0 if there was no whole answer.
func callHTTP(ctx context.Context, method, url, host string, body []byte, deadline time.Duration) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	must(err)
	req.Host = host
	req.Header.Set(deadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// post hands a job in once; the client leaves after the deadline, or earlier if ctx ends.
func (w *world) post(ctx context.Context, p *process, j *job, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	w.rec.logf("POST %s to %s", j.id, p.name)
	status, text := callHTTP(ctx, http.MethodPost, "http://"+p.front+"/"+j.queue+"/"+j.id, host, j.body(), deadline)
	w.rec.logf("POST %s to %s: %d %s", j.id, p.name, status, oneLine(text))
	return status
}

// del cancels a job and returns the status.
func (w *world) del(p *process, j *job) int {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	status, text := callHTTP(ctx, http.MethodDelete, "http://"+p.front+"/"+j.queue+"/"+j.id, host, nil, 1500*time.Millisecond)
	now := time.Now()
	w.rec.logf("DELETE %s to %s: %d %s", j.id, p.name, status, oneLine(text))
	if status/100 == 2 || status == http.StatusGone {
		w.rec.mu.Lock()
		if j.cancelAckedAt.IsZero() {
			j.cancelAckedAt = now
		}
		w.rec.mu.Unlock()
	}
	return status
}

func oneLine(s string) string { return string(bytes.TrimSpace([]byte(s))) }

// ready reports whether a process answers the balancer's check with 200.
func ready(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	status, _ := callHTTP(ctx, http.MethodGet, "http://"+p.ready+"/api/ready", "", nil, time.Second)
	return status == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range w.entries {
			all = all && ready(p)
		}
		if all {
			return true
		}
	}
	return false
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path-prefix"`
	Service  string  `json:"service"`
	Timeout  float64 `json:"timeout-ms"`
	Aim      float64 `json:"target-latency-ms"`
	Attempts int     `json:"max-attempts"`
	Priority int     `json:"priority"`
	Stretch  float64 `json:"stretch"`
}

func configuration(version int, routes ...route) map[string]any {
	services, seen := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "enforce-capacity": true})
		}
	}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"max-body-bytes": 262144}}
}

func queue(name, service string, timeout time.Duration) route {
	return route{Name: name, Host: host, Prefix: "/" + name + "/", Service: service, Timeout: float64(timeout.Milliseconds()), Aim: 60, Attempts: 3, Stretch: 1.6}
}
