package page_test

import (
	"fmt"
	"math/rand"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

// work is one kind of job that a team sends, with its rate and its ideal response time.
type work struct {
	team, kind string
	perMinute  int
	ideal      time.Duration
}

var works = []work{
	{"senandung", "renewal", 6, 240 * time.Millisecond},
	{"senandung", "gauge-swap", 2, 400 * time.Millisecond},
	{"senandung", "charge", 4, 180 * time.Millisecond},
	{"senandung", "stock-check", 12, 60 * time.Millisecond},
}

// fleet simulates the accounts of three entries over a day, minute by minute.
type fleet struct {
	loc     *time.Location
	from    time.Time
	entries []*tally.Tally
	rng     *rand.Rand
	written []*rollup.Rollup
	// hold stops an entry from writing roll-ups, as an outage of the log does.
	hold map[int]bool
}

func newFleet() *fleet {
	loc, err := time.LoadLocation("Asia/Kuala_Lumpur")
	if err != nil {
		panic(err)
	}
	f := &fleet{loc: loc, from: time.Date(2026, 3, 2, 0, 0, 0, 0, loc), rng: rand.New(rand.NewSource(7)), hold: map[int]bool{}}
	for i := range 3 {
		f.entries = append(f.entries, tally.New(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("incarnation-%d", i+1)))
		f.entries[i].Advance(f.from)
	}
	return f
}

func (f *fleet) at(hour, minute int) time.Time {
	return f.from.Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute)
}

// run simulates the minutes in [from, to); record may account for a job and return true, otherwise the job succeeds.
func (f *fleet) run(from, to time.Time, record func(t *tally.Tally, now time.Time, w work) bool) {
	for now := from; now.Before(to); now = now.Add(time.Minute) {
		for _, w := range works {
			for range f.nightScaled(now, w.perMinute) {
				f.job(now, w, record)
			}
		}
		f.write(now)
	}
}

// nightScaled reduces the rate at night.
func (f *fleet) nightScaled(now time.Time, perMinute int) int {
	if h := now.In(f.loc).Hour(); h < 7 || h > 21 {
		return perMinute / 6
	}
	return perMinute
}

func (f *fleet) job(now time.Time, w work, record func(*tally.Tally, time.Time, work) bool) {
	t := f.entries[f.rng.Intn(len(f.entries))]
	if record != nil && record(t, now, w) {
		return
	}
	response := time.Duration(float64(w.ideal) * (1 + 0.04*f.rng.ExpFloat64()))
	t.JobEnded(now, w.team, w.kind, ended.Complete, "", response, w.ideal, -time.Second, 1+f.rng.Intn(4))
}

func (f *fleet) write(now time.Time) {
	for i, t := range f.entries {
		t.Advance(now)
		for !f.hold[i] {
			r, ok := t.Next()
			if !ok {
				break
			}
			t.MarkWritten(r.ID())
			f.written = append(f.written, r)
		}
	}
}

func (f *fleet) digest(asked time.Time) *digest.Digest {
	d := day.New(f.from, f.loc)
	for _, r := range f.written {
		d.Add(r)
	}
	return d.Digest(asked)
}

func ordinaryDay() *digest.Digest {
	f := newFleet()
	f.entries[0].Event(f.at(9, 0), event.Event{Cause: cause.ConfigApplied, Subject: "41"})
	f.entries[0].JobEnded(f.at(9, 1), "senandung", "gauge-swap", ended.Failed, cause.Cancelled, 0, 0, 0, 0)
	f.run(f.at(0, 0), f.at(15, 3), nil)
	return f.digest(f.at(15, 3))
}

func floodDay() *digest.Digest {
	f := newFleet()
	f.run(f.at(0, 0), f.at(10, 2), nil)
	flood := event.Event{Cause: cause.FloodMostUrgent, Team: "senandung", Kind: "renewal"}
	for i, t := range f.entries {
		t.Begin(f.at(10, 2).Add(time.Duration(i)*time.Second), flood)
	}
	f.run(f.at(10, 2), f.at(10, 37), func(t *tally.Tally, now time.Time, w work) bool {
		if w.kind == "renewal" {
			for range 9 {
				t.Refused(now, w.team, w.kind, cause.Overload)
			}
			return false
		}
		if w.kind == "charge" && f.rng.Intn(40) == 0 {
			t.JobEnded(now, w.team, w.kind, ended.Complete, "", time.Second, w.ideal, time.Duration(f.rng.Intn(900))*time.Millisecond, 1)
			return true
		}
		return false
	})
	for _, t := range f.entries {
		t.End(f.at(10, 37), flood)
	}
	f.run(f.at(10, 37), f.at(24, 0), nil)
	f.write(f.at(24, 0))
	return f.digest(f.at(33, 0))
}

// logDownDay has a log outage during which an entry dies, so its shards can't be taken over until the log is back.
func logDownDay() *digest.Digest {
	f := newFleet()
	f.run(f.at(0, 0), f.at(10, 5), nil)
	down := event.Event{Cause: cause.LogDown}
	for i, t := range f.entries {
		t.SetBound(64 << 10)
		t.Begin(f.at(10, 5), down)
		f.hold[i] = true
	}
	f.run(f.at(10, 5), f.at(11, 30), nil)
	f.entries = f.entries[:2]
	f.run(f.at(11, 30), f.at(12, 40), func(t *tally.Tally, now time.Time, w work) bool {
		if f.rng.Intn(3) > 0 {
			return false
		}
		t.Refused(now, w.team, w.kind, cause.LogDown)
		return true
	})
	f.entries[0].JobEnded(f.at(12, 39), "senandung", "charge", ended.Unknown, cause.AnswerLost, time.Second, time.Second, 0, 1)
	for i, t := range f.entries {
		t.End(f.at(12, 40), down)
		f.hold[i] = false
	}
	f.entries[0].Event(f.at(12, 40), event.Event{Cause: cause.EntryLost, Subject: "entry-3"})
	f.run(f.at(12, 40), f.at(24, 0), nil)
	f.write(f.at(24, 0))
	return f.digest(f.at(33, 0))
}
