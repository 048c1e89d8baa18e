package scheduler

import (
	"time"

	"github.com/pollencrank/pollencrank"
)

// serveWaiting grants free slots to waiters. If the pool has no slots left, it
// refuses all of them.
func (p *Pool) serveWaiting(now time.Time) {
	for len(p.free) > 0 {
		w := p.next(now)
		if w == nil {
			return
		}
		s := p.free.leastBusy(w.request.Avoid)
		w.finish(p.grant(s, w.arrived, now, w.request.Foreign), nil)
	}
	if p.slots == 0 {
		p.refuseAll(p.refusal(now, pollencrank.ReasonNoServer, "no server of %s has a slot here", p.workload))
	}
}

func (p *Pool) refuseAll(err error) {
	for i := range p.queues {
		for w := p.queues[i].pop(); w != nil; w = p.queues[i].pop() {
			p.endWait(w, err)
		}
	}
}

// endWait ends the wait of a waiter that was removed from its queue.
func (p *Pool) endWait(w *waiter, err error) {
	p.countForeign(w.request, -1)
	w.finish(nil, err)
}

func (p *Pool) countForeign(request SlotRequest, n int) {
	if request.Foreign {
		p.foreign += n
	}
}

// next removes and returns the waiter to serve. It is of the most urgent rank,
// unless a less urgent rank has a credit of at least one grant from its floor.
// Waiters whose deadline has passed are refused.
func (p *Pool) next(now time.Time) *waiter {
	for {
		rank, ok := p.nextRank()
		if !ok {
			return nil
		}
		w := p.queues[rank].pop()
		if now.Before(w.request.Deadline) {
			p.updateCredits(rank)
			return w
		}
		p.endWait(w, pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed in the queue"))
	}
}

func (p *Pool) nextRank() (pollencrank.Rank, bool) {
	var mostUrgent pollencrank.Rank
	found := false
	for _, r := range pollencrank.Ranks() {
		if p.queues[r].length == 0 {
			continue
		}
		if !found {
			mostUrgent, found = r, true
			continue
		}
		if p.credits[r] >= 1 {
			return r, true
		}
	}
	return mostUrgent, found
}

// updateCredits adds its floor to the credit of every rank that waits or was
// served, and subtracts one grant from the rank that was served. An idle rank
// loses its credit.
func (p *Pool) updateCredits(served pollencrank.Rank) {
	const maxCredit = 2
	for _, r := range pollencrank.Ranks() {
		if p.queues[r].length == 0 && r != served {
			p.credits[r] = 0
			continue
		}
		p.credits[r] = min(maxCredit, p.credits[r]+p.policy.Floors[r])
	}
	p.credits[served] = max(0, p.credits[served]-1)
}

// abandon removes a waiter and reports whether it was still waiting.
func (p *Pool) abandon(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.finished {
		return false
	}
	p.queues[w.request.Rank].remove(w)
	p.endWait(w, nil)
	return true
}
