package conf

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/fold"
	"persimmonstage/io/logcl"
)

// UnavailableError says that a publication was not accepted because the log can't be reached.
type UnavailableError struct {
	maybe bool
	cause error
}

// Error tells whether the publication may still be found in force.
func (e *UnavailableError) Error() string {
	if e.maybe {
		return fmt.Sprintf("not known whether it was published: %v", e.cause)
	}
	return fmt.Sprintf("not published: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// MaybePublished is true when the record may be in the log; publishing it again with the same id is safe.
func (e *UnavailableError) MaybePublished() bool { return e.maybe }

// Publish makes doc the version after base and returns it once its record has been read back as applied, until ctx ends.
// A base that is not in force is a *vers.ConflictError, a log that doesn't answer an *UnavailableError. The id makes a
// repeated call safe; Run must be running.
func (s *Source) Publish(ctx context.Context, id string, base int64, author string, doc fold.Document) (int64, error) {
	if s.opts.Log == nil {
		return 0, &UnavailableError{cause: errors.New("this process has no log")}
	}
	if err := s.await(ctx, base); err != nil {
		return 0, err
	}
	version, data, err := s.propose(id, base, author, doc)
	if err != nil || data == nil {
		return version, err
	}
	if err := s.reachable(ctx); err != nil {
		return 0, err
	}
	return s.commit(ctx, id, base, data)
}

// outagePatience is how long a publication waits for the end of an outage before it is refused: a log that restarts is
// back within it, and an operator shouldn't wait for one that is down.
const outagePatience = time.Second

var errLogDown = errors.New("the platform's log is down; the version in force stays, publish again when the log is back")

// reachable waits a moment for the end of an outage of the log.
func (s *Source) reachable(ctx context.Context) error {
	timer := time.NewTimer(outagePatience)
	defer timer.Stop()
	for {
		s.mu.Lock()
		outage, moved := s.outage, s.moved
		s.mu.Unlock()
		if !outage {
			return nil
		}
		select {
		case <-moved:
		case <-timer.C:
			return &UnavailableError{cause: errLogDown}
		case <-ctx.Done():
			return &UnavailableError{cause: errLogDown}
		}
	}
}

// ReusedError says that the id of a publication has been used for another document or base.
type ReusedError struct {
	id string
}

// Error names the id.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("id %q has been used for another publication", e.id)
}

// await waits until this process is at base or beyond: the operator may have read it from another entry.
func (s *Source) await(ctx context.Context, base int64) error {
	var down <-chan time.Time
	for {
		s.mu.Lock()
		if !s.outage {
			down = nil
		} else if down == nil {
			down = time.After(outagePatience)
		}
		known := s.history.Complete() && s.history.Version() >= base
		moved := s.moved
		s.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-moved:
		case <-down:
			return &UnavailableError{cause: errLogDown}
		case <-ctx.Done():
			return &UnavailableError{cause: errors.Newf("version %d is not known here yet", base)}
		}
	}
}

// propose returns the record to append, or the version when there is nothing to append.
func (s *Source) propose(id string, base int64, author string, doc fold.Document) (int64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.history.Applied(id); ok {
		return version, nil, s.sameAs(version, id, doc)
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

func (s *Source) sameAs(version int64, id string, doc fold.Document) error {
	if applied, ok := s.history.At(version); ok && applied.Sum() != doc.Sum() {
		return &ReusedError{id: id}
	}
	return nil
}

// commit appends until the record is found applied or void. A second copy is void, so repeating is safe.
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
		version, known, verdict := s.verdict(ctx, id, base, err == nil)
		if known {
			return version, verdict
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

// verdict waits for the record to be read back; without an answer to the append it gives up early, to repeat it.
func (s *Source) verdict(ctx context.Context, id string, base int64, answered bool) (int64, bool, error) {
	patience := repeatAppend
	if answered {
		patience = pollTimeout + repeatAppend
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		version, known, moved, err := s.outcome(id, base)
		if known {
			return version, true, err
		}
		select {
		case <-moved:
		case <-timer.C:
			return 0, false, nil
		case <-ctx.Done():
			return 0, false, nil
		}
	}
}

// outcome tells what became of the record of this id, or returns the channel that closes when more is known.
func (s *Source) outcome(id string, base int64) (int64, bool, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.history.Applied(id); ok {
		return version, true, nil, nil
	}
	if _, ok := s.history.Rejected(id); ok {
		return 0, true, nil, s.history.Conflict(base)
	}
	return 0, false, s.moved, nil
}
