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

// stater can describe its whole state.
type stater interface {
	State(ctx context.Context) ([]byte, error)
}

// OnSignal prints the state of s to w at each SIGUSR1 until ctx ends.
func OnSignal(ctx context.Context, w io.Writer, s stater) {
	got := make(chan os.Signal, 1)
	signal.Notify(got, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(got)
		for {
			select {
			case <-got:
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
