package days

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"persimmonstage/io/page"
)

// Forms in which a day is rendered.
const (
	// HTML is the page for the business's owner.
	HTML = "html"
	// Text is the form for terminals.
	Text = "text"
	// JSON is the form for programs.
	JSON = "json"
)

type pageKey struct{ date, form string }

// cachedBody is a rendered page and the time of its rendering.
type cachedBody struct {
	body []byte
	at   time.Time
}

// Render returns the page of a day and its content type, rendered at most once in five seconds; it fails with an *Error for
// a day or form that can't be shown.
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
	d.cachePage(now, key, b.Bytes())
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
	if !ok || now.Before(c.at) || now.Sub(c.at) >= cacheTTL {
		return nil, false
	}
	return c.body, true
}

// cachePage caches the page and removes expired ones; it is called only for days that exist, which bounds the cache.
func (d *Days) cachePage(now time.Time, key pageKey, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, c := range d.pages {
		if now.Sub(c.at) >= cacheTTL {
			delete(d.pages, k)
		}
	}
	d.pages[key] = cachedBody{body: body, at: now}
}
