// Package scheduler grants the slots of the backend servers that one entry
// owns for one workload.
//
// The owner of a server counts its slots exactly, because every request for
// the server passes the owner. Waiting requests are queued by rank; within a
// rank, callers take turns. A rank's floor guarantees it a share of grants
// while more urgent work could use them all.
//
// # Usage
//
//	pool := scheduler.New(scheduler.Config{Workload: "catalogue", MaxWaiting: 64})
//	pool.SetServers([]scheduler.Server{{Name: "catalogue-1", Slots: 4}})
//	grant, err := pool.Acquire(ctx, scheduler.Ticket{
//		Rank:     pollencrank.RankUrgent,
//		Caller:   "198.51.100.7",
//		Deadline: deadline,
//	})
//	if err != nil {
//		return err
//	}
//	defer grant.Release()
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	defaultMaxWaiting = 64
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.1
	// fullShare is the share that stands for every slot.
	fullShare = 1.0
)

// Server is the input for one backend server: its address and how many of its
// slots may be used now.
type Server struct {
	Name    string
	Address string
	Slots   int
}

// Policy is the part of a pool's configuration that a preset changes.
type Policy struct {
	// Floors is the least share of grants of each rank.
	Floors [pollencrank.RankCount]float64
	// ForeignShare is the largest share of slots for callers of other regions.
	ForeignShare float64
	MaxWaiting   int
}

// Config is the configuration of a pool.
type Config struct {
	Workload string
	Policy   Policy
}

// SlotRequest asks for a slot.
type SlotRequest struct {
	Rank     pollencrank.Rank
	Caller   string
	Deadline time.Time
	// Avoid names a server not to use, because it was tried already.
	Avoid   string
	Foreign bool
}

// Grant is a slot on a server. It must be released once.
type Grant struct {
	Server  string
	Address string
	Waited  time.Duration

	pool     *Pool
	server   *server
	foreign  bool
	started  time.Time
	released sync.Once
}

// Load describes a pool at one moment.
type Load struct {
	Slots   int
	Busy    int
	Waiting int
}

// Pool holds the servers and the waiting requests of a workload.
type Pool struct {
	workload string

	mu      sync.Mutex
	policy  Policy
	servers map[string]*server
	free    serverHeap
	slots   int
	busy    int
	// foreign counts the foreign requests that wait or hold a slot.
	foreign int
	// meanService is in seconds; 0 until the first sample.
	meanService float64
	queues      [pollencrank.RankCount]rankQueue
	credits     [pollencrank.RankCount]float64
	closed      bool
}

// New returns a pool without servers.
func New(config Config) *Pool {
	p := &Pool{workload: config.Workload, servers: map[string]*server{}}
	for i := range p.queues {
		p.queues[i].flows = map[string]*flow{}
	}
	p.SetPolicy(config.Policy)
	return p
}

// SetPolicy changes the policy for decisions from now on.
func (p *Pool) SetPolicy(policy Policy) {
	if policy.MaxWaiting <= 0 {
		policy.MaxWaiting = defaultMaxWaiting
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
}

// SetServers replaces the servers. A server that is no longer named, or has
// fewer slots, gets no new work; its requests in flight continue.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool, len(servers))
	p.slots = 0
	for _, s := range servers {
		named[s.Name] = true
		p.slots += s.Slots
		p.setServer(s)
	}
	for name, s := range p.servers {
		if named[name] {
			continue
		}
		s.slots = 0
		p.free.update(s)
		if s.inFlight == 0 {
			delete(p.servers, name)
		}
	}
	p.serveWaiting(time.Now())
}

func (p *Pool) setServer(s Server) {
	known := p.servers[s.Name]
	if known == nil {
		known = &server{name: s.Name, heapIndex: notInHeap}
		p.servers[s.Name] = known
	}
	known.address = s.Address
	known.slots = s.Slots
	p.free.update(known)
}

// InFlight returns the number of requests that hold a slot of a server.
func (p *Pool) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// Load returns the pool's load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{Slots: p.slots, Busy: p.busy, Waiting: p.waiting()}
}

// Close refuses every waiting and every later request. Requests in flight keep
// their slots.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.refuseAll(pollencrank.NotRun(pollencrank.ReasonStopping, "the instance no longer owns servers of %s", p.workload))
}

func (p *Pool) waiting() int {
	waiting := 0
	for i := range p.queues {
		waiting += p.queues[i].length
	}
	return waiting
}

