package logsrv

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxDelay = 30 * time.Second

// faultSettings is the body of POST /v1/faults; it replaces all faults in force.
type faultSettings struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slow-ms"`
	LoseAnswers int  `json:"lose-answers"`
	Pause       bool `json:"pause"`
}

// faults holds the faults in force; changed is closed at each change.
type faults struct {
	mu      sync.Mutex
	set     faultSettings
	changed chan struct{}
}

func (f *faults) replace(set faultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = set
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

func (f *faults) current() (faultSettings, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.set, f.changed
}

// loseAnswer reports whether to drop the next answer, and decrements the number of answers to drop.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set.LoseAnswers == 0 {
		return false
	}
	f.set.LoseAnswers--
	return true
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var set faultSettings
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&set); {
	case !ctx.IsPost():
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "only POST")
	case err != nil:
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
	case set.SlowMS < 0 || set.SlowMS > int(maxDelay.Milliseconds()) || set.LoseAnswers < 0:
		refuse(ctx, fasthttp.StatusBadRequest, "slow-ms must be between 0 and 30000, lose-answers at least 0")
	default:
		s.faults.replace(set)
		answer(ctx, set)
	}
}

// applyOutage blocks the request while the log is paused and refuses it while it is down; false means that it was answered.
func (s *Server) applyOutage(ctx *fasthttp.RequestCtx) bool {
	for {
		set, changed := s.faults.current()
		if set.Down {
			refuse(ctx, fasthttp.StatusServiceUnavailable, "the log is down")
			return false
		}
		if set.Pause {
			select {
			case <-changed:
				continue
			case <-s.done:
				closeConn(ctx)
				return false
			}
		}
		return true
	}
}

// delay delays a request by the configured time, or until the server closes.
func (s *Server) delay() {
	set, _ := s.faults.current()
	if set.SlowMS == 0 {
		return
	}
	timer := time.NewTimer(time.Duration(set.SlowMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// closeConn closes the connection without an answer.
func closeConn(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
