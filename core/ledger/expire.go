package ledger

import "time"

// Expire forgets the records whose job's deadline plus the margin has passed, and returns how many tasks that were.
func (l *Ledger) Expire(now time.Time) int {
	before := l.starts
	for last := now.Unix(); l.low <= last && len(l.buckets) > 0; l.low++ {
		for _, rec := range l.buckets[l.low] {
			l.forget(rec)
		}
		delete(l.buckets, l.low)
	}
	l.results.trim()
	return before - l.starts
}

func (l *Ledger) forget(rec *record) {
	for i := range rec.tasks {
		l.bytes -= len(rec.tasks[i].Result)
	}
	l.starts -= len(rec.tasks)
	rec.tasks = nil
	jobs := l.shards[int(rec.shard)]
	delete(jobs, rec.name)
	if len(jobs) == 0 {
		delete(l.shards, int(rec.shard))
	}
}

// shrink drops the oldest results until the rest fits.
func (l *Ledger) shrink() {
	for l.bytes > l.maxResults() {
		oldest, ok := l.results.pop()
		if !ok {
			return
		}
		if task := oldest.rec.find(oldest.index); task != nil {
			l.bytes -= len(task.Result)
			task.State, task.Result = Dropped, nil
		}
	}
	l.results.trim()
}

type kept struct {
	rec   *record
	index uint32
}

// queue holds the kept results in the order of their arrival.
type queue struct {
	items []kept
	head  int
}

func (q *queue) push(k kept) { q.items = append(q.items, k) }

func (q *queue) pop() (kept, bool) {
	if q.head == len(q.items) {
		return kept{}, false
	}
	k := q.items[q.head]
	q.items[q.head] = kept{}
	q.head++
	return k, true
}

// trim skips results whose records have expired, and gives back the room of what was taken.
func (q *queue) trim() {
	for q.head < len(q.items) && q.items[q.head].rec.tasks == nil {
		q.pop()
	}
	if q.head > len(q.items)/2 {
		q.items = append([]kept(nil), q.items[q.head:]...)
		q.head = 0
	}
}