// Acquire returns a slot, waiting for one if that can be in time. The error is
// a NotRunError.
func (p *Pool) Acquire(ctx context.Context, ticket SlotRequest) (*Grant, error) {
	now := time.Now()
	w, grant, err := p.arrive(now, ticket)
	if w == nil {
		return grant, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if p.abandon(w) {
			return nil, abandoned(ctx, ticket)
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	if ctx.Err() != nil {
		w.grant.Release()
		return nil, abandoned(ctx, ticket)
	}
	return w.grant, nil
}

func abandoned(ctx context.Context, ticket SlotRequest) error {
	if !time.Now().Before(ticket.Deadline) || context.Cause(ctx) == context.DeadlineExceeded {
		return pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed in the queue")
	}
	return pollencrank.NotRun(pollencrank.ReasonCallerGone, "the caller left the queue")
}

// arrive grants a slot at once, refuses, or queues a waiter.
func (p *Pool) arrive(now time.Time, ticket SlotRequest) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, pollencrank.NotRun(pollencrank.ReasonStopping, "the instance no longer owns servers of %s", p.workload)
	}
	if p.slots == 0 {
		return nil, nil, p.refusal(now, pollencrank.ReasonNoServer, "no server of %s has a slot here", p.workload)
	}
	if p.waitingAtLeast(ticket.Rank) == 0 && p.mayUse(ticket) {
		if s := p.free.take(ticket.Avoid); s != nil {
			p.countForeign(ticket, 1)
			return nil, p.grant(s, now, now, ticket.Foreign), nil
		}
	}
	if err := p.refuseAtArrival(now, ticket); err != nil {
		return nil, nil, err
	}
	w := &waiter{ticket: ticket, arrived: now, done: make(chan struct{})}
	if p.queues[ticket.Rank].length == 0 {
		p.queues[ticket.Rank].busySince = now
	}
	p.queues[ticket.Rank].push(w)
	p.countForeign(ticket, 1)
	return w, nil, nil
}

// waitingAtLeast returns the number of waiters of rank r or more urgent.
func (p *Pool) waitingAtLeast(r pollencrank.Rank) int {
	waiting := 0
	for i := range p.queues[:r+1] {
		waiting += p.queues[i].length
	}
	return waiting
}

// mayUse reports whether the share of foreign work permits the ticket.
func (p *Pool) mayUse(ticket SlotRequest) bool {
	if !ticket.Foreign || p.policy.ForeignShare >= fullShare {
		return true
	}
	return float64(p.foreign+1) <= p.policy.ForeignShare*float64(p.slots)
}

func (p *Pool) refuseAtArrival(now time.Time, ticket SlotRequest) error {
	if !p.mayUse(ticket) {
		return p.refusal(now, pollencrank.ReasonNoServer, "callers of other regions use their share of %s", p.workload)
	}
	expected := p.expectedWait(ticket.Rank)
	if now.Add(expected + p.service()).After(ticket.Deadline) {
		return p.refusal(now, pollencrank.ReasonDeadlineTooNear, "the expected wait of %s exceeds the deadline", expected)
	}
	queue := &p.queues[ticket.Rank]
	if queue.length < p.waitingLimit(queue, now) {
		return nil
	}
	longest := queue.longest()
	if longest == nil || queue.flowLength(ticket.Caller)+1 >= longest.length {
		return p.refusal(now, pollencrank.ReasonQueueFull, "%d requests wait", queue.length)
	}
	// The caller with the longest queue makes room for one with a shorter.
	evicted := queue.evict(longest)
	p.dismiss(evicted, p.refusal(now, pollencrank.ReasonQueueFull, "another caller has a smaller share of the queue"))
	return nil
}

// overloadAfter is how long a queue must not have been empty to count as
// overloaded.
const overloadAfter = 500 * time.Millisecond

// waitingLimit returns how many requests may wait in a queue. A queue that is
// never empty serves as many requests when it is short, but sooner; only one
// that was empty of late needs room for a burst.
func (p *Pool) waitingLimit(queue *rankQueue, now time.Time) int {
	if queue.length == 0 || now.Sub(queue.busySince) < overloadAfter {
		return p.policy.MaxWaiting
	}
	return min(p.policy.MaxWaiting, max(1, p.slots/overloadedParts))
}

// overloadedParts is the part of a pool's slots for which requests wait in an
// overloaded queue.
const overloadedParts = 2

