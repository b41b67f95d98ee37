package dump

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const dumpTimeout = 2 * time.Second

// stater returns its whole state as JSON.
type stater interface {
	State(ctx context.Context) ([]byte, error)
}

// OnSignal writes the state of s to w on each SIGUSR1 until ctx ends.
func OnSignal(ctx context.Context, w io.Writer, s stater) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				write(ctx, w, s)
			case <-ctx.Done():
				return
			}
		}
	}()
}

func write(ctx context.Context, w io.Writer, s stater) {
	bounded, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	body, err := s.State(bounded)
	if err != nil {
		fmt.Fprintf(w, "{\"message\":%q}\n", "state: "+err.Error())
		return
	}
	fmt.Fprintf(w, "%s\n", body)
}
