package heap

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type elem struct{ key, index int }

func TestElementsAreRemovedInOrderAndTrackTheirIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(
			func(a, b *elem) bool { return a.key < b.key },
			func(e *elem, i int) { e.index = i },
		)
		in := map[*elem]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, h.Len()).Draw(t, "at")
			key := rapid.IntRange(0, 50).Draw(t, "key")
			switch {
			case i == h.Len():
				e := &elem{key: key}
				h.Push(e)
				in[e] = true
			case rapid.Bool().Draw(t, "remove"):
				e := h.Remove(i)
				require.Equal(t, -1, e.index)
				delete(in, e)
			default:
				h.elems[i].key = key
				h.Fix(i)
			}
			for e := range in {
				require.Same(t, e, h.elems[e.index])
			}
		}
		last := -1
		for h.Len() > 0 {
			e := h.Remove(h.Min().index)
			require.LessOrEqual(t, last, e.key)
			last = e.key
			delete(in, e)
		}
		require.Empty(t, in)
	})
}
