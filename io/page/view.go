package page

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"persimmonstage/core/digest"
)

const (
	// maxRows is how many rows of a list are shown; the rest are only counted.
	maxRows = 25
	// In units of the SVG view box, which is stretched to the width of the screen.
	plotWidth  = 960.0
	plotHeight = 120.0
	// minHarmHeight is the least height of a bar of bad outcomes that is visible beside thousands of good ones.
	minHarmHeight = 6.0
	// minMomentWidth is the least width of an event's bar in its strip.
	minMomentWidth = 8.0
	// labelCount is the number of time labels under the plot.
	labelCount = 4
)

// view holds a digest and what the template and the text page derive from it.
type view struct {
	*digest.Digest
	Title, Answer, Class string
	Detail               string
	PreviousDay, NextDay string
	Stuck, AsOf          string
	Works                []workRow
	Why                  []reasonRow
	CallerCaused         []reasonRow
	Happened             []momentRow
	Hours                []hourRow
	Bars                 []bar
	Labels               []string
	Speeds               []speedRow
	Collapse             bool // whether the response times have more than maxRows rows and are collapsed
	Missing              []gapRow
	MoreWorks, MoreWhy   int
	Peak                 string
}

type workRow struct {
	Name, Share, Parts string
	Reasons            []reasonRow
}

type reasonRow struct{ Sentence, Jobs, When, Works string }

type momentRow struct {
	When, Sentence, Class string
	X, Width              float64
}

type hourRow struct {
	Hour             string
	Jobs, Bad        int64
	Late, Failed     int64
	Refused, Unknown int64
}

type bar struct {
	Class               string
	X, Y, Width, Height float64
}

type speedRow struct {
	Name, Jobs, P50, P99, Ideal50, Ideal99, Note string
}

type gapRow struct{ When, Sentence string }

func newView(d *digest.Digest) view {
	v := view{Digest: d, Title: d.From.Format("Monday 2 January 2006"), Stuck: overdueText(d), AsOf: asOfText(d)}
	v.Answer, v.Class = verdict(d)
	v.Detail = detail(d.Headline)
	v.PreviousDay = d.From.AddDate(0, 0, -1).Format(time.DateOnly)
	if !d.InProgress() {
		v.NextDay = d.From.AddDate(0, 0, 1).Format(time.DateOnly)
	}
	v.addWorks()
	v.addReasons()
	v.addMoments()
	v.addTimeline()
	v.addSpeeds()
	v.Collapse = len(v.Speeds) > maxRows
	for _, g := range d.Gaps {
		v.Missing = append(v.Missing, gapRow{When: timeRange(g.From, g.To), Sentence: gapText(g.Sentence, g.Jobs)})
	}
	return v
}

func verdict(d *digest.Digest) (text, class string) {
	switch d.Verdict {
	case digest.Well:
		return "Yes", "yes"
	case digest.Badly:
		return "No", "no"
	default:
		return "Can't say", "unsure"
	}
}

// detail returns the headline without the verdict, which the page shows above it in large type.
func detail(headline string) string {
	for _, lead := range []string{"Yes. ", "No. ", "Can't say: "} {
		if rest, ok := strings.CutPrefix(headline, lead); ok && rest != "" {
			first, n := utf8.DecodeRuneInString(rest)
			return string(unicode.ToUpper(first)) + rest[n:]
		}
	}
	return headline
}

// overdueText returns how many jobs are open past their deadline, now and at worst.
func overdueText(d *digest.Digest) string {
	if d.Overdue > 0 {
		return digest.FormatJobs(d.Overdue) + " open past the deadline now."
	}
	if d.OverdueWorst > 0 {
		return "Nothing is stuck now; at worst " + digest.FormatJobs(d.OverdueWorst) + " were open past the deadline."
	}
	return "Nothing is stuck: 0 jobs are open past their deadline."
}

