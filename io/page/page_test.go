package page_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/tally"
	"persimmonstage/io/page"
)

var days = map[string]func() *digest.Digest{
	"ordinary-day": ordinaryDay,
	"flood-day":    floodDay,
	"log-down-day": logDownDay,
}

// golden compares got with the file, or writes the file when UPDATE_GOLDEN is set.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(path, got, 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestGoldenDays(t *testing.T) {
	for name, build := range days {
		t.Run(name, func(t *testing.T) {
			p := page.New(build())
			var text, html bytes.Buffer
			require.NoError(t, p.WriteText(&text))
			require.NoError(t, p.WriteHTML(&html))
			golden(t, name+".txt", text.Bytes())
			golden(t, name+".html", html.Bytes())
		})
	}
}

// The report command renders the JSON that it gets from an entry.
func TestDecodedJSONRendersTheSamePage(t *testing.T) {
	d := floodDay()
	var doc, direct, again bytes.Buffer
	require.NoError(t, page.New(d).WriteJSON(&doc))
	back, err := digest.Decode(doc.Bytes())
	require.NoError(t, err)
	require.NoError(t, page.New(d).WriteText(&direct))
	require.NoError(t, page.New(back).WriteText(&again))
	require.Equal(t, direct.String(), again.String())
}

func hostileNamesDay() *digest.Digest {
	at := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	a := tally.New("<b>entry</b>", "i")
	hostile := `"><script>alert(1)</script>` + "\x1b[2J\u202e"
	a.JobEnded(at, hostile, hostile, ended.Failed, cause.Cause(hostile), 0, 0, 0, 0)
	a.Event(at, event.Event{Cause: cause.TargetLost, Subject: hostile})
	a.JobEnded(at, hostile, hostile, ended.Failed, cause.Cancelled, 0, 0, 0, 0)
	a.Advance(at.Add(time.Minute))
	r, _ := a.Next()
	d := day.New(at, time.UTC)
	d.Add(r)
	return d.Digest(at.Add(time.Hour))
}

func TestHostileNamesAreEscaped(t *testing.T) {
	var html, text bytes.Buffer
	p := page.New(hostileNamesDay())
	require.NoError(t, p.WriteHTML(&html))
	require.NotContains(t, html.String(), "<script")
	require.NotContains(t, html.String(), "<b>entry")
	require.Contains(t, html.String(), "&lt;script&gt;")
	require.NoError(t, p.WriteText(&text))
	require.NotContains(t, text.String(), "\x1b")
	require.NotContains(t, text.String(), "\u202e")
}

func TestPageIsSelfContainedAndWellFormed(t *testing.T) {
	for name, build := range days {
		var html bytes.Buffer
		require.NoError(t, page.New(build()).WriteHTML(&html))
		s := html.String()
		for _, banned := range []string{"<script", "http://", "https://", "<link", "<img", "javascript:"} {
			require.NotContains(t, s, banned, name)
		}
		wellFormed(t, s)
	}
}

// wellFormed checks that the elements of s are nested and closed correctly.
func wellFormed(t *testing.T, s string) {
	dec := xml.NewDecoder(strings.NewReader(s))
	dec.Entity = xml.HTMLEntity
	for {
		_, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

// FuzzRender checks that any digest that decodes can be rendered.
func FuzzRender(f *testing.F) {
	for _, d := range []*digest.Digest{floodDay(), hostileNamesDay()} {
		var doc bytes.Buffer
		require.NoError(f, page.New(d).WriteJSON(&doc))
		f.Add(doc.Bytes())
	}
	f.Add([]byte(`{"day":"x","from":"2026-03-02T00:00:00Z","to":"2026-03-03T00:00:00Z","slots":[{}],"suffered":[null]}`))
	f.Add([]byte(`{"day":"x","from":"2026-03-02T00:00:00Z","to":"2026-03-03T00:00:00Z","slots":[{"fine":-9}],"headline":"No. "}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := digest.Decode(data)
		if err != nil {
			return
		}
		require.NoError(t, page.New(d).WriteText(io.Discard))
		require.NoError(t, page.New(d).WriteHTML(io.Discard))
	})
}
