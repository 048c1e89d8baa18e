// Package admitter decides which requests run, wait or are turned away when there is too
// little room at the servers.
//
// What is turned away is what costs callers least. A request runs at once where there is
// room. Where there is none, it joins a server's queue as long as its answer is expected
// within its latency objective. A late answer takes a slot from one that would be in time.
// Only where few requests meet a queue may it be late.
//
// The less urgent a request is, the shorter is the queue that it may join. A kind that is
// served much less often than all, or a rank that is served less than a less urgent one, goes
// first. A tenant that has had its fair share gets only room that no other needs. What does
// not run waits for a moment that costs nothing, and is then turned away with the time at
// which there is likely to be room.
//
// A request that comes back after a refusal is a new one: it neither gains nor loses a place.
//
// An Admitter knows neither servers nor a clock: every call states the time and what is
// expected at the best server. The rule and what it promises are in
// docs/design/too-little-room.md.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Random: rand.Float64})
//	queue := admitter.NewQueue[*Server](admitter.Bounds{PerPriority: 512, Bytes: 8 << 20})
//	a.Arrive(&request, now)
//	decision := a.Decide(&request, now)
//	switch decision.Verdict {
//	case admitter.Run:
//		a.Start(&request, now)
//		// Send the request; call a.Revoke if it certainly has not run.
//	case admitter.Wait:
//		ticket := &admitter.Ticket{Request: &request, Woken: make(chan struct{}, 1)}
//		if !queue.Add(ticket, a.Standing(&request, now), servers) {
//			// Turn it away: as many wait as may.
//		}
//		// Wait until decision.At at most, then call queue.Remove and decide again. Whoever
//		// hears that a server has room calls queue.Next and wakes what it returns.
//	case admitter.Refuse:
//		// Turn it away; its caller may come back at decision.At.
//	}
package admitter

import (
	"sync"
	"time"
)

const (
	// freeWaitDivisor divides a latency objective into the time for which a request may be
	// held before it is offered to a server.
	freeWaitDivisor = 10
	// shortQueueDivisor divides a latency objective into the wait at a server up to which a
	// request runs although its answer will be late: the delay is not the queue's.
	shortQueueDivisor = 4
	// minPause and maxPause bound the time after which a refused caller may come back.
	minPause = 150 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// honouredDivisor divides the time that a caller has left into the longest pause that
	// leaves time for an answer.
	honouredDivisor = 3
)

// Request is a request that asks for room.
type Request struct {
	// Kind names requests that are served alike, such as those of one route.
	Kind string
	// Service names the servers that the request competes for.
	Service string
	// Tenant names the customer whose request it is, if there are any.
	Tenant string
	// Weight is what the tenant may ask for, as its quota says. Zero means that nothing does.
	Weight float64
	// Priority is the rank of the request; 0 is the most urgent.
	Priority  int
	ArrivedAt time.Time
	// ObjectiveAt is when the latency objective passes. Zero means that there is none.
	ObjectiveAt time.Time
	Deadline    time.Time
	// IsStreamed says that the request may not wait here, because its body is still to be
	// read from the caller.
	IsStreamed bool
	// Expected is the time until the answer of the best server, Wait the part of it in the
	// server's queue, and Work the part in one of its slots.
	Expected, Wait, Work time.Duration

	// worth is what the request was expected to earn when it started.
	worth     float64
	startedAt time.Time
}

// objective returns the time that the latency objective allows from the arrival, or the
// deadline where there is no objective.
func (r *Request) objective() time.Duration {
	if r.ObjectiveAt.IsZero() {
		return r.Deadline.Sub(r.ArrivedAt)
	}
	return r.ObjectiveAt.Sub(r.ArrivedAt)
}

// IsInTime reports whether the answer is expected within the latency objective.
func (r *Request) IsInTime(now time.Time) bool {
	return r.ObjectiveAt.IsZero() || !now.Add(r.Expected).After(r.ObjectiveAt)
}

// isLost reports whether the answer is expected after the deadline.
func (r *Request) isLost(now time.Time) bool { return now.Add(r.Expected).After(r.Deadline) }

// Verdict says what becomes of a request.
type Verdict int

const (
	// Run means that the request is sent to the server at once.
	Run Verdict = iota
	// Wait means that the request waits for room.
	Wait
	// Refuse means that the request is turned away.
	Refuse
)

// Cause says why a request does not run at once.
type Cause string

const (
	// CauseDeadline means that its answer would come after the deadline.
	CauseDeadline Cause = "deadline"
	// CauseObjective means that its answer would come after the latency objective.
	CauseObjective Cause = "objective"
	// CausePriority means that the rest of the room is kept for more urgent ones.
	CausePriority Cause = "priority"
	// CauseTenant means that its tenant has had its fair share.
	CauseTenant Cause = "tenant"
	// CauseHeld means that as many requests wait as may.
	CauseHeld Cause = "held"
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	// At is until when the request waits, or when the caller of a refused one may come back.
	At time.Time
}

