package scheduler

import (
	"container/list"
	"time"
)

// waiter is a request that waits for a slot. Its fields are guarded by the
// pool's lock until done is closed.
type waiter struct {
	ticket   SlotRequest
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

// flow is the waiting requests of one caller.
type flow struct {
	caller  string
	waiters list.List
	length  int
	element *list.Element
}

// rankQueue holds the waiting requests of one rank. Callers take turns.
type rankQueue struct {
	flows  map[string]*flow
	turns  list.List
	length int
	// busySince is since when the queue has not been empty.
	busySince time.Time
}

func (q *rankQueue) flowOf(caller string) *flow {
	f := q.flows[caller]
	if f == nil {
		f = &flow{caller: caller}
		f.element = q.turns.PushBack(f)
		q.flows[caller] = f
	}
	return f
}

func (q *rankQueue) push(w *waiter) {
	w.flow = q.flowOf(w.ticket.Caller)
	w.element = w.flow.waiters.PushBack(w)
	w.flow.length++
	q.length++
}

// pop removes the oldest waiter of the caller whose turn it is.
func (q *rankQueue) pop() *waiter {
	front := q.turns.Front()
	if front == nil {
		return nil
	}
	f := front.Value.(*flow)
	w := f.waiters.Front().Value.(*waiter)
	q.turns.MoveToBack(front)
	q.remove(w)
	return w
}

func (q *rankQueue) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.element)
	f.length--
	q.length--
	if f.length == 0 {
		q.turns.Remove(f.element)
		delete(q.flows, f.caller)
	}
}

func (q *rankQueue) flowLength(caller string) int {
	if f := q.flows[caller]; f != nil {
		return f.length
	}
	return 0
}

// longest returns the flow with the most waiters.
func (q *rankQueue) longest() *flow {
	var longest *flow
	for e := q.turns.Front(); e != nil; e = e.Next() {
		f := e.Value.(*flow)
		if longest == nil || f.length > longest.length {
			longest = f
		}
	}
	return longest
}

// evict removes the newest waiter of a flow.
func (q *rankQueue) evict(f *flow) *waiter {
	w := f.waiters.Back().Value.(*waiter)
	q.remove(w)
	return w
}
