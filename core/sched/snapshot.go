package sched

import "time"

// Snapshot is the scheduler's part of a state dump.
type Snapshot struct {
	Jobs    []jobState    `json:"jobs"`
	Targets []targetState `json:"targets"`
	Waiting int           `json:"jobs-waiting"`
	Open    int           `json:"attempts-open"`
	Load    float64       `json:"load"`
	Pairs   []pairState   `json:"pairs-apart,omitempty"`
}

type jobState struct {
	ID        string    `json:"id"`
	Route     string    `json:"route"`
	Arrived   time.Time `json:"arrived"`
	Objective time.Time `json:"objective"`
	Deadline  time.Time `json:"deadline"`
	Tasks     int       `json:"tasks"`
	Left      int       `json:"left"`
	Waiting   int       `json:"waiting"`
}

// pairState is a pair of routes that is kept apart.
type pairState struct {
	Slowed   string  `json:"slowed"`
	By       string  `json:"by"`
	Factor   float64 `json:"factor"`
	Error    float64 `json:"log-error"`
	Evidence float64 `json:"evidence"`
}

type targetState struct {
	Agent       string  `json:"agent"`
	Incarnation string  `json:"incarnation"`
	DataCentre  string  `json:"data-centre"`
	Service     string  `json:"service"`
	Connected   bool    `json:"connected"`
	Usable      bool    `json:"usable"`
	Evacuated   bool    `json:"evacuated"`
	Pace        float64 `json:"pace"`
	Millicores  uint64  `json:"millicores"`
	Used        uint64  `json:"used-millicores"`
	Attempts    int     `json:"attempts"`
	Failures    int     `json:"failures-in-a-row"`
}

// Snapshot returns the unfinished jobs and the known targets; times are those of the clock that the caller passes in.
func (s *Sched) Snapshot() *Snapshot {
	out := &Snapshot{Waiting: len(s.queue), Open: len(s.openByTask), Load: s.load}
	for _, j := range s.live {
		if j.ended {
			continue
		}
		out.Jobs = append(out.Jobs, jobState{
			ID: j.batch.ID, Route: j.batch.Route.Name, Arrived: j.arrived, Objective: j.objective, Deadline: j.batch.Deadline,
			Tasks: j.batch.Tasks, Left: j.left, Waiting: j.waiting,
		})
	}
	if s.pairs != nil {
		for _, c := range s.pairs.Estimates() {
			out.Pairs = append(out.Pairs, pairState{Slowed: c.Slowed, By: c.By, Factor: c.Factor, Error: c.Error, Evidence: c.Evidence})
		}
	}
	for _, t := range s.targets {
		used, _ := t.used()
		out.Targets = append(out.Targets, targetState{
			Agent: t.name, Incarnation: t.incarnation, DataCentre: t.location(), Service: t.state.Service, Connected: t.connected,
			Usable: t.state.Usable, Evacuated: t.evacuated, Pace: t.state.Pace, Millicores: t.state.Millicores, Used: used, Attempts: len(t.attempts),
			Failures: t.failures,
		})
	}
	return out
}
