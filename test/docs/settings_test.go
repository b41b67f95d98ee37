package docs

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/schema"
	"persimmonstage/io/agtset"
	"persimmonstage/io/entset"
	"persimmonstage/io/strict"
	"persimmonstage/platform/boot"
)

// settingsPage renders docs/SETTINGS.md from the code.
func settingsPage() string {
	return "# Settings\n\n" +
		"Generated from the code by `UPDATE_GOLDEN=1 go test ./test/docs`; CI compares.\n\n" +
		"## The operators' configuration\n\n" +
		"A folder of TOML files, merged in the order of names, published with `config publish`. NAME is 1 to 63 of a-z, 0-9\n" +
		"and '-'. Every change is in force in every process without a restart. docs/design/configuration.md says how.\n\n" +
		schema.Operators().Markdown() +
		"\n## The settings of an entry\n\nOne TOML file per process, read at its start (`entry --settings FILE`).\n\n" +
		strict.Reference(entset.Settings{}) +
		"\n## The settings of an agent\n\nOne TOML file per process, read at its start (`agent --settings FILE`).\n\n" +
		strict.Reference(agtset.Settings{}) +
		"\n## The limits on the users' platform\n\nThe platform writes the settings file of its processes; docs/design/callers.md says what follows from these.\n\n" +
		strict.Reference(struct {
			Limits boot.Limits `toml:"limits"`
		}{})
}

func TestSettingsPageIsCurrent(t *testing.T) {
	file := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(file, []byte(settingsPage()), 0o644))
	}
	committed, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, settingsPage(), string(committed))
}
