package scheduler

import (
	"container/list"
	"time"
)

// waiter is a request that waits for a slot. Its fields are guarded by the
// pool's lock until done is closed.
type waiter struct {
	request  SlotRequest
	arrived  time.Time
	done     chan struct{}
	finished bool
	grant    *Grant
	err      error
	flow     *flow
	element  *list.Element
}

// finish ends the wait with a grant or an error.
func (w *waiter) finish(grant *Grant, err error) {
	w.finished = true
	w.grant = grant
	w.err = err
	close(w.done)
}

// flow holds the waiting requests of one caller.
type flow struct {
	caller  string
	waiters list.List
	length  int
	element *list.Element
}

// rankQueue holds the waiting requests of one rank. Its flows are served
// round-robin.
type rankQueue struct {
	flows map[string]*flow
	// rotation holds the flows in the order in which they are served.
	rotation list.List
	length   int
	// nonEmptySince is when the queue last became non-empty.
	nonEmptySince time.Time
}

// flowOf returns the caller's flow, creating it at the end of the rotation if
// the caller has none.
func (q *rankQueue) flowOf(caller string) *flow {
	f := q.flows[caller]
	if f == nil {
		f = &flow{caller: caller}
		f.element = q.rotation.PushBack(f)
		q.flows[caller] = f
	}
	return f
}

func (q *rankQueue) push(w *waiter) {
	w.flow = q.flowOf(w.request.Caller)
	w.element = w.flow.waiters.PushBack(w)
	w.flow.length++
	q.length++
}

// pop removes and returns the oldest waiter of the next flow in the rotation, or
// nil if none waits.
func (q *rankQueue) pop() *waiter {
	front := q.rotation.Front()
	if front == nil {
		return nil
	}
	f := front.Value.(*flow)
	w := f.waiters.Front().Value.(*waiter)
	q.rotation.MoveToBack(front)
	q.remove(w)
	return w
}

func (q *rankQueue) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.element)
	f.length--
	q.length--
	if f.length == 0 {
		q.rotation.Remove(f.element)
		delete(q.flows, f.caller)
	}
}

func (q *rankQueue) flowLength(caller string) int {
	if f := q.flows[caller]; f != nil {
		return f.length
	}
	return 0
}

// longestFlow returns the flow with the most waiters.
func (q *rankQueue) longestFlow() *flow {
	var longest *flow
	for e := q.rotation.Front(); e != nil; e = e.Next() {
		f := e.Value.(*flow)
		if longest == nil || f.length > longest.length {
			longest = f
		}
	}
	return longest
}

// evict removes and returns the newest waiter of a flow.
func (q *rankQueue) evict(f *flow) *waiter {
	w := f.waiters.Back().Value.(*waiter)
	q.remove(w)
	return w
}
