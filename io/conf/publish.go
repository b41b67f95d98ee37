package conf

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/fold"
	"persimmonstage/io/logcl"
)

// UnavailableError reports that a publication wasn't confirmed because the log was unavailable.
type UnavailableError struct {
	maybe bool
	cause error
}

// Error returns a message that states whether the publication may have been accepted.
func (e *UnavailableError) Error() string {
	if e.maybe {
		return fmt.Sprintf("not known whether it was published: %v", e.cause)
	}
	return fmt.Sprintf("not published: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// MaybePublished returns true when the record may be in the log; publishing it again with the same id is safe.
func (e *UnavailableError) MaybePublished() bool { return e.maybe }

// Publish makes doc the version after base and returns it once its record has been read back as applied, until ctx ends.
// A base that is not in force gives a *vers.ConflictError, an unreachable log an *UnavailableError. The id makes a
// repeated call safe; Run must be running.
func (s *Source) Publish(ctx context.Context, id string, base int64, author string, doc fold.Document) (int64, error) {
	if s.opts.Log == nil {
		return 0, &UnavailableError{cause: errors.New("this process has no log")}
	}
	if err := s.awaitVersion(ctx, base); err != nil {
		return 0, err
	}
	version, data, err := s.propose(id, base, author, doc)
	if err != nil || data == nil {
		return version, err
	}
	if err := s.awaitLog(ctx); err != nil {
		return 0, err
	}
	return s.commit(ctx, id, base, data)
}

// outageTimeout is how long a publication waits for the end of an outage before it fails: long enough for a restart of
// the log, and short because an operator shouldn't wait for a log that is down.
const outageTimeout = time.Second

var errLogDown = errors.New("the platform's log is down; the version in force stays, publish again when the log is back")

// awaitLog waits up to outageTimeout for the end of an outage of the log.
func (s *Source) awaitLog(ctx context.Context) error {
	timer := time.NewTimer(outageTimeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		outage, changed := s.outage, s.changed
		s.mu.Unlock()
		if !outage {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return &UnavailableError{cause: errLogDown}
		case <-ctx.Done():
			return &UnavailableError{cause: errLogDown}
		}
	}
}

// ReusedError reports that the id of a publication has been used for another document or base.
type ReusedError struct {
	id string
}

// Error returns a message with the id.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("id %q has been used for another publication", e.id)
}

// awaitVersion waits until this process has reached base, which the operator may have read from another entry.
func (s *Source) awaitVersion(ctx context.Context, base int64) error {
	var down <-chan time.Time
	for {
		s.mu.Lock()
		if !s.outage {
			down = nil
		} else if down == nil {
			down = time.After(outageTimeout)
		}
		known := s.history.Complete() && s.history.Version() >= base
		changed := s.changed
		s.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-changed:
		case <-down:
			return &UnavailableError{cause: errLogDown}
		case <-ctx.Done():
			return &UnavailableError{cause: errors.Newf("version %d is not known here yet", base)}
		}
	}
}

// propose returns the record to append, or the version in force when there is nothing to append.
func (s *Source) propose(id string, base int64, author string, doc fold.Document) (int64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.history.Applied(id); ok {
		return version, nil, s.checkSameDocument(version, id, doc)
	}
	if _, void := s.history.Rejected(id); void {
		return 0, nil, &ReusedError{id: id}
	}
	data, err := s.history.Propose(id, base, author, time.Now().UTC(), doc)
	if err != nil {
		return 0, nil, err
	}
	if base > 0 && s.history.Document().Sum() == doc.Sum() {
		return base, nil, nil
	}
	return 0, data, nil
}

func (s *Source) checkSameDocument(version int64, id string, doc fold.Document) error {
	if applied, ok := s.history.At(version); ok && applied.Sum() != doc.Sum() {
		return &ReusedError{id: id}
	}
	return nil
}

// commit appends the record until it is read back as applied or rejected. Readers reject a second copy, so repeating is
// safe.
func (s *Source) commit(ctx context.Context, id string, base int64, data []byte) (int64, error) {
	maybe := false
	for {
		err := s.append(ctx, data)
		var refused *logcl.RefusedError
		if errors.As(err, &refused) {
			return 0, &UnavailableError{maybe: maybe, cause: err}
		}
		var outage *logcl.OutageError
		maybe = maybe || err == nil || !errors.As(err, &outage) || outage.MaybeApplied()
		version, known, outcomeErr := s.awaitOutcome(ctx, id, base, err == nil)
		if known {
			return version, outcomeErr
		}
		if ctx.Err() != nil {
			return 0, &UnavailableError{maybe: maybe, cause: errors.CombineErrors(err, ctx.Err())}
		}
		if !maybe && s.Outage() {
			return 0, &UnavailableError{cause: errLogDown}
		}
	}
}

func (s *Source) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.opts.Log.Append(ctx, s.opts.Stream, data)
	return err
}

// awaitOutcome waits for the record to be read back, for a shorter time if the append failed, so that it is repeated.
func (s *Source) awaitOutcome(ctx context.Context, id string, base int64, appended bool) (int64, bool, error) {
	timeout := appendRetryDelay
	if appended {
		timeout = pollTimeout + appendRetryDelay
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		version, known, changed, err := s.outcome(id, base)
		if known {
			return version, true, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return 0, false, nil
		case <-ctx.Done():
			return 0, false, nil
		}
	}
}

// outcome returns the outcome of the record with this id, or the channel that is closed at the next change.
func (s *Source) outcome(id string, base int64) (int64, bool, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.history.Applied(id); ok {
		return version, true, nil, nil
	}
	if _, ok := s.history.Rejected(id); ok {
		return 0, true, nil, s.history.Conflict(base)
	}
	return 0, false, s.changed, nil
}
