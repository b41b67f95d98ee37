package logger

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is how many lines may be queued for the writer before further ones are dropped.
	queueLines = 1024
	// burstLines is how many lines with the same message and level are written a second; of further ones, every sampleEvery-th.
	burstLines  = 300
	sampleEvery = 100
)

// Bounded returns a logger like New's that queues its lines, so that a blocked writer never blocks the process, and limits the
// number of lines per second; dropped counts the lines that were not written.
func Bounded(w io.Writer, role, name string, dropped *atomic.Uint64) *zap.Logger {
	q := &queue{lines: make(chan []byte, queueLines), dropped: dropped}
	go q.drain(w)
	core := zapcore.NewCore(encoder(), q, zapcore.InfoLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, burstLines, sampleEvery, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
	return zap.New(core).With(zap.String("role", role), zap.String("name", name))
}

// queue passes lines to a writer on a separate goroutine.
type queue struct {
	lines   chan []byte
	dropped *atomic.Uint64
}

// Write queues a line, or drops it if the queue is full.
func (q *queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing; lines are written as they arrive.
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
