// Package scheduler grants the slots of the backend servers that one entry
// owns for one workload.
//
// The owner of a server counts its slots exactly, because every request for
// the server passes through the owner. Waiting requests are queued by rank;
// within a rank, callers are served round-robin. A rank's floor guarantees it a
// share of grants while more urgent requests could use every slot.
//
// # Usage
//
//	pool := scheduler.New(scheduler.Config{Workload: "catalogue", MaxWaiting: 64})
//	pool.SetServers([]scheduler.Server{{Name: "catalogue-1", Slots: 4}})
//	grant, err := pool.Acquire(ctx, scheduler.SlotRequest{
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
	// serviceTimeWeight is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeWeight = 0.1
	// fullShare is the share of all slots.
	fullShare = 1.0
)

// Server describes one backend server: its address and how many of its slots
// may be used now.
type Server struct {
	Name    string
	Address string
	Slots   int
}

// Policy is the part of a pool's configuration that depends on the preset.
type Policy struct {
	// Floors holds the minimum share of grants of each rank whose requests wait.
	Floors [pollencrank.RankCount]float64
	// ForeignShare is the maximum share of slots for callers of other regions.
	ForeignShare float64
	MaxWaiting   int
}

// Config is the configuration of a pool.
type Config struct {
	Workload string
	Policy   Policy
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Rank     pollencrank.Rank
	Caller   string
	Deadline time.Time
	// Avoid names a server that an earlier attempt used. It is chosen only if no
	// other server has a free slot.
	Avoid string
	// Foreign is true for callers of other regions.
	Foreign bool
}

// Grant is a slot on a server. Its holder must call Release.
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

// Load describes the use of a pool at one moment.
type Load struct {
	Slots   int
	Busy    int
	Waiting int
}

// Pool grants the slots of a workload's servers and queues the requests that
// wait for one.
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
	// meanServiceTime is the moving average of the service time in seconds; 0 until
	// the first sample.
	meanServiceTime float64
	queues          [pollencrank.RankCount]rankQueue
	credits         [pollencrank.RankCount]float64
	closed          bool
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

