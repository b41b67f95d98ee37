package lines

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// The index is built from the parser's syntax tree, since the decoder gives no positions of values that decode without error.

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// MaxDepth is the maximum number of parts of a key; the cost of indexing a key grows with the square of that number.
const MaxDepth = 16

// Index maps dotted keys to the 1-based lines that set them.
type Index struct {
	lines   map[string]int
	tooDeep int
}

// TooDeep returns the line of the first key of more than MaxDepth parts, or 0; nothing after that line is indexed.
func (x Index) TooDeep() int { return x.tooDeep }

// NewIndex returns the index of a document; what follows a syntax error is left out.
func NewIndex(data []byte) Index {
	b := builder{data: data, lines: make(map[string]int), line: 1}
	b.parser.Reset(data)
	for b.tooDeep == 0 && b.parser.NextExpression() {
		b.expression(b.parser.Expression())
	}
	return Index{lines: b.lines, tooDeep: b.tooDeep}
}

// Line returns the line that sets key, or else that of its nearest enclosing table, or 0.
func (x Index) Line(key ...string) int {
	for n := len(key); n > 0; n-- {
		if line, ok := x.lines[Dotted(key[:n])]; ok {
			return line
		}
	}
	return 0
}

// Dotted joins the parts of a key with dots, quoting the parts that TOML requires to be quoted.
func Dotted(key []string) string {
	parts := make([]string, len(key))
	for i, part := range key {
		parts[i] = part
		if !bareKey.MatchString(part) {
			parts[i] = strconv.Quote(part)
		}
	}
	return strings.Join(parts, ".")
}

type builder struct {
	data   []byte
	parser unstable.Parser
	lines  map[string]int
	table  []string
	line   int
	offset int

	tooDeep int
}

func (b *builder) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		key, at := parts(n.Key())
		b.table = key
		b.mark(key, at)
	case unstable.KeyValue:
		b.keyValue(b.table, n)
	default:
	}
}

func (b *builder) keyValue(prefix []string, n *unstable.Node) {
	key, at := parts(n.Key())
	full := append(append([]string(nil), prefix...), key...)
	b.mark(full, at)
	if n.Value().Kind != unstable.InlineTable || b.tooDeep > 0 {
		return
	}
	children := n.Value().Children()
	for children.Next() {
		b.keyValue(full, children.Node())
	}
}

// mark records the line of a key and of the tables that it implies; expressions come in increasing order of offset.
func (b *builder) mark(key []string, offset int) {
	if offset > b.offset {
		b.line += bytes.Count(b.data[b.offset:offset], []byte{'\n'})
		b.offset = offset
	}
	if len(key) > MaxDepth {
		b.tooDeep = b.line
		return
	}
	for n := 1; n <= len(key); n++ {
		name := Dotted(key[:n])
		if _, ok := b.lines[name]; !ok || n == len(key) {
			b.lines[name] = b.line
		}
	}
}

func parts(it unstable.Iterator) ([]string, int) {
	var key []string
	at := 0
	for it.Next() {
		if len(key) == 0 {
			at = int(it.Node().Raw.Offset)
		}
		key = append(key, string(it.Node().Data))
	}
	return key, at
}
