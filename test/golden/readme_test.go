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

// example matches a fenced block of the README whose first line is a command and whose rest is its output.
var example = regexp.MustCompile("(?m)^```\n\\$ (.+)\n(?:[^`].*\n|\n)*```$")

// TestReadmeShowsRealOutput runs the README's examples from the root of the project and compares their output.
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

// output returns what a command prints to stdout and stderr, whatever its exit code.
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
