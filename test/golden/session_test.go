package golden

import (
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const updateVariable = "UPDATE_GOLDEN"

type sessionKey struct{}

// session collects the transcript of one case.
type session struct {
	mu         sync.Mutex
	transcript strings.Builder
	addresses  []string // pairs of address and name, for strings.NewReplacer
}

// variableParts are the parts of the output that differ between runs and are replaced by a placeholder.
var variableParts = []struct {
	pattern     *regexp.Regexp
	placeholder string
}{
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "<time>"},
	{regexp.MustCompile(`(in the future by|too far ahead:|would wait) [0-9hms.µ]+`), "$1 <duration>"},
	{regexp.MustCompile(`127\.0\.0\.1:(3[2-9]|[4-6]\d)\d{3}\b`), "<address>"},
}

func (s *session) name(address, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = append(s.addresses, address, "$"+name)
}

func (s *session) write(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		s.transcript.WriteString(s.normalize(p))
	}
}

func (s *session) normalize(text string) string {
	text = strings.NewReplacer(s.addresses...).Replace(text)
	for _, p := range variableParts {
		text = p.pattern.ReplaceAllString(text, p.placeholder)
	}
	return text
}

// compare compares the transcript with the expected file, or writes it there if UPDATE_GOLDEN is set.
func (s *session) compare(t *testing.T, file string) {
	if t.Failed() {
		return
	}
	got := s.transcript.String()
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err, "accept the transcript with make accept")
	assert.Equal(t, string(want), got, "accept the transcript with make accept")
}

// indented prefixes each line with a mark, which distinguishes stdout from stderr in a transcript.
func indented(mark, text string) string {
	if text == "" {
		return ""
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	return mark + strings.Join(lines, "\n"+mark) + "\n"
}
