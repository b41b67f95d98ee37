package conf

import "context"

// Hint tells that a peer has the given version in force; a Source that is behind asks its peers at once.
func (s *Source) Hint(version int64) {
	s.mu.Lock()
	ahead := version > s.history.Version()
	s.heard = max(s.heard, version)
	s.mu.Unlock()
	if ahead {
		s.wake()
	}
}

func (s *Source) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// followPeers sleeps until it is woken, and then asks until nothing is lacking.
func (s *Source) followPeers(ctx context.Context) {
	if s.opts.Peers == nil {
		return
	}
	for {
		select {
		case <-s.kick:
			s.catchUp(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Source) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		version, ok := s.lacks()
		if !ok {
			return
		}
		s.ask(ctx, version)
		pause(ctx, peerInterval)
	}
}

// lacks tells whether peers are to be asked, and from which version on.
func (s *Source) lacks() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.history.Version()
	switch {
	case !s.history.Complete():
		return 0, true
	case s.outage, s.heard > version:
		return version, true
	}
	return 0, false
}

// ask takes over what one peer has; a part that doesn't fit is followed by the whole.
func (s *Source) ask(ctx context.Context, version int64) {
	if s.adopt(ctx, version) != nil && version > 0 {
		_ = s.adopt(ctx, 0)
	}
}

// adopt returns an error only when the answer didn't fit; a peer without an answer is asked again later.
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
