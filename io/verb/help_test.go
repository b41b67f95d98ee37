package verb

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

const helpCase = "../../test/cases/help/cmd"

func TestHelpIsComplete(t *testing.T) {
	shown, err := os.ReadFile(helpCase)
	require.NoError(t, err)
	for _, c := range table() {
		checkHelp(t, c, c.Name, string(shown))
	}
}

func checkHelp(t *testing.T, c *cli.Command, words, shown string) {
	require.NotEmpty(t, c.Usage, words)
	require.Contains(t, shown, "run "+words+" --help\n", "the golden session of the help lacks a verb")
	if len(c.Commands) == 0 {
		require.Contains(t, c.Description, "persimmonstage "+words, "%s has no example", words)
	}
	for _, f := range c.Flags {
		doc, ok := f.(cli.DocGenerationFlag)
		require.True(t, ok)
		require.NotEmpty(t, doc.GetUsage(), "%s --%s", words, f.Names()[0])
	}
	for _, sub := range c.Commands {
		checkHelp(t, sub, words+" "+sub.Name, shown)
	}
}
