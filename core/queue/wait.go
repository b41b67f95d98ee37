package queue

import "time"

// Wait returns the expected wait of a new item of a share: the share's backlog and debt over its rate among the shares
// that are active now. It doesn't count the remaining run time of running tasks.
func (q *Queue[T]) Wait(teamName, kindName string) time.Duration {
	k := q.find(teamName, kindName)
	if k == nil || k.queued == 0 {
		return 0
	}
	return seconds((k.correctedBacklog() + q.debt(k)) / q.rate(k))
}

// rate returns the host-seconds per second that an active share gets while the set of active shares stays the same.
func (q *Queue[T]) rate(k *kind[T]) float64 {
	t := k.team
	return float64(t.weight) / float64(q.weights.active) * float64(k.weight) / float64(t.weights.active)
}

// debt returns the host-seconds by which a waiting share lags behind the first share to be served, at both levels.
func (q *Queue[T]) debt(k *kind[T]) float64 {
	t := k.team
	behindKinds := (k.startTag - t.waiting.Min().startTag) * float64(k.weight)
	behindTeams := (t.startTag - q.waiting.Min().startTag) * float64(t.weight)
	return behindKinds + behindTeams
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
