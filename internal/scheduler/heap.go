package scheduler

// heapItem is an item of an indexedHeap.
type heapItem[T any] interface {
	before(other T) bool
	setHeapPos(pos int)
}

// indexedHeap is a heap for container/heap whose items know their positions; -1 for an item
// that was removed.
type indexedHeap[T heapItem[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, k int) bool { return h[i].before(h[k]) }

func (h indexedHeap[T]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].setHeapPos(i)
	h[k].setHeapPos(k)
}

// Push appends an item, for container/heap.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	item.setHeapPos(len(*h))
	*h = append(*h, item)
}

// Pop removes the last item, for container/heap.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	clear((*h)[last:])
	*h = (*h)[:last]
	item.setHeapPos(-1)
	return item
}
