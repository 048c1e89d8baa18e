package scheduler

import "container/heap"

// notInHeap is the heapIndex of a server without a free slot.
const notInHeap = -1

// server is the state of a backend server's slots.
type server struct {
	name      string
	address   string
	slots     int
	inFlight  int
	heapIndex int
}

func (s *server) hasFreeSlot() bool { return s.inFlight < s.slots }

// lessBusy reports whether a smaller share of s's slots is in use than of
// other's. Ties are broken by name.
func (s *server) lessBusy(other *server) bool {
	left, right := s.inFlight*other.slots, other.inFlight*s.slots
	if left != right {
		return left < right
	}
	return s.name < other.name
}

// serverHeap holds the servers with a free slot, the least busy first.
type serverHeap []*server

var _ heap.Interface = (*serverHeap)(nil)

// Len implements heap.Interface.
func (h serverHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h serverHeap) Less(i, j int) bool { return h[i].lessBusy(h[j]) }

// Swap implements heap.Interface.
func (h serverHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *serverHeap) Push(x any) {
	s := x.(*server)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *serverHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.heapIndex = notInHeap
	return s
}

// update adds s to the heap, moves it or removes it after its load or number of
// slots has changed.
func (h *serverHeap) update(s *server) {
	switch {
	case s.hasFreeSlot() && s.heapIndex == notInHeap:
		heap.Push(h, s)
	case s.hasFreeSlot():
		heap.Fix(h, s.heapIndex)
	case s.heapIndex != notInHeap:
		heap.Remove(h, s.heapIndex)
	}
}

// leastBusy returns the least busy server other than avoid. It returns avoid
// itself if no other server has a free slot, and nil if none has.
func (h *serverHeap) leastBusy(avoid string) *server {
	if len(*h) == 0 {
		return nil
	}
	first := (*h)[0]
	if first.name != avoid || len(*h) == 1 {
		return first
	}
	best := (*h)[1]
	if len(*h) > 2 && (*h)[2].lessBusy(best) {
		best = (*h)[2]
	}
	return best
}
