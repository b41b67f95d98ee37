package logger

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is how many lines may wait for the writer before further ones are dropped.
	queueLines = 1024
	// burstLines is how many lines of one message and level are written in a second; of more every restEvery-th is.
	burstLines = 300
	restEvery  = 100
)

// Bounded returns a logger like New's whose lines wait in a queue, so that a writer that blocks never holds up the process, and
// of which a bounded number a second is written; dropped counts the others.
func Bounded(w io.Writer, role, name string, dropped *atomic.Uint64) *zap.Logger {
	q := &queue{lines: make(chan []byte, queueLines), dropped: dropped}
	go q.drain(w)
	core := zapcore.NewCore(encoder(), q, zapcore.InfoLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, burstLines, restEvery, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
	return zap.New(core).With(zap.String("role", role), zap.String("name", name))
}

// queue passes lines to a writer on a goroutine of its own.
type queue struct {
	lines   chan []byte
	dropped *atomic.Uint64
}

// Write queues a line, or drops it when the writer is behind.
func (q *queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing; lines are written as they come.
func (q *queue) Sync() error { return nil }

func (q *queue) drain(w io.Writer) {
	for line := range q.lines {
		buf := line
		for more := true; more; {
			select {
			case next := <-q.lines:
				buf = append(buf, next...)
			default:
				more = false
			}
		}
		if _, err := w.Write(buf); err != nil {
			q.dropped.Add(1)
		}
	}
}
