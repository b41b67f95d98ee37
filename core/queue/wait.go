package queue

import "time"

// Wait returns the expected wait of a new item at the end of a share: the share's backlog and debt over the part of
// the host that it gets among the shares that are busy now. It leaves out the rest of the tasks that run now.
func (q *Queue[T]) Wait(teamName, kindName string) time.Duration {
	k := q.find(teamName, kindName)
	if k == nil || k.queued == 0 {
		return 0
	}
	t := k.team
	fraction := float64(t.weight) / float64(q.weights.active) * float64(k.weight) / float64(t.weights.active)
	debt := max(k.start-t.now, 0) * float64(k.weight)
	return time.Duration((k.backlog + debt) / fraction * float64(time.Second))
}
