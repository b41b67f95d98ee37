package merge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/heap"
)

const (
	// maxLine is the longest line that can be read, in bytes.
	maxLine = 1 << 20
	// progressBytes is how much is read between two reports of progress.
	progressBytes = 16 << 20
	megabyte      = 1 << 20
)

var timeField = []byte(`"time":"`)

// source is a file with its next line.
type source struct {
	name  string
	lines *bufio.Scanner
	at    time.Time // of the next line; a line without a time has that of the line before
}

// Merge merges the lines of files that are each in order of time; the zero value has no files. Only one line of each file is in
// memory.
type Merge struct {
	sources []*source
}

// Add adds a file.
func (m *Merge) Add(name string, r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	m.sources = append(m.sources, &source{name: name, lines: lines})
}

// next reads the next line and reports whether there is one.
func (s *source) next() bool {
	if !s.lines.Scan() {
		return false
	}
	text := s.lines.Bytes()
	i := bytes.Index(text, timeField)
	if i < 0 {
		return true
	}
	value, _, _ := bytes.Cut(text[i+len(timeField):], []byte(`"`))
	if at, err := time.Parse(time.RFC3339Nano, string(value)); err == nil {
		s.at = at
	}
	return true
}

// Run passes all lines to add, and reports the progress to a terminal unless it is nil.
func (m *Merge) Run(add func(text string), terminal io.Writer) error {
	open := heap.New(func(a, b *source) bool { return a.at.Before(b.at) }, func(*source, int) {})
	for _, s := range m.sources {
		if s.next() {
			open.Push(s)
		} else if err := s.lines.Err(); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	read, reported := 0, 0
	for open.Len() > 0 {
		s := open.Remove(0)
		add(s.lines.Text())
		read += len(s.lines.Bytes())
		if terminal != nil && read-reported >= progressBytes {
			reported = read
			fmt.Fprintf(terminal, "\r%d MB read, until %s", read/megabyte, s.at.Format(time.TimeOnly))
		}
		if s.next() {
			open.Push(s)
		} else if err := s.lines.Err(); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	if terminal != nil && reported > 0 {
		fmt.Fprintln(terminal)
	}
	return nil
}
