package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner imitates a target whose tasks end as soon as they start.
type runner struct {
	mu       sync.Mutex
	born     time.Time
	index    int
	finished [][]any
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var call struct {
		Task string `json:"task"`
		Run  int64  `json:"run"`
		Ack  int    `json:"ack-index"`
		Wait int64  `json:"wait-ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch req.URL.Path {
	case "/api/run-start":
		r.mu.Lock()
		r.index++
		r.finished = append(r.finished, []any{r.index, call.Task, call.Run, "done", ""})
		r.mu.Unlock()
	case "/api/hold":
		r.acknowledge(call.Ack)
		for end := time.Now().Add(time.Duration(call.Wait) * time.Millisecond); !r.hasFinished() && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"server-time-ms": time.Since(r.born).Milliseconds() + 1, "born": r.born.UnixMilli(), "running": [][]any{},
		"finished": append([][]any{}, r.finished...),
	})
}

func (r *runner) acknowledge(ack int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.finished) > 0 && r.finished[0][0].(int) <= ack {
		r.finished = r.finished[1:]
	}
}

func (r *runner) hasFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.finished) > 0
}

// announce sends the runner's heartbeat to its agent.
func (r *runner) announce(control, addr string, sequence int) error {
	body := fmt.Sprintf(`{"service":"s","addr":%q,"zone":"z","version":"v1","slots":8,"state":"ready","capacity":{"cpu":64000,`+
		`"mem-mb":131072,"gpu":0},"labels":["a","r1"],"sequence":%d,"born":%d}`, addr, sequence, r.born.UnixMilli())
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/api/instances/i-0/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: %s", resp.Status)
	}
	return nil
}
