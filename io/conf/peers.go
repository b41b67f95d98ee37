package conf

import "context"

// Hint reports that a peer has the given version in force; a Source that is behind requests it from its peers at once.
func (s *Source) Hint(version int64) {
	s.mu.Lock()
	ahead := version > s.history.Version()
	s.peerVersion = max(s.peerVersion, version)
	s.mu.Unlock()
	if ahead {
		s.wake()
	}
}

func (s *Source) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// followPeers waits for a wake-up and then requests state from peers until nothing is missing.
func (s *Source) followPeers(ctx context.Context) {
	if s.opts.Peers == nil {
		return
	}
	for {
		select {
		case <-s.wakeup:
			s.catchUp(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Source) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		version, ok := s.missingSince()
		if !ok {
			return
		}
		s.fetch(ctx, version)
		pause(ctx, peerInterval)
	}
}

// missingSince returns the version to request updates from (0: the full state), and false if no request is needed.
func (s *Source) missingSince() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.history.Version()
	switch {
	case !s.history.Complete():
		return 0, true
	case s.outage, s.peerVersion > version:
		return version, true
	}
	return 0, false
}

// fetch adopts an update from a peer; if it can't be applied, it requests the full state.
func (s *Source) fetch(ctx context.Context, version int64) {
	if s.adopt(ctx, version) != nil && version > 0 {
		_ = s.adopt(ctx, 0)
	}
}

// adopt returns an error only when the response can't be applied; a failed or empty request is repeated later.
func (s *Source) adopt(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := s.opts.Peers.Config(ctx, version)
	if err != nil || len(data) == 0 {
		return nil
	}
	s.change(func() { _, err = s.history.Adopt(data) })
	return err
}
