package queue

import "time"

// Wait returns the expected wait of a new item of a share: the share's backlog and debt over the part of the host that
// it gets among the shares that are busy now. It leaves out the rest of the tasks that run now.
func (q *Queue[T]) Wait(teamName, kindName string) time.Duration {
	k := q.find(teamName, kindName)
	if k == nil || k.queued == 0 {
		return 0
	}
	return seconds((k.work() + q.debt(k)) / q.rate(k))
}

// rate returns the host-seconds a second that a busy share gets while the present set of shares stays busy.
func (q *Queue[T]) rate(k *kind[T]) float64 {
	t := k.team
	return float64(t.weight) / float64(q.weights.active) * float64(k.weight) / float64(t.weights.active)
}

// debt returns the host-seconds that a waiting share lies behind the first of its rivals, at both levels.
func (q *Queue[T]) debt(k *kind[T]) float64 {
	t := k.team
	behindKinds := (k.start - t.waiting.Min().start) * float64(k.weight)
	behindTeams := (t.start - q.waiting.Min().start) * float64(t.weight)
	return behindKinds + behindTeams
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
