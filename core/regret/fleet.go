package regret

import (
	"time"

	"persimmonstage/core/record"
	"persimmonstage/core/times"
)

// staleAfter is how long the capacity in a target's last line counts: agents write one every two seconds.
const staleAfter = 2500 * time.Millisecond

// capacity is what a target can do from a time on.
type capacity struct {
	from  time.Time
	until time.Time
	cores float64 // at a pace of 1
}

// fleet holds the capacity of the targets, by agent.
type fleet struct {
	spans    map[string][]capacity
	lastLine map[string]time.Time
}

// line takes note that an agent wrote a line; after its restart the time before is without capacity.
func (f *fleet) line(l *record.Record) {
	if spans := f.spans[l.Name]; l.Message == record.AgentStarted && len(spans) > 0 {
		f.end(l.Name, f.lastLine[l.Name])
	}
	f.lastLine[l.Name] = l.At
}

// state takes an agent's line about its target.
func (f *fleet) state(l *record.Record) {
	f.end(l.Name, l.At)
	if l.Bool("draining") || l.Int("pace-permille") <= 0 {
		return
	}
	cores := float64(l.Int("millicores")) / float64(l.Int("pace-permille"))
	f.spans[l.Name] = append(f.spans[l.Name], capacity{from: l.At, until: l.At.Add(staleAfter), cores: cores})
}

func (f *fleet) end(agent string, at time.Time) {
	spans := f.spans[agent]
	if n := len(spans); n > 0 && spans[n-1].until.After(at) {
		spans[n-1].until = at
	}
}

// slices returns the core-seconds of each slice from a time on.
func (f *fleet) slices(from time.Time, n int) []float64 {
	out := make([]float64, n)
	for _, spans := range f.spans {
		for _, c := range spans {
			for i := range out {
				begin := from.Add(time.Duration(i) * slice)
				overlap := times.Earlier(c.until, begin.Add(slice)).Sub(times.Later(c.from, begin))
				out[i] += max(0, overlap.Seconds()) * c.cores
			}
		}
	}
	return out
}

// drop removes what ended before a time.
func (f *fleet) drop(before time.Time) {
	for agent, spans := range f.spans {
		n := 0
		for n < len(spans)-1 && spans[n].until.Before(before) {
			n++
		}
		f.spans[agent] = spans[n:]
	}
}
