package page

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/digest"
)

//go:embed page.html
var source string

// tmpl escapes every value for its context in the document; names of teams and targets are untrusted text.
var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"count": digest.FormatCount,
	"jobs":  digest.FormatJobs,
	"clock": clock,
}).Parse(source))

// Page renders a digest; it has no other state and is safe for concurrent use.
type Page struct{ d *digest.Digest }

// New returns the page of d.
func New(d *digest.Digest) Page { return Page{d: d} }

// WriteHTML writes the page as one self-contained HTML document; an error comes from w.
func (p Page) WriteHTML(w io.Writer) error {
	return errors.Wrap(tmpl.Execute(w, newView(p.d)), "render the owner's page")
}

// WriteJSON writes the account as one JSON document; an error comes from w.
func (p Page) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(p.d), "write the day as JSON")
}

func clock(t time.Time) string { return t.Format("15:04") }
