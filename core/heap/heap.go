package heap

// Heap orders elements by a comparison and reports each element's position, so that Fix and Remove need no search.
type Heap[E any] struct {
	elems    []E
	less     func(a, b E) bool
	setIndex func(e E, i int)
}

// New returns an empty heap ordered by less; it calls setIndex with each new position of an element, -1 after its removal.
func New[E any](less func(a, b E) bool, setIndex func(e E, i int)) *Heap[E] {
	return &Heap[E]{less: less, setIndex: setIndex}
}

// Len returns the number of elements.
func (h *Heap[E]) Len() int { return len(h.elems) }

// Min returns the first element; the heap must not be empty.
func (h *Heap[E]) Min() E { return h.elems[0] }

// Push adds an element in O(log n).
func (h *Heap[E]) Push(e E) {
	h.elems = append(h.elems, e)
	h.siftUp(len(h.elems) - 1)
}

// Remove removes and returns the element at position i in O(log n).
func (h *Heap[E]) Remove(i int) E {
	var zero E
	last := len(h.elems) - 1
	e := h.elems[i]
	moved := h.elems[last]
	h.elems[last] = zero
	h.elems = h.elems[:last]
	h.setIndex(e, -1)
	if i < last {
		h.set(i, moved)
		h.Fix(i)
	}
	return e
}

// Fix restores the order after the element at position i has changed.
func (h *Heap[E]) Fix(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *Heap[E]) set(i int, e E) {
	h.elems[i] = e
	h.setIndex(e, i)
}

func (h *Heap[E]) siftUp(i int) {
	e := h.elems[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(e, h.elems[parent]) {
			break
		}
		h.set(i, h.elems[parent])
		i = parent
	}
	h.set(i, e)
}

func (h *Heap[E]) siftDown(i int) bool {
	e := h.elems[i]
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.elems) {
			break
		}
		if right := child + 1; right < len(h.elems) && h.less(h.elems[right], h.elems[child]) {
			child = right
		}
		if !h.less(h.elems[child], e) {
			break
		}
		h.set(i, h.elems[child])
		i = child
	}
	h.set(i, e)
	return i > start
}
