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

// WriteText writes the page for a terminal; it fails when w fails.
func (p Page) WriteText(w io.Writer) error {
	var b bytes.Buffer
	v := newView(p.d)
	v.textTop(&b)
	v.textWorks(&b)
	v.textLists(&b)
	v.textHours(&b)
	v.textSpeeds(&b)
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write the day as text")
}

func (v *view) textTop(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s (%s)%s", plain(v.Title), plain(v.Zone), v.AsOf)
	fmt.Fprintf(b, "\n\nDid the day go well?\n  %s\n  %s\n", plain(v.Headline), plain(v.Stuck))
	for _, n := range v.Notes {
		fmt.Fprintf(b, "  %s\n", plain(n))
	}
}

func (v *view) textWorks(b *bytes.Buffer) {
	if len(v.Works) == 0 {
		return
	}
	fmt.Fprintf(b, "\nWhich work suffered\n")
	for _, w := range v.Works {
		fmt.Fprintf(b, "  %s: %s\n    %s\n", plain(w.Name), w.Share, plain(w.Parts))
		for _, r := range w.Reasons {
			fmt.Fprintf(b, "    %s (%s, %s)\n", plain(r.Sentence), r.Jobs, r.When)
		}
	}
	more(b, v.MoreWorks, "kinds of work")
	fmt.Fprintf(b, "\nWhy\n")
	for i, r := range v.Why {
		fmt.Fprintf(b, "  %d. %s\n     %s, %s: %s\n", i+1, plain(r.Sentence), r.Jobs, r.When, plain(r.Works))
	}
	more(b, v.MoreWhy, "causes")
}

func (v *view) textLists(b *bytes.Buffer) {
	if len(v.Happened) > 0 {
		fmt.Fprintf(b, "\nWhat happened\n")
		for _, m := range v.Happened {
			fmt.Fprintf(b, "  %-14s  %s\n", m.When, plain(m.Sentence))
		}
		more(b, int(v.MomentsMore), "things")
	}
	if len(v.Turned) > 0 {
		fmt.Fprintf(b, "\nWithdrawn or sent wrongly by callers (not counted against the day)\n")
		for _, r := range v.Turned {
			fmt.Fprintf(b, "  %s (%s, %s: %s)\n", plain(r.Sentence), r.Jobs, r.When, plain(r.Works))
		}
	}
	if len(v.Missing) > 0 {
		fmt.Fprintf(b, "\nMissing from the account\n")
		for _, g := range v.Missing {
			fmt.Fprintf(b, "  %-14s  %s\n", g.When, plain(g.Sentence))
		}
	}
}

func (v *view) textHours(b *bytes.Buffer) {
	if len(v.Hours) == 0 {
		return
	}
	fmt.Fprintf(b, "\nHour by hour\n")
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "hour\tjobs\tsuffered\tlate\tfailed\trefused\tunknown\t\n")
	for _, h := range v.Hours {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", h.Hour, digest.Count(h.Jobs), digest.Count(h.Bad),
			digest.Count(h.Late), digest.Count(h.Failed), digest.Count(h.Refused), digest.Count(h.Unknown))
	}
	// Writes to a buffer don't fail.
	_ = t.Flush()
}

func (v *view) textSpeeds(b *bytes.Buffer) {
	if len(v.Speeds) == 0 {
		return
	}
	fmt.Fprintf(b, "\nResponse times of complete jobs (and how many times the ideal)\n")
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "  work\tjobs\thalf within\t99%% within\n")
	for _, s := range v.Speeds {
		fmt.Fprintf(t, "  %s\t%s\t%s (%s)\t%s (%s)%s\n", plain(s.Name), s.Jobs, s.P50, s.Ideal50, s.P99, s.Ideal99, note(s.Note))
	}
	_ = t.Flush()
}

func note(s string) string {
	if s == "" {
		return ""
	}
	return " " + s
}

func more(b *bytes.Buffer, n int, what string) {
	if n > 0 {
		fmt.Fprintf(b, "  and %s more %s\n", digest.Count(int64(n)), what)
	}
}

// plain replaces characters that aren't printed, so that a name can't move the cursor of the reader's terminal.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}
