package lessor

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const maxDelay = 30 * time.Second

// faultSettings is the body of POST /faults; it replaces all faults in force.
type faultSettings struct {
	Down           bool    `json:"down"`
	SlowMS         int     `json:"slow-ms"`
	LoseAnswers    int     `json:"lose-answers"`
	MemoryFactor   float64 `json:"memory-factor"`
	CoresFactor    float64 `json:"cores-factor"`
	RefuseRenewals bool    `json:"refuse-renewals"`
}

func (s *faultSettings) valid() bool {
	return s.SlowMS >= 0 && s.SlowMS <= int(maxDelay.Milliseconds()) &&
		s.LoseAnswers >= 0 && s.MemoryFactor >= 0 && s.CoresFactor >= 0
}

// factorOrOne returns the factor in force; zero means that tasks use what they declare.
func factorOrOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var set faultSettings
	if !decode(ctx, &set) {
		return
	}
	if !set.valid() {
		refuse(ctx, fasthttp.StatusBadRequest, "slow-ms must be between 0 and 30000, the others at least 0")
		return
	}
	s.mu.Lock()
	s.faults = set
	s.mu.Unlock()
	answer(ctx, set)
}

// applyOutage delays the request, or refuses it while the service is down; false means that it was answered.
func (s *Server) applyOutage(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	set := s.faults
	s.mu.Unlock()
	if set.Down {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "the lease service is down")
		return false
	}
	timer := time.NewTimer(time.Duration(set.SlowMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
	return true
}

// loseAnswer reports whether to drop the next answer, and decrements the number of answers to drop.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// closeConn closes the connection without an answer.
func closeConn(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
