package digest

import (
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
)

// Verdicts of a day.
const (
	// Well means that no job is known to have suffered and that little is missing from the records.
	Well = "well"
	// Badly means that at least one job suffered or was open past its deadline.
	Badly = "badly"
	// Unsure means that no job is known to have suffered, but that too much is missing from the records.
	Unsure = "unsure"
)

// Digest is the summary of a local day for the business's owner; all times are in the time zone of the day.
// Its parts are added in any order, then Finish sorts them and sets the verdict.
type Digest struct {
	// Day is the date as YYYY-MM-DD and Zone the IANA name of its time zone.
	Day  string `json:"day"`
	Zone string `json:"zone"`
	// From and To bound the day; CreatedAt is when the digest was made.
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	CreatedAt time.Time `json:"asked"`
	// CountedTo is the time up to which every active entry has written its records; zero if none is active.
	CountedTo time.Time `json:"counted-to,omitzero"`
	// Records is the number of records that the digest is made of.
	Records int `json:"records"`
	// Verdict is Well, Badly or Unsure, and Headline expresses it in a sentence.
	Verdict  string `json:"went"`
	Headline string `json:"headline"`
	// Totals counts the jobs of every team and kind.
	Totals totals `json:"totals"`
	// Overdue is how many jobs are open past their deadline now, OverdueWorst the highest such number in a record.
	Overdue      int64 `json:"overdue"`
	OverdueWorst int64 `json:"overdue-worst"`
	// Suffered lists the work that suffered, the most jobs first.
	Suffered []*work `json:"suffered"`
	// Reasons lists the causes of harm, those that affected the most jobs first.
	Reasons []*reason `json:"reasons"`
	// CallerCaused lists the jobs that callers ended by choice or mistake; they don't affect the verdict.
	CallerCaused []*reason `json:"turned"`
	// Kinds lists every team and kind with its response times.
	Kinds []kind `json:"kinds"`
	// Moments lists the events of the day by time; MomentsMore counts those left out.
	Moments     []moment `json:"moments"`
	MomentsMore int64    `json:"moments-more"`
	// Slots counts the jobs of each quarter of an hour.
	Slots []slot `json:"slots"`
	// Gaps lists the periods missing from the records.
	Gaps []gap `json:"gaps"`
	// Notes holds remarks on the digest itself, such as that the log can't be read now.
	Notes []string `json:"notes"`
}

type totals struct {
	Jobs        int64 `json:"jobs"`
	Complete    int64 `json:"complete"`
	Failed      int64 `json:"failed"`
	Refused     int64 `json:"refused"`
	Unknown     int64 `json:"unknown"`
	Late        int64 `json:"late"`
	Tasks       int64 `json:"tasks"`
	Suffered    int64 `json:"suffered"`
	WorstLateMS int64 `json:"worst-late-ms"`
}

type work struct {
	Team        string    `json:"team"`
	Kind        string    `json:"kind"`
	Jobs        int64     `json:"jobs"`
	TotalJobs   int64     `json:"of"`
	Failed      int64     `json:"failed"`
	Refused     int64     `json:"refused"`
	Unknown     int64     `json:"unknown"`
	Late        int64     `json:"late"`
	WorstLateMS int64     `json:"worst-late-ms"`
	Reasons     []*reason `json:"reasons"`
}

// reason is a cause, the jobs that it affected and when.
type reason struct {
	Cause    cause.Cause `json:"cause"`
	Sentence string      `json:"sentence"`
	Jobs     int64       `json:"jobs"`
	Works    []string    `json:"works"`
	First    time.Time   `json:"first"`
	Last     time.Time   `json:"last"`
}

type kind struct {
	Team     string  `json:"team"`
	Kind     string  `json:"kind"`
	Jobs     int64   `json:"jobs"`
	Complete int64   `json:"complete"`
	Tasks    int64   `json:"tasks"`
	P50US    int64   `json:"response-p50-us"`
	P99US    int64   `json:"response-p99-us"`
	Ideal50  float64 `json:"over-ideal-p50"`
	Ideal99  float64 `json:"over-ideal-p99"`
	Untimed  int64   `json:"untimed,omitempty"`
}

type moment struct {
	At       time.Time   `json:"at"`
	Until    time.Time   `json:"until,omitzero"`
	Open     bool        `json:"open,omitempty"`
	Cause    cause.Cause `json:"cause"`
	Sentence string      `json:"sentence"`
	Harmful  bool        `json:"harmful"`
}

type slot struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Fine    int64     `json:"fine"`
	Late    int64     `json:"late"`
	Failed  int64     `json:"failed"`
	Refused int64     `json:"refused"`
	Unknown int64     `json:"unknown"`
}

type gap struct {
	Entry    string    `json:"entry"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Jobs     int64     `json:"jobs,omitempty"`
	Sentence string    `json:"sentence"`
}

// Bad returns how many jobs of the slot suffered.
func (s slot) Bad() int64 { return s.Late + s.Failed + s.Refused + s.Unknown }

// Ended returns how many jobs ended in the slot.
func (s slot) Ended() int64 { return s.Fine + s.Bad() }

// Harm is a number of jobs of one team and kind that suffered in the same way for the same reason.
type Harm struct {
	Team, Kind  string
	Outcome     ended.Outcome
	Late        bool
	Cause       cause.Cause
	Sentence    string
	Jobs        int64
	WorstLate   time.Duration
	First, Last time.Time
}
