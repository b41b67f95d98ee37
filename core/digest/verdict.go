package digest

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxMissing is how much time may be missing from the records before a day without known harm is Unsure:
// the death of an entry loses up to a minute of its counts, and that happens on ordinary days.
const maxMissing = 5 * time.Minute

// setVerdict sets the verdict and headline. A single job that suffered makes the day bad, since even one lost order matters
// to its customer.
func (d *Digest) setVerdict() {
	switch {
	case d.Totals.Suffered > 0 || d.OverdueWorst > 0:
		d.Verdict = Badly
		d.Headline = d.badHeadline()
		if d.missing() > maxMissing || d.jobsLost() > 0 {
			d.Headline += " There may be more, as part of the account is missing."
		}
	case d.Records == 0:
		d.Verdict = Unsure
		d.Headline = "Can't say: nothing is recorded for this day."
		if d.InProgress() {
			d.Headline = "Can't say: nothing is recorded for today yet; the first record comes about a minute after the start."
		}
	case d.missing() > maxMissing || d.jobsLost() > 0:
		d.Verdict = Unsure
		d.Headline = incompleteHeadline
	case d.Totals.Jobs == 0:
		d.Verdict = Well
		d.Headline = "Yes. " + d.subject() + " went well: no work came, and nothing went wrong."
	default:
		d.Verdict = Well
		d.Headline = d.goodHeadline()
	}
}

const incompleteHeadline = "Can't say: no job is known to have suffered, but part of the account is missing."

// MarkIncomplete adds a note that part of the records is missing and changes a Well verdict to Unsure; call it after Finish.
func (d *Digest) MarkIncomplete(note string) {
	d.Notes = append(d.Notes, note)
	if d.Verdict == Well {
		d.Verdict, d.Headline = Unsure, incompleteHeadline
	}
}

// InProgress reports whether the day wasn't over when the digest was made.
func (d *Digest) InProgress() bool { return d.CreatedAt.Before(d.To) }

func (d *Digest) subject() string {
	if d.InProgress() {
		return "Today"
	}
	return "The day"
}

func (d *Digest) goodHeadline() string {
	s := "Yes. " + d.subject() + " went well: "
	callerEnded := d.Totals.Jobs - d.Totals.Complete
	if callerEnded == 0 {
		return s + FormatJobs(d.Totals.Jobs) + " ended, every one of them answered whole and in time."
	}
	return s + FormatJobs(d.Totals.Complete) + " answered whole and in time; " + FormatJobs(callerEnded) + " withdrawn or sent wrongly by callers."
}

func (d *Digest) badHeadline() string {
	if d.Totals.Suffered == 0 {
		return "No. " + FormatJobs(d.OverdueWorst) + " stood open past the deadline."
	}
	return fmt.Sprintf("No. %s of %s suffered: %s.", FormatCount(d.Totals.Suffered), FormatJobs(d.Totals.Jobs), d.parts())
}

// parts describes how the jobs that suffered ended, without those that the caller ended by choice or mistake.
func (d *Digest) parts() string {
	var sum work
	for _, w := range d.Suffered {
		sum.Failed += w.Failed
		sum.Refused += w.Refused
		sum.Unknown += w.Unknown
		sum.Late += w.Late
		sum.WorstLateMS = max(sum.WorstLateMS, w.WorstLateMS)
	}
	return sum.Parts()
}

// Parts describes how the jobs of the work suffered.
func (w *work) Parts() string {
	var parts []string
	add := func(n int64, text string) {
		if n > 0 {
			parts = append(parts, FormatCount(n)+" "+text)
		}
	}
	add(w.Failed, "failed")
	add(w.Refused, "refused (not run)")
	add(w.Unknown, "with an answer that is not known")
	add(w.Late, "late, the worst by "+FormatDuration(time.Duration(w.WorstLateMS)*time.Millisecond))
	return strings.Join(parts, ", ")
}

// Name returns the name of the work for display.
func (w *work) Name() string { return WorkName(w.Team, w.Kind) }

// Name returns the name of the work for display.
func (k kind) Name() string { return WorkName(k.Team, k.Kind) }

func (d *Digest) missing() time.Duration {
	var sum time.Duration
	for _, g := range d.Gaps {
		sum += g.To.Sub(g.From)
	}
	return sum
}

func (d *Digest) jobsLost() int64 {
	var n int64
	for _, g := range d.Gaps {
		n += g.Jobs
	}
	return n
}

// FormatJobs formats a number of jobs, such as "1 job" or "2 jobs".
func FormatJobs(n int64) string {
	if n == 1 {
		return "1 job"
	}
	return FormatCount(n) + " jobs"
}

// FormatCount formats n with commas between thousands.
func FormatCount(n int64) string {
	s := strconv.FormatInt(n, 10)
	for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

// FormatDuration formats d with the precision that a person needs: ms below a second, tenths of a second below a minute.
func FormatDuration(d time.Duration) string {
	switch {
	case d < time.Second:
		return fmt.Sprintf("%d ms", d.Milliseconds())
	case d < time.Minute:
		return fmt.Sprintf("%.1f s", d.Seconds())
	case d < time.Hour:
		return fmt.Sprintf("%d min %d s", int(d.Minutes()), int(d.Seconds())%60)
	default:
		return fmt.Sprintf("%d h %d min", int(d.Hours()), int(d.Minutes())%60)
	}
}
