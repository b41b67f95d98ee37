package page

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/digest"
)

// WriteText writes the page for a terminal; an error comes from w.
func (p Page) WriteText(w io.Writer) error {
	var b bytes.Buffer
	v := newView(p.d)
	v.writeSummary(&b)
	v.writeWorks(&b)
	v.writeEvents(&b)
	v.writeHours(&b)
	v.writeResponseTimes(&b)
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write the day as text")
}

func (v *view) writeSummary(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s (%s)%s", printable(v.Title), printable(v.Zone), v.AsOf)
	fmt.Fprintf(b, "\n\nDid the day go well?\n  %s\n  %s\n", printable(v.Headline), printable(v.Stuck))
	for _, n := range v.Notes {
		fmt.Fprintf(b, "  %s\n", printable(n))
	}
}

func (v *view) writeWorks(b *bytes.Buffer) {
	if len(v.Works) == 0 {
		return
	}
	fmt.Fprintf(b, "\nWhich work suffered\n")
	for _, w := range v.Works {
		fmt.Fprintf(b, "  %s: %s\n    %s\n", printable(w.Name), w.Share, printable(w.Parts))
		for _, r := range w.Reasons {
			fmt.Fprintf(b, "    %s (%s, %s)\n", printable(r.Sentence), r.Jobs, r.When)
		}
	}
	writeMore(b, v.MoreWorks, "kinds of work")
	fmt.Fprintf(b, "\nWhy\n")
	for i, r := range v.Why {
		fmt.Fprintf(b, "  %d. %s\n     %s, %s: %s\n", i+1, printable(r.Sentence), r.Jobs, r.When, printable(r.Works))
	}
	writeMore(b, v.MoreWhy, "causes")
}

func (v *view) writeEvents(b *bytes.Buffer) {
	if len(v.Happened) > 0 {
		fmt.Fprintf(b, "\nWhat happened\n")
		for _, m := range v.Happened {
			fmt.Fprintf(b, "  %-14s  %s\n", m.When, printable(m.Sentence))
		}
		writeMore(b, int(v.MomentsMore), "things")
	}
	if len(v.CallerCaused) > 0 {
		fmt.Fprintf(b, "\nWithdrawn or sent wrongly by callers (not counted against the day)\n")
		for _, r := range v.CallerCaused {
			fmt.Fprintf(b, "  %s (%s, %s: %s)\n", printable(r.Sentence), r.Jobs, r.When, printable(r.Works))
		}
	}
	if len(v.Missing) > 0 {
		fmt.Fprintf(b, "\nMissing from the account\n")
		for _, g := range v.Missing {
			fmt.Fprintf(b, "  %-14s  %s\n", g.When, printable(g.Sentence))
		}
	}
}

func (v *view) writeHours(b *bytes.Buffer) {
	if len(v.Hours) == 0 {
		return
	}
	fmt.Fprintf(b, "\nHour by hour\n")
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "hour\tjobs\tsuffered\tlate\tfailed\trefused\tunknown\t\n")
	for _, h := range v.Hours {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", h.Hour, digest.FormatCount(h.Jobs), digest.FormatCount(h.Bad),
			digest.FormatCount(h.Late), digest.FormatCount(h.Failed), digest.FormatCount(h.Refused), digest.FormatCount(h.Unknown))
	}
	// Writes to a buffer can't fail.
	_ = t.Flush()
}

func (v *view) writeResponseTimes(b *bytes.Buffer) {
	if len(v.Speeds) == 0 {
		return
	}
	fmt.Fprintf(b, "\nResponse times of complete jobs (and how many times the ideal)\n")
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "  work\tjobs\thalf within\t99%% within\n")
	for _, s := range v.Speeds {
		fmt.Fprintf(t, "  %s\t%s\t%s (%s)\t%s (%s)%s\n",
			printable(s.Name), s.Jobs, s.P50, s.Ideal50, s.P99, s.Ideal99, noteSuffix(s.Note))
	}
	_ = t.Flush()
}

func noteSuffix(s string) string {
	if s == "" {
		return ""
	}
	return " " + s
}

func writeMore(b *bytes.Buffer, n int, what string) {
	if n > 0 {
		fmt.Fprintf(b, "  and %s more %s\n", digest.FormatCount(int64(n)), what)
	}
}

// printable replaces unprintable characters, so that a name can't send control sequences to the reader's terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}
