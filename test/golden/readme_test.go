package golden

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// example is a fenced block of the README whose first line is a command; the rest is its output.
var example = regexp.MustCompile("(?m)^```\n\\$ (.+)\n(?:[^`].*\n|\n)*```$")

// TestReadmeShowsRealOutput runs the examples of the README from the root of the project.
func TestReadmeShowsRealOutput(t *testing.T) {
	file := filepath.Join(root, "README.md")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	examples := 0
	got := example.ReplaceAllStringFunc(string(text), func(block string) string {
		examples++
		command := example.FindStringSubmatch(block)[1]
		return "```\n$ " + command + "\n" + output(t, strings.Fields(command)) + "```"
	})
	require.NotZero(t, examples)
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
		return
	}
	require.Equal(t, string(text), got, "accept the output with make accept")
}

// output gives what a command prints on both streams; its exit code may be any.
func output(t *testing.T, words []string) string {
	require.Contains(t, []string{"cat", "persimmonstage"}, words[0])
	c := exec.Command(words[0], words[1:]...)
	c.Dir = root
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return string(out)
}
