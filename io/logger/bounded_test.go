package logger_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/io/logger"
)

// blockedWriter is a writer that blocks forever.
type blockedWriter struct{ began chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) {
	close(s.began)
	select {}
}

func TestABlockedWriterDoesNotBlockTheProcess(t *testing.T) {
	var dropped atomic.Uint64
	w := blockedWriter{make(chan struct{})}
	log := logger.Bounded(w, "entry", "e", &dropped)
	log.Info("first")
	<-w.began
	const lines = 5000
	for i := range lines {
		log.Info("message " + strconv.Itoa(i))
	}
	require.Greater(t, dropped.Load(), uint64(lines/2))
}

func TestLinesWithTheSameMessageAreLimited(t *testing.T) {
	var dropped atomic.Uint64
	r, w := io.Pipe()
	log := logger.Bounded(w, "entry", "e", &dropped)
	const lines = 20_000
	done := make(chan int)
	go func() {
		n := 0
		buf := make([]byte, 1<<16)
		for {
			k, err := r.Read(buf)
			n += bytes.Count(buf[:k], []byte("same"))
			if err != nil || bytes.Contains(buf[:k], []byte("last")) {
				done <- n
				return
			}
		}
	}()
	for range lines {
		log.Info("same")
	}
	log.Info("last")
	require.Less(t, <-done, lines/2)
	require.Positive(t, dropped.Load())
}

func TestALineIsOneJSONObjectWithRoleAndName(t *testing.T) {
	var b bytes.Buffer
	logger.New(&b, "agent", "a-1").Info("run ended", zap.String("how", "done"))
	fields := map[string]any{}
	require.NoError(t, json.Unmarshal(b.Bytes(), &fields))
	require.Equal(t, "agent", fields["role"])
	require.Equal(t, "a-1", fields["name"])
	require.Equal(t, "done", fields["how"])
	require.Equal(t, 1, strings.Count(b.String(), "\n"))
}

func BenchmarkLine(b *testing.B) {
	var dropped atomic.Uint64
	log := logger.Bounded(io.Discard, "agent", "a-1", &dropped)
	for i := range b.N {
		log.Info("run ended "+strconv.Itoa(i%1000), zap.String("task", "5c0e7a21d94b36f8.0.0.1"), zap.Int("ran-ms", i), zap.String("how", "done"))
	}
}