// Config is the configuration of an Admitter.
type Config struct {
	// Random returns a number in [0, 1), by which the callers that are refused together
	// come back at different times.
	Random func() float64
}

// Admitter decides on the requests of one instance. It is safe for concurrent use.
type Admitter struct {
	config Config

	mu       sync.Mutex
	services map[string]*serviceUsage
}

// New returns an Admitter that has seen no requests.
func New(config Config) *Admitter {
	return &Admitter{config: config, services: map[string]*serviceUsage{}}
}

// Arrive counts a request that asks for room for the first time.
func (a *Admitter) Arrive(r *Request, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usagesOf(r, now).offer(r)
}

// Start counts a request that runs.
func (a *Admitter) Start(r *Request, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usagesOf(r, now).serve(r, now)
}

// Revoke takes back that a request was started, because it certainly has not run.
func (a *Admitter) Revoke(r *Request, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usagesOf(r, now).revoke(r, now)
}

// Decide returns the verdict on a request that asks for room now.
func (a *Admitter) Decide(r *Request, now time.Time) Decision {
	if r.Wait <= 0 {
		// Free room would be lost, and what is expected is only an estimate.
		return Decision{Verdict: Run}
	}
	if r.isLost(now) {
		return Decision{Verdict: Refuse, Cause: CauseDeadline, At: a.ReturnAt(r, now)}
	}
	cause, excess := a.check(r, now)
	if cause == "" {
		return Decision{Verdict: Run}
	}
	until := r.ArrivedAt.Add(r.objective() / freeWaitDivisor)
	if latest := r.Deadline.Add(r.Wait - r.Expected); latest.Before(until) {
		until = latest
	}
	if r.IsStreamed || !now.Before(until) || now.Add(excess).After(until) {
		return Decision{Verdict: Refuse, Cause: cause, At: a.ReturnAt(r, now)}
	}
	return Decision{Verdict: Wait, Cause: cause, At: until}
}

// check returns why a request does not join a server's queue, or "" if it does, and by how
// much the queue is too long.
func (a *Admitter) check(r *Request, now time.Time) (Cause, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := a.usagesOf(r, now)
	if used.isOverShare() {
		return CauseTenant, r.Wait
	}
	limit, guaranteedWait := r.maxWait(used.service.stretch(), now), r.objective()/guaranteedDivisor
	isStarving := used.service.isStarving(used.kind)
	switch {
	case isStarving || used.lagsBehind():
		limit = max(limit, guaranteedWait)
	case used.service.hasStarving:
		guaranteedWait = min(guaranteedWait, used.service.starvingObjective/guaranteedDivisor)
		limit = min(limit, time.Duration(float64(guaranteedWait)*keptShortPart))
	}
	if r.Wait > limit {
		return CauseObjective, r.Wait - limit
	}
	if !isStarving {
		limit = used.shorten(limit)
	}
	if used.lagsBehind() && !used.isAhead() {
		limit = max(limit, guaranteedWait)
	}
	if r.Wait > limit {
		return CausePriority, r.Wait - limit
	}
	return "", 0
}

// maxWait returns the time that the request may spend in a server's queue: what a multiple of
// the latency objective leaves beside the work. If the work leaves nothing, the answer is late
// without the queue too, so that a short one is allowed.
func (r *Request) maxWait(stretch float64, now time.Time) time.Duration {
	until := r.ArrivedAt.Add(time.Duration(float64(r.objective()) * stretch))
	return max(until.Sub(now)-(r.Expected-r.Wait), r.objective()/shortQueueDivisor)
}

// Standing returns how a request stands among those that were served lately.
func (a *Admitter) Standing(r *Request, now time.Time) Standing {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := a.usagesOf(r, now)
	return Standing{GoesFirst: used.service.isStarving(used.kind) || used.lagsBehind(), IsOverShare: used.isOverShare()}
}

// ReturnAt returns when the caller of a refused request may come back: not before the
// queue has become as short as the request needs it, and not so late that no time is
// left for the answer. Callers that are refused together are spread over that time.
func (a *Admitter) ReturnAt(r *Request, now time.Time) time.Time {
	excess := r.Wait
	if !r.ObjectiveAt.IsZero() {
		excess = min(excess, r.Expected-r.objective())
	}
	latest := min(max(r.Deadline.Sub(now)/honouredDivisor, minPause), maxPause)
	earliest := min(max(excess, minPause), latest)
	return now.Add(earliest + time.Duration(a.config.Random()*float64(latest-earliest)))
}
