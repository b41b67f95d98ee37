package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logged are the folders whose lines docs/OPERATIONS.md explains: those of repeatable jobs on the users' platform.
var logged = []string{"io/schedd", "io/runsd", "io/ctrl", "io/dump", "io/logger", "platform", "io/skip", "io/marks", "io/guard", "io/hello"}

// encoded are the fields that the logger's encoder adds to every line.
var encoded = []string{"time", "level", "message"}

func TestTheTableOfLogFieldsIsComplete(t *testing.T) {
	used := map[string]bool{}
	for _, f := range encoded {
		used[f] = true
	}
	for _, dir := range logged {
		addFields(t, filepath.Join("..", "..", dir), used)
	}
	require.Equal(t, slices.Sorted(maps.Keys(used)), tabled(t))
}

// addFields adds the names of the fields that the code below dir logs.
func addFields(t *testing.T, dir string, used map[string]bool) {
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if name, ok := field(n); ok {
				used[name] = true
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
}

// field returns the name in a call like zap.String("name", value).
func field(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", false
	}
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	if pkg, ok := fun.X.(*ast.Ident); !ok || pkg.Name != "zap" {
		return "", false
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(lit.Value)
	return name, err == nil
}

// tabled returns the names in the first column of the table of fields.
func tabled(t *testing.T) []string {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	_, table, ok := strings.Cut(string(page), "\n## Fields\n")
	require.True(t, ok)
	names := map[string]bool{}
	for line := range strings.Lines(table) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(cells[1], -1) {
				names[m[1]] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
