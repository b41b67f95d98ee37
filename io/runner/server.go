package runner

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const maxBodyBytes = 64 << 20

// faults are the faults that POST /faults can inject; the zero value is a healthy target.
type faults struct {
	Fail       bool    `json:"fail"`
	FailKind   string  `json:"fail-kind"`
	Hang       bool    `json:"hang"`
	SlowFactor float64 `json:"slow-factor"`
	CutAnswers int     `json:"cut-answers"`
	Unhealthy  bool    `json:"sick"`
}

// Server is a stand-in target that counts the starts of each task.
//
//	POST /run      processes the body as the Kind header says
//	GET  /healthz  reports whether the target is healthy
//	GET  /starts   returns the number of starts, the tasks started twice, the most runs at once, and the number of health checks
//	POST /faults   sets the injected faults
type Server struct {
	// Speed divides the run time that a payload asks for; zero means 1.
	Speed float64

	http         fasthttp.Server
	done         chan struct{}
	once         sync.Once
	mu           sync.Mutex
	starts       map[string]int
	doubled      []string
	faults       faults
	healthChecks int
	running      atomic.Int64
	maxRunning   atomic.Int64
}

// Serve serves requests on l until Stop is called.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.starts = make(map[string]int)
	s.done = make(chan struct{})
	s.mu.Unlock()
	s.http.Handler = s.handle
	s.http.MaxRequestBodySize = maxBodyBytes
	s.http.NoDefaultServerHeader = true
	s.http.Logger = log.New(io.Discard, "", 0)
	s.http.CloseOnShutdown = true
	return s.http.Serve(l)
}

// Stop shuts the server down after the requests in progress; hanging requests are released.
func (s *Server) Stop() {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if done == nil {
		return
	}
	s.once.Do(func() { close(done) })
	_ = s.http.Shutdown()
}

// Starts returns the number of starts of each task, by team/id/index.
func (s *Server) Starts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.starts))
	for k, n := range s.starts {
		out[k] = n
	}
	return out
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/run":
		s.run(ctx)
	case "/healthz":
		s.health(ctx)
	case "/starts":
		s.report(ctx)
	case "/faults":
		s.setFaults(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.healthChecks++
	unhealthy := s.faults.Unhealthy || s.faults.Fail || s.faults.Hang
	s.mu.Unlock()
	if unhealthy {
		ctx.Error("sick", fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	total := 0
	for _, n := range s.starts {
		total += n
	}
	out := struct {
		Total   int            `json:"total"`
		Doubled []string       `json:"doubled"`
		Most    int64          `json:"most-at-once"`
		Checks  int            `json:"health-checks"`
		Starts  map[string]int `json:"starts,omitempty"`
	}{Total: total, Checks: s.healthChecks, Doubled: append([]string{}, s.doubled...), Most: s.maxRunning.Load()}
	if ctx.QueryArgs().GetBool("all") {
		out.Starts = s.starts
	}
	body, err := json.Marshal(out)
	s.mu.Unlock()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var f faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error("faults: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Server) recordStart(key string) faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[key]++
	if s.starts[key] == 2 {
		s.doubled = append(s.doubled, key)
	}
	f := s.faults
	if s.faults.CutAnswers > 0 {
		s.faults.CutAnswers--
	}
	return f
}

func (s *Server) run(ctx *fasthttp.RequestCtx) {
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for {
		highest := s.maxRunning.Load()
		if n <= highest || s.maxRunning.CompareAndSwap(highest, n) {
			break
		}
	}
	kind := string(ctx.Request.Header.Peek("Kind"))
	f := s.recordStart(string(ctx.Request.Header.Peek("Task")))
	if f.Fail || (f.FailKind != "" && f.FailKind == kind) {
		ctx.Error("stand-in target is set to fail", fasthttp.StatusInternalServerError)
		return
	}
	if f.Hang {
		<-s.done
		return
	}
	out, err := work(kind, ctx.PostBody(), s.runTimeFactor(f), s.done)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusUnprocessableEntity)
		return
	}
	if f.CutAnswers > 0 {
		sendTruncated(ctx, out)
		return
	}
	ctx.SetBody(out)
}

func (s *Server) runTimeFactor(f faults) float64 {
	factor := 1.0
	if s.Speed > 0 {
		factor /= s.Speed
	}
	if f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	return factor
}

// sendTruncated sends the full Content-Length but only half of the body, and closes the connection.
func sendTruncated(ctx *fasthttp.RequestCtx, out []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(out)) + "\r\n\r\n"
		_, _ = c.Write(append([]byte(head), out[:len(out)/2]...))
	})
}

// sleep waits for d or until done is closed.
func sleep(d time.Duration, done <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
