package fold

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/lines"
)

// Merge folds the named TOML documents in the order of their names: tables key by key, later values win. A file
// that isn't valid TOML, or has a value where an earlier file has a table or the reverse, gives a *cfgerr.Error.
func Merge(files map[string][]byte) (Document, error) {
	m := merger{leaves: make(map[string]leaf), tables: make(map[string]leaf)}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		d, err := Parse(name, files[name])
		if err != nil {
			return Document{}, err
		}
		for _, l := range d.leaves {
			if err := m.add(l); err != nil {
				return Document{}, err
			}
		}
	}
	return sortedDocument(m.leaves), nil
}

// Parse reads one TOML document; invalid TOML gives a *cfgerr.Error.
func Parse(file string, data []byte) (Document, error) {
	index := lines.NewIndex(data)
	if line := index.TooDeep(); line > 0 {
		return Document{}, cfgerr.New(file, line, "", fmt.Sprintf("a key is nested too deep: must be at most %d parts", lines.MaxDepth))
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return Document{}, syntaxError(file, err)
	}
	byName := make(map[string]leaf)
	flatten(nil, tree, func(key []string, value any) {
		name := lines.Dotted(key)
		line := index.Line(key...)
		byName[name] = leaf{key: key, name: name, literal: literal(value), value: value, file: file, line: line}
	})
	return sortedDocument(byName), nil
}

func syntaxError(file string, err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return cfgerr.New(file, 0, "", strings.TrimPrefix(err.Error(), "toml: "))
	}
	line, _ := decode.Position()
	return cfgerr.New(file, line, lines.Dotted(decode.Key()), strings.TrimPrefix(decode.Error(), "toml: "))
}

// flatten calls visit for each value and each empty table, except an empty document.
func flatten(prefix []string, tree map[string]any, visit func(key []string, value any)) {
	for part, value := range tree {
		key := append(slices.Clone(prefix), part)
		if table, ok := value.(map[string]any); ok && len(table) > 0 {
			flatten(key, table, visit)
			continue
		}
		visit(key, value)
	}
}

// merger holds the leaves merged so far and, for each table, the last leaf added inside it.
type merger struct {
	leaves map[string]leaf
	tables map[string]leaf
}

// add replaces an earlier leaf of the same key; a value where an earlier file has a table, or the reverse, is an error.
func (m *merger) add(l leaf) error {
	if l.literal == EmptyTable {
		if _, ok := m.tables[l.name]; ok {
			return nil
		}
	} else if earlier, ok := m.tables[l.name]; ok {
		return conflictError(l, earlier)
	}
	for n := 1; n < len(l.key); n++ {
		table := lines.Dotted(l.key[:n])
		if earlier, ok := m.leaves[table]; ok && earlier.literal != EmptyTable {
			return conflictError(l, earlier)
		}
		delete(m.leaves, table)
		m.tables[table] = l
	}
	if earlier, ok := m.leaves[l.name]; ok && (earlier.literal == EmptyTable) != (l.literal == EmptyTable) {
		return conflictError(l, earlier)
	}
	m.leaves[l.name] = l
	return nil
}

func conflictError(l, earlier leaf) error {
	return cfgerr.New(l.file, l.line, l.name, "wrong type: a table and a value under one key; see "+position(earlier))
}
