package days

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"persimmonstage/io/page"
)

// The forms in which a day is rendered.
const (
	// HTML is the owner's page.
	HTML = "html"
	// Text is the form for a terminal.
	Text = "text"
	// JSON is the form for programs.
	JSON = "json"
)

type pageKey struct{ date, form string }

// cached is a rendered page.
type cached struct {
	body []byte
	at   time.Time
}

// Render returns the page of a day and its content type; a page is made at most once in five seconds.
// An *Error says why there is none.
func (d *Days) Render(ctx context.Context, now time.Time, date, form string) (contentType string, body []byte, err error) {
	if contentTypes[form] == "" {
		return "", nil, &Error{day: date, reason: "there is no form " + strconv.Quote(form) + ", limit html, text, json", status: malformed}
	}
	key := pageKey{date, form}
	if body, ok := d.cachedPage(now, key); ok {
		return contentTypes[form], body, nil
	}
	g, err := d.Digest(ctx, now, date)
	if err != nil {
		return "", nil, err
	}
	p := page.New(g)
	var b bytes.Buffer
	switch form {
	case HTML:
		err = p.WriteHTML(&b)
	case Text:
		err = p.WriteText(&b)
	case JSON:
		err = p.WriteJSON(&b)
	}
	if err != nil {
		return "", nil, err
	}
	d.keepPage(now, key, b.Bytes())
	return contentTypes[form], b.Bytes(), nil
}

var contentTypes = map[string]string{
	HTML: "text/html; charset=utf-8",
	Text: "text/plain; charset=utf-8",
	JSON: "application/json",
}

func (d *Days) cachedPage(now time.Time, key pageKey) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.pages[key]
	if !ok || now.Before(c.at) || now.Sub(c.at) >= fresh {
		return nil, false
	}
	return c.body, true
}

// keepPage keeps the page and drops those that are too old to be served; only days that exist come here.
func (d *Days) keepPage(now time.Time, key pageKey, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, c := range d.pages {
		if now.Sub(c.at) >= fresh {
			delete(d.pages, k)
		}
	}
	d.pages[key] = cached{body: body, at: now}
}
