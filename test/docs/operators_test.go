package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	wholeName = regexp.MustCompile(`"(persimmonstage_[a-z_]*[a-z])"`)
	shortName = regexp.MustCompile(`\bcounter\("([a-z_]+)"`)
)

// metricNames collects what the code registers: whole names, and those that the entry's helper completes.
func metricNames(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(filepath.Join("..", "..", "io"), func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range wholeName.FindAllStringSubmatch(string(data), -1) {
			names = append(names, m[1])
		}
		for _, m := range shortName.FindAllStringSubmatch(string(data), -1) {
			names = append(names, "persimmonstage_entry_"+m[1])
		}
		return err
	})
	require.NoError(t, err)
	return names
}

func TestOperatorsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATORS.md"))
	require.NoError(t, err)
	names := metricNames(t)
	require.Contains(t, names, "persimmonstage_entry_starts_total")
	require.Contains(t, names, "persimmonstage_agent_starts_total")
	for _, name := range names {
		require.Regexp(t, regexp.MustCompile("`"+name+"[`{]"), string(page), "docs/OPERATORS.md doesn't say what %s means", name)
	}
}