// asOfText returns, for a day that isn't over, when its account was made and up to when all entries have reported.
func asOfText(d *digest.Digest) string {
	switch {
	case !d.InProgress():
		return ""
	case d.CountedTo.IsZero():
		return ", as of " + clock(d.CreatedAt)
	default:
		return ", as of " + clock(d.CreatedAt) + ", counted until " + clock(d.CountedTo)
	}
}

func gapText(sentence string, jobs int64) string {
	if jobs == 0 {
		return sentence
	}
	return sentence + " " + digest.FormatJobs(jobs) + " are counted nowhere."
}

func (v *view) addWorks() {
	for i, w := range v.Suffered {
		if i == maxRows {
			v.MoreWorks = len(v.Suffered) - i
			return
		}
		row := workRow{Name: w.Name(), Share: digest.FormatCount(w.Jobs) + " of " + digest.FormatJobs(w.TotalJobs), Parts: w.Parts()}
		for _, r := range w.Reasons {
			row.Reasons = append(row.Reasons, reasonRow{Sentence: r.Sentence, Jobs: digest.FormatJobs(r.Jobs), When: timeRange(r.First, r.Last)})
		}
		v.Works = append(v.Works, row)
	}
}

func (v *view) addReasons() {
	for i, r := range v.Reasons {
		if i == maxRows {
			v.MoreWhy = len(v.Reasons) - i
			break
		}
		v.Why = append(v.Why, reasonRow{r.Sentence, digest.FormatJobs(r.Jobs), timeRange(r.First, r.Last), firstNames(r.Works)})
	}
	for _, r := range v.Digest.CallerCaused {
		v.CallerCaused = append(v.CallerCaused, reasonRow{r.Sentence, digest.FormatJobs(r.Jobs), timeRange(r.First, r.Last), firstNames(r.Works)})
	}
}

func (v *view) addMoments() {
	day := v.To.Sub(v.From)
	for _, m := range v.Moments {
		row := momentRow{When: clock(m.At), Sentence: m.Sentence, Class: "note"}
		if m.Harmful {
			row.Class = "harm"
		}
		end := m.At
		if !m.Until.IsZero() {
			end = m.Until
			row.When = timeRange(m.At, m.Until)
		}
		if m.Open && v.InProgress() {
			row.When = "since " + clock(m.At)
		}
		from, to := offsetInDay(m.At, v), offsetInDay(end, v)
		row.X = plotWidth * float64(from) / float64(day)
		row.Width = max(plotWidth*float64(to-from)/float64(day), minMomentWidth)
		row.X = min(row.X, plotWidth-row.Width)
		v.Happened = append(v.Happened, row)
	}
}

// offsetInDay returns the time from the start of the day to t, limited to the day.
func offsetInDay(t time.Time, v *view) time.Duration {
	return min(max(t.Sub(v.From), 0), v.To.Sub(v.From))
}

func (v *view) addSpeeds() {
	for _, k := range v.Kinds {
		row := speedRow{Name: k.Name(), Jobs: digest.FormatCount(k.Complete), P50: "-", P99: "-", Ideal50: "-", Ideal99: "-"}
		if k.P99US > 0 {
			row.P50, row.P99 = responseText(k.P50US), responseText(k.P99US)
		}
		if k.Ideal99 > 0 {
			row.Ideal50, row.Ideal99 = fmt.Sprintf("%.2f", k.Ideal50), fmt.Sprintf("%.2f", k.Ideal99)
		}
		if k.Untimed > 0 {
			row.Note = "without the times of " + digest.FormatJobs(k.Untimed)
		}
		v.Speeds = append(v.Speeds, row)
	}
}

func responseText(us int64) string {
	d := time.Duration(us) * time.Microsecond
	if d < 10*time.Millisecond {
		return fmt.Sprintf("%.1f ms", float64(us)/1000)
	}
	return digest.FormatDuration(d)
}

func timeRange(from, to time.Time) string {
	if a, b := clock(from), clock(to); a != b {
		return a + " to " + b
	}
	return clock(from)
}

// firstNames lists the first few names and counts the rest.
func firstNames(names []string) string {
	const few = 5
	if len(names) <= few {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:few], ", "), len(names)-few)
}
