package admission

// indexedHeap is a binary heap that stores the position of each item in the
// item, so that an item can be moved or removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns a pointer to the stored position of an item; -1 means that
	// the item is not in the heap.
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes x if it is in the heap.
func (h *indexedHeap[T]) remove(x T) {
	i, last := *h.index(x), len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(x) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the heap order after the key of x has changed.
func (h *indexedHeap[T]) fix(x T) {
	if i := *h.index(x); i >= 0 {
		h.down(i)
		h.up(*h.index(x))
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// dueHeap returns a heap of jobs ordered by due time.
func dueHeap() indexedHeap[*entry] {
	return indexedHeap[*entry]{
		less:  func(a, b *entry) bool { return a.due < b.due },
		index: func(e *entry) *int { return &e.heapIndex },
	}
}
