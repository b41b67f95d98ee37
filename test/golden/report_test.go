package golden

import (
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// clockTime matches a time of day or a range of two.
var clockTime = regexp.MustCompile(`\b\d\d:\d\d( to \d\d:\d\d)?\b`)

// sections HEADING... adds to the transcript the paragraphs of the last command's output that begin with a heading.
func sections(ts *testscript.TestScript, _ bool, headings []string) {
	text := ts.ReadFile("stdout")
	for _, h := range headings {
		found := false
		for _, paragraph := range strings.Split(text, "\n\n") {
			if strings.HasPrefix(paragraph, h+"\n") {
				found = true
				paragraph = clockTime.ReplaceAllString(strings.TrimSuffix(paragraph, "\n"), "<clock>")
				sessionOf(ts).write(paragraph, "\n\n")
			}
		}
		if !found {
			ts.Fatalf("no paragraph begins with %q in %s", h, text)
		}
	}
}
