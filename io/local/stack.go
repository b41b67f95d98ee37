package local

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/io/agentd"
	"persimmonstage/io/agtset"
	"persimmonstage/io/entryd"
	"persimmonstage/io/entset"
	"persimmonstage/io/logsrv"
	"persimmonstage/io/runner"
)

const (
	slots        = 8
	cores        = 64
	memoryMB     = 128 << 10
	anyPort      = "127.0.0.1:0"
	readyTimeout = 10 * time.Second
	readyPoll    = 5 * time.Millisecond
	dataCentre   = "local"
)

// Stack is a running installation on free loopback ports.
type Stack struct {
	log     *zap.Logger
	entry   *entryd.Daemon
	agents  []*agentd.Daemon
	targets []*runner.Server
	logs    *logsrv.Server
	stop    context.CancelFunc
	ended   sync.WaitGroup
}

// Start starts an installation with n targets and returns once all of them can get work.
func Start(n int, log *zap.Logger) (*Stack, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Stack{log: log, stop: stop}
	if err := s.start(ctx, n); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Stack) start(ctx context.Context, n int) error {
	var err error
	if s.logs, err = logsrv.Start(anyPort, logsrv.DefaultRetention, 0); err != nil {
		return errors.Wrap(err, "stand-in log")
	}
	if err := s.startEntry(ctx); err != nil {
		return errors.Wrap(err, "entry")
	}
	for i := range n {
		if err := s.startAgent(ctx, i); err != nil {
			return errors.Wrapf(err, "agent %d", i+1)
		}
	}
	return s.awaitTargets(ctx, n)
}

func (s *Stack) startEntry(ctx context.Context) error {
	text := fmt.Sprintf("name = \"entry-1\"\naccess = \"open\"\ndata-centre = %q\nhttp = %q\ncontrol = %q\nbulk = %q\nlog = %q\n",
		dataCentre, anyPort, anyPort, anyPort, s.logs.Addr())
	set, err := entset.Load("entry.toml", []byte(text))
	if err != nil {
		return err
	}
	if s.entry, err = entryd.New(set, s.log); err != nil {
		return err
	}
	s.run(func() error { return s.entry.Run(ctx) })
	return nil
}

func (s *Stack) startAgent(ctx context.Context, i int) error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	t := &runner.Server{}
	s.targets = append(s.targets, t)
	s.run(func() error { return t.Serve(l) })
	set := &agtset.Settings{}
	set, err = agtset.Load("agent.toml", fmt.Appendf(nil,
		"name = \"agent-%d\"\ndata-centre = %q\nrack = \"rack-%d\"\ntarget = \"http://%s\"\nhttp = %q\nentries = [%q]\n"+
			"[capacity]\nslots = %d\ncores = %d\nmemory-mb = %d\n",
		i+1, dataCentre, i+1, l.Addr(), anyPort, s.entry.BulkAddr(), slots, cores, memoryMB))
	if err != nil {
		return err
	}
	a, err := agentd.New(set, s.log)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.run(func() error { return a.Run(ctx) })
	return nil
}

func (s *Stack) run(f func() error) {
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		if err := f(); err != nil {
			s.log.Error("component ended", zap.Error(err))
		}
	}()
}

func (s *Stack) awaitTargets(ctx context.Context, n int) error {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if s.entry.Targets(bounded) >= n {
			return nil
		}
		select {
		case <-bounded.Done():
			return errors.Newf("only %d of %d targets were announced within %s", s.entry.Targets(ctx), n, readyTimeout)
		case <-time.After(readyPoll):
		}
	}
}

// URL returns the base URL for callers, which is also the address of the report page.
func (s *Stack) URL() string { return "http://" + s.entry.Addr() + "/" }

// Stop stops every component after the requests in progress.
func (s *Stack) Stop() {
	s.stop()
	for _, t := range s.targets {
		t.Stop()
	}
	s.ended.Wait()
	if s.logs != nil {
		_ = s.logs.Close()
	}
}
