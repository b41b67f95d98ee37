package ledger

import "time"

// Expire removes the records whose job's deadline plus the margin has passed, and returns the number of tasks removed.
func (l *Ledger) Expire(now time.Time) int {
	before := l.starts
	for last := now.Unix(); l.lowestBucket <= last && len(l.buckets) > 0; l.lowestBucket++ {
		for _, rec := range l.buckets[l.lowestBucket] {
			l.forget(rec)
		}
		delete(l.buckets, l.lowestBucket)
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

// shrink drops the oldest results until the rest fits into the limit.
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

type keptResult struct {
	rec   *record
	index uint32
}

// queue is a FIFO of the kept results.
type queue struct {
	items []keptResult
	head  int
}

func (q *queue) push(k keptResult) { q.items = append(q.items, k) }

func (q *queue) pop() (keptResult, bool) {
	if q.head == len(q.items) {
		return keptResult{}, false
	}
	k := q.items[q.head]
	q.items[q.head] = keptResult{}
	q.head++
	return k, true
}

// trim skips results whose records have expired, and frees the memory of the entries already taken.
func (q *queue) trim() {
	for q.head < len(q.items) && q.items[q.head].rec.tasks == nil {
		q.pop()
	}
	if q.head > len(q.items)/2 {
		q.items = append([]keptResult(nil), q.items[q.head:]...)
		q.head = 0
	}
}
