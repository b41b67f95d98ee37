package flight

import "time"

// minPause is the least time between the end of a call and the start of the next, which bounds the calls of a process whose
// requests come from many others.
const minPause = 100 * time.Millisecond

// Flight holds the requests that wait for a call; the zero value holds none.
type Flight[T any] struct {
	waiting   []T
	underWay  bool
	notBefore time.Time
}

// Add adds a request.
func (f *Flight[T]) Add(request T) { f.waiting = append(f.waiting, request) }

// Start returns the requests that a call answers which starts now, none if no call may start or is needed.
func (f *Flight[T]) Start(now time.Time) []T {
	if f.underWay || len(f.waiting) == 0 || now.Before(f.notBefore) {
		return nil
	}
	list := f.waiting
	f.waiting, f.underWay = nil, true
	return list
}

// Done records the end of the call.
func (f *Flight[T]) Done(now time.Time) { f.underWay, f.notBefore = false, now.Add(minPause) }