// SetPolicy replaces the policy for all later decisions.
func (p *Pool) SetPolicy(policy Policy) {
	if policy.MaxWaiting <= 0 {
		policy.MaxWaiting = defaultMaxWaiting
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
}

// SetServers replaces the servers. A server that is no longer listed, or has
// more requests in flight than its new number of slots, gets no new requests;
// its requests in flight continue.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(servers))
	p.slots = 0
	for _, s := range servers {
		listed[s.Name] = true
		p.slots += s.Slots
		p.setServer(s)
	}
	for name, s := range p.servers {
		if listed[name] {
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
	current := p.servers[s.Name]
	if current == nil {
		current = &server{name: s.Name, heapIndex: notInHeap}
		p.servers[s.Name] = current
	}
	current.address = s.Address
	current.slots = s.Slots
	p.free.update(current)
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

// Acquire returns a slot. It waits for one if the request can still meet its
// deadline. The error is a NotRunError.
func (p *Pool) Acquire(ctx context.Context, request SlotRequest) (*Grant, error) {
	now := time.Now()
	w, grant, err := p.admit(now, request)
	if w == nil {
		return grant, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if p.abandon(w) {
			return nil, abandonError(ctx, request)
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	if ctx.Err() != nil {
		w.grant.Release()
		return nil, abandonError(ctx, request)
	}
	return w.grant, nil
}

func abandonError(ctx context.Context, request SlotRequest) error {
	if !time.Now().Before(request.Deadline) || context.Cause(ctx) == context.DeadlineExceeded {
		return pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed in the queue")
	}
	return pollencrank.NotRun(pollencrank.ReasonCallerGone, "the caller left the queue")
}

// admit grants a slot at once, refuses the request, or queues a waiter.
func (p *Pool) admit(now time.Time, request SlotRequest) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, pollencrank.NotRun(pollencrank.ReasonStopping, "the instance no longer owns servers of %s", p.workload)
	}
	if p.slots == 0 {
		return nil, nil, p.refusal(now, pollencrank.ReasonNoServer, "no server of %s has a slot here", p.workload)
	}
	if p.waitingAtLeast(request.Rank) == 0 && p.withinForeignShare(request) {
		if s := p.free.leastBusy(request.Avoid); s != nil {
			p.countForeign(request, 1)
			return nil, p.grant(s, now, now, request.Foreign), nil
		}
	}
	if err := p.admitToQueue(now, request); err != nil {
		return nil, nil, err
	}
	w := &waiter{request: request, arrived: now, done: make(chan struct{})}
	if p.queues[request.Rank].length == 0 {
		p.queues[request.Rank].nonEmptySince = now
	}
	p.queues[request.Rank].push(w)
	p.countForeign(request, 1)
	return w, nil, nil
}

// waitingAtLeast returns the number of waiters of rank r and of more urgent
// ranks.
func (p *Pool) waitingAtLeast(r pollencrank.Rank) int {
	waiting := 0
	for i := range p.queues[:r+1] {
		waiting += p.queues[i].length
	}
	return waiting
}

// withinForeignShare reports whether the request stays within the share of
// slots for callers of other regions.
func (p *Pool) withinForeignShare(request SlotRequest) bool {
	if !request.Foreign || p.policy.ForeignShare >= fullShare {
		return true
	}
	return float64(p.foreign+1) <= p.policy.ForeignShare*float64(p.slots)
}

// admitToQueue returns an error if the request must not wait in its queue. If
// the queue is full, it may evict another caller's waiter.
func (p *Pool) admitToQueue(now time.Time, request SlotRequest) error {
	if !p.withinForeignShare(request) {
		return p.refusal(now, pollencrank.ReasonNoServer, "callers of other regions use their share of %s", p.workload)
	}
	expected := p.expectedWait(request.Rank)
	if now.Add(expected + p.expectedServiceTime()).After(request.Deadline) {
		return p.refusal(now, pollencrank.ReasonDeadlineTooNear, "the expected wait of %s exceeds the deadline", expected)
	}
	queue := &p.queues[request.Rank]
	if queue.length < p.waitingLimit(queue, now) {
		return nil
	}
	longest := queue.longestFlow()
	if longest == nil || queue.flowLength(request.Caller)+1 >= longest.length {
		return p.refusal(now, pollencrank.ReasonQueueFull, "%d requests wait", queue.length)
	}
	// The caller with the most waiters loses its newest one to a caller with
	// fewer.
	evicted := queue.evict(longest)
	p.endWait(evicted, p.refusal(now, pollencrank.ReasonQueueFull, "another caller has a smaller share of the queue"))
	return nil
}

// overloadAfter is how long a queue must have been non-empty to count as
// overloaded.
const overloadAfter = 500 * time.Millisecond

// waitingLimit returns how many requests may wait in a queue. A queue that is
// never empty has the same throughput when it is short, with a lower wait; only
// a queue that was recently empty needs room for a burst.
func (p *Pool) waitingLimit(queue *rankQueue, now time.Time) int {
	if queue.length == 0 || now.Sub(queue.nonEmptySince) < overloadAfter {
		return p.policy.MaxWaiting
	}
	return min(p.policy.MaxWaiting, max(1, p.slots/overloadedSlotsPerWaiter))
}

// overloadedSlotsPerWaiter is the number of a pool's slots for each request that
// may wait in an overloaded queue.
const overloadedSlotsPerWaiter = 2

// expectedWait estimates how long a new waiter of rank r would wait.
func (p *Pool) expectedWait(r pollencrank.Rank) time.Duration {
	if p.slots == 0 {
		return 0
	}
	ahead := float64(p.waitingAtLeast(r))
	seconds := ahead * p.meanServiceTime / float64(p.slots)
	share := fullShare
	for rank, floor := range p.policy.Floors {
		if pollencrank.Rank(rank) > r {
			share -= floor
		}
	}
	return time.Duration(seconds / max(share, 0.1) * float64(time.Second))
}

func (p *Pool) expectedServiceTime() time.Duration {
	return time.Duration(p.meanServiceTime * float64(time.Second))
}

// refusal returns an error whose RetryAt is the time at which the requests that
// wait now are expected to have been served.
func (p *Pool) refusal(now time.Time, reason pollencrank.Reason, format string, args ...any) *pollencrank.NotRunError {
	err := pollencrank.NotRun(reason, format, args...)
	const minRetryDelay = 50 * time.Millisecond
	err.RetryAt = now.Add(minRetryDelay + p.expectedWait(pollencrank.RankBackground))
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

// Release frees the slot and grants it to the next waiter. Later calls have no
// effect.
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
	p.recordServiceTime(now.Sub(g.started).Seconds())
	p.free.update(g.server)
	if g.server.slots == 0 && g.server.inFlight == 0 && p.servers[g.server.name] == g.server {
		delete(p.servers, g.server.name)
	}
	p.serveWaiting(now)
}

func (p *Pool) recordServiceTime(seconds float64) {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = seconds
		return
	}
	p.meanServiceTime += serviceTimeWeight * (seconds - p.meanServiceTime)
}
