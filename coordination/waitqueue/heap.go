package waitqueue

import "container/heap"

// indexed is a heap whose items know their index, so that any of them can be removed.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int // of an item in this heap; absent if it is in none
}

// absent is the index of an item that is not in the heap.
const absent = -1

// Len implements heap.Interface.
func (h *indexed[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(x any) {
	item := x.(T) // add passes nothing else
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	var none T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = none
	h.items = h.items[:last]
	*h.index(item) = absent
	return item
}

func (h *indexed[T]) add(item T) { heap.Push(h, item) }

// remove removes an item if it is in the heap.
func (h *indexed[T]) remove(item T) {
	if i := *h.index(item); i != absent {
		heap.Remove(h, i)
	}
}

// fix restores the order after an item has changed.
func (h *indexed[T]) fix(item T) {
	if i := *h.index(item); i != absent {
		heap.Fix(h, i)
	}
}

// first returns the least item.
func (h *indexed[T]) first() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}