// expectedWait estimates how long a new waiter of rank r would wait.
func (p *Pool) expectedWait(r pollencrank.Rank) time.Duration {
	if p.slots == 0 {
		return 0
	}
	ahead := float64(p.waitingAtLeast(r))
	seconds := ahead * p.meanService / float64(p.slots)
	share := fullShare
	for rank, floor := range p.policy.Floors {
		if pollencrank.Rank(rank) > r {
			share -= floor
		}
	}
	return time.Duration(seconds / max(share, 0.1) * float64(time.Second))
}

func (p *Pool) service() time.Duration {
	return time.Duration(p.meanService * float64(time.Second))
}

// refusal says when to come back: when the work that waits now will be done.
func (p *Pool) refusal(now time.Time, reason pollencrank.Reason, format string, args ...any) *pollencrank.NotRunError {
	err := pollencrank.NotRun(reason, format, args...)
	const leastPause = 50 * time.Millisecond
	err.RetryAt = now.Add(leastPause + p.expectedWait(pollencrank.RankBackground))
	return err
}

func (p *Pool) grant(s *server, arrived, now time.Time, foreign bool) *Grant {
	s.inFlight++
	p.busy++
	p.free.update(s)
	return &Grant{
		Server:  s.name,
		Address: s.address,
		Waited:  now.Sub(arrived),
		pool:    p,
		server:  s,
		foreign: foreign,
		started: now,
	}
}

// Release frees the slot and hands it to the next waiter.
func (g *Grant) Release() {
	g.released.Do(func() { g.pool.release(g) })
}

func (p *Pool) release(g *Grant) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g.server.inFlight--
	p.busy--
	if g.foreign {
		p.foreign--
	}
	p.addSample(now.Sub(g.started).Seconds())
	p.free.update(g.server)
	if g.server.slots == 0 && g.server.inFlight == 0 && p.servers[g.server.name] == g.server {
		delete(p.servers, g.server.name)
	}
	p.serveWaiting(now)
}

func (p *Pool) addSample(seconds float64) {
	if p.meanService == 0 {
		p.meanService = seconds
		return
	}
	p.meanService += serviceWeight * (seconds - p.meanService)
}

// serveWaiting grants free slots to waiters.
func (p *Pool) serveWaiting(now time.Time) {
	for len(p.free) > 0 {
		w := p.next(now)
		if w == nil {
			return
		}
		s := p.free.take(w.ticket.Avoid)
		w.finish(p.grant(s, w.arrived, now, w.ticket.Foreign), nil)
	}
	if p.slots == 0 {
		p.refuseAll(p.refusal(now, pollencrank.ReasonNoServer, "no server of %s has a slot here", p.workload))
	}
}

func (p *Pool) refuseAll(err error) {
	for i := range p.queues {
		for w := p.queues[i].pop(); w != nil; w = p.queues[i].pop() {
			p.dismiss(w, err)
		}
	}
}

// dismiss ends the wait of a waiter that was removed from its queue.
func (p *Pool) dismiss(w *waiter, err error) {
	p.countForeign(w.ticket, -1)
	w.finish(nil, err)
}

func (p *Pool) countForeign(ticket SlotRequest, n int) {
	if ticket.Foreign {
		p.foreign += n
	}
}

// next returns the waiter to serve: of the most urgent rank, unless a less
// urgent one has earned a grant by its floor.
func (p *Pool) next(now time.Time) *waiter {
	for {
		rank, ok := p.nextRank()
		if !ok {
			return nil
		}
		w := p.queues[rank].pop()
		if now.Before(w.ticket.Deadline) {
			p.settleCredits(rank)
			return w
		}
		p.dismiss(w, pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed in the queue"))
	}
}

func (p *Pool) nextRank() (pollencrank.Rank, bool) {
	var urgent pollencrank.Rank
	found := false
	for _, r := range pollencrank.Ranks() {
		if p.queues[r].length == 0 {
			continue
		}
		if !found {
			urgent, found = r, true
			continue
		}
		if p.credits[r] >= 1 {
			return r, true
		}
	}
	return urgent, found
}

// settleCredits gives every waiting rank that was passed over a credit of its
// floor, and takes one from the rank that was served.
func (p *Pool) settleCredits(served pollencrank.Rank) {
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
	p.queues[w.ticket.Rank].remove(w)
	p.dismiss(w, nil)
	return true
}
