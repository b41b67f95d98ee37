package logsrv

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxSlow = 30 * time.Second

// setting is the body of POST /v1/faults; it replaces the faults in force as a whole.
type setting struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slow-ms"`
	LoseAnswers int  `json:"lose-answers"`
	Pause       bool `json:"pause"`
}

// faults holds the faults in force; changed closes at each change.
type faults struct {
	mu      sync.Mutex
	set     setting
	changed chan struct{}
}

func (f *faults) replace(set setting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = set
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

func (f *faults) current() (setting, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.set, f.changed
}

// loseAnswer uses up one of the answers to lose.
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
	var set setting
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&set); {
	case !ctx.IsPost():
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "only POST")
	case err != nil:
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
	case set.SlowMS < 0 || set.SlowMS > int(maxSlow.Milliseconds()) || set.LoseAnswers < 0:
		refuse(ctx, fasthttp.StatusBadRequest, "slow-ms must be between 0 and 30000, lose-answers at least 0")
	default:
		s.faults.replace(set)
		answer(ctx, set)
	}
}

// pass holds the request while the log is paused and refuses it while it is down; false means that it is answered already.
func (s *Server) pass(ctx *fasthttp.RequestCtx) bool {
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
				hangUp(ctx)
				return false
			}
		}
		return true
	}
}

// slow delays a request once, or until the server closes.
func (s *Server) slow() {
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

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
