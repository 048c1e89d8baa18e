package forwarder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/admitter"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

const (
	// maxWaitingPerPriority bounds the requests of one priority that wait for room.
	maxWaitingPerPriority = 512
	// maxWaitingBytes bounds the bodies of the requests that wait for room.
	maxWaitingBytes = 8 << 20
)

var (
	waitingRequests = metrics.GetOrCreateGauge(`pollencrank_room_waiting`, nil)
	waitSeconds     = metrics.GetOrCreateHistogram(`pollencrank_room_wait_seconds`)
)

// room lets requests to a service wait, or turns them away, when there is too little room
// at its servers.
type room struct {
	admitter *admitter.Admitter
	stopping chan struct{}
	stopOnce sync.Once
	// waiting is the number of requests that wait, known without the lock.
	waiting atomic.Int64

	mu    sync.Mutex
	queue *admitter.Queue[*registrar.Backend]
	// wokenBy holds the servers whose answers woke requests that have not seen it yet.
	wokenBy map[*admitter.Ticket]*registrar.Backend
	// reportedAt is when a lack of room was last reported, by service, and turnedAway the
	// number of requests turned away since.
	reportedAt map[string]time.Time
	turnedAway map[string]int
}

func newRoom() *room {
	return &room{
		admitter:   admitter.New(admitter.Config{Random: rand.Float64}),
		stopping:   make(chan struct{}),
		wokenBy:    map[*admitter.Ticket]*registrar.Backend{},
		reportedAt: map[string]time.Time{}, turnedAway: map[string]int{},
		queue: admitter.NewQueue[*registrar.Backend](admitter.Bounds{PerPriority: maxWaitingPerPriority, Bytes: maxWaitingBytes}),
	}
}

// EndWaits ends the waits of all requests: each runs or is refused at once.
func (f *Forwarder) EndWaits() { f.room.stopOnce.Do(func() { close(f.room.stopping) }) }

// sharesRoom reports whether the room at the servers of a call is shared by what it costs
// callers: tenants compete for it, or the servers tell the pace of their machines.
func (f *Forwarder) sharesRoom(call *Call) bool {
	return call.Tenant != nil || (f.config.TellsPace != nil && f.config.TellsPace(call.service.Name))
}

// waitError reports that a request is to wait for room.
type waitError struct {
	until   time.Time
	servers []*registrar.Backend
}

// Error implements error.
func (e *waitError) Error() string { return "the request waits for room" }

// chooseInRoom returns the server for the next attempt of a call, once there is room for it.
func (f *Forwarder) chooseInRoom(ctx context.Context, call *Call, now time.Time, attempt int) (decision, error) {
	if attempt == 1 && f.sharesRoom(call) {
		f.beginRequest(call, now)
	}
	var wokenBy *registrar.Backend
	for {
		chosen, err := f.choose(ctx, call, now, attempt)
		var wait *waitError
		if !errors.As(err, &wait) {
			if wokenBy != nil && chosen.backend != wokenBy {
				f.room.wake(wokenBy, now)
			}
			if err == nil && call.roomRequest != nil && call.startedAttempt == 0 {
				call.startedAttempt = attempt
				f.room.admitter.Start(call.roomRequest, now)
			}
			return chosen, err
		}
		wokenBy, err = f.awaitRoom(ctx, call, wait)
		now = time.Now()
		if err != nil {
			if wokenBy != nil {
				f.room.wake(wokenBy, now)
			}
			return decision{}, err
		}
	}
}

// beginRequest states what the admission of a call depends on.
func (f *Forwarder) beginRequest(call *Call, now time.Time) {
	if call.roomRequest != nil {
		return
	}
	arrivedAt := call.ArrivedAt
	if arrivedAt.IsZero() {
		arrivedAt = now
	}
	request := &admitter.Request{
		Kind: call.Route.Name, Service: call.service.Name, Priority: call.Priority(),
		ArrivedAt: arrivedAt, Deadline: call.Request.Deadline, IsStreamed: !call.hasWholeBody(),
	}
	if call.Tenant != nil {
		request.Tenant, request.Weight = call.Tenant.Name, call.Tenant.Quota.PerSecond
	}
	if call.Route.LatencyObjective > 0 {
		request.ObjectiveAt = arrivedAt.Add(call.Route.LatencyObjective)
	}
	call.roomRequest = request
}

// admitToRoom returns why a call may not be sent to the chosen server now: a waitError if it
// is to wait for room.
func (f *Forwarder) admitToRoom(call *Call, candidates *candidateSet, chosen decision, now time.Time) error {
	r := call.roomRequest
	r.Expected, r.Wait = chosen.choice.Expected, chosen.choice.Wait
	r.Work = max(r.Expected-r.Wait-chosen.option.Distance, 0)
	r.Deadline = call.Request.Deadline
	if !call.isCountedInRoom {
		call.isCountedInRoom = true
		f.room.admitter.Arrive(r, now)
	}
	decided := f.room.admitter.Decide(r, now)
	switch decided.Verdict {
	case admitter.Run:
		return nil
	case admitter.Wait:
		if f.room.isStopping() || call.wasCrowdedOut {
			decided.Cause, decided.At = admitter.CauseHeld, f.room.admitter.ReturnAt(r, now)
		} else {
			// The copy keeps the candidates of every other call off the heap.
			return &waitError{until: decided.At, servers: append([]*registrar.Backend(nil), candidates.backends[:candidates.count]...)}
		}
	}
	f.reportShortage(call, decided.Cause, now)
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_room_refused_total{cause=%q,priority="%d"}`, decided.Cause, call.Priority())).Inc()
	err := pollencrank.NotRun(pollencrank.ReasonQueueFull,
		"too little room (%s): %s expected at server %s, %s of it waiting", decided.Cause, r.Expected.Round(time.Millisecond),
		chosen.backend.ID(), r.Wait.Round(time.Millisecond))
	err.RetryAt = decided.At
	return err
}

// revokeStart takes back that a call counts as served, if the attempt for which it does
// certainly has not run.
func (f *Forwarder) revokeStart(call *Call, attempt int, err error) {
	if call.startedAttempt == attempt && pollencrank.IsNotRun(err) {
		call.startedAttempt = 0
		f.room.admitter.Revoke(call.roomRequest, time.Now())
	}
}

// setReturn spreads the times at which callers come back whose requests were not run because
// servers were full, if nothing says when there is room.
func (f *Forwarder) setReturn(call *Call, err error, now time.Time) {
	var notRun *pollencrank.NotRunError
	if call.roomRequest == nil || !errors.As(err, &notRun) || !notRun.RetryAt.IsZero() {
		return
	}
	switch notRun.Reason {
	case pollencrank.ReasonAllShed, pollencrank.ReasonRetryBudget:
		notRun.RetryAt = f.room.admitter.ReturnAt(call.roomRequest, now)
	}
}

// reportShortage logs that requests to a service are turned away, at most once in a
// reportInterval.
func (f *Forwarder) reportShortage(call *Call, cause admitter.Cause, now time.Time) {
	service := call.service.Name
	r := f.room
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnedAway[service]++
	if now.Sub(r.reportedAt[service]) < reportInterval {
		return
	}
	f.config.Log.Info("there is too little room at the servers of a service", recorder.EventRoomShort.Attr(),
		slog.String("service", service), slog.Int("turnedAway", r.turnedAway[service]), slog.Int("waiting", r.queue.Len()),
		slog.String("lastCause", string(cause)))
	r.reportedAt[service] = now
	r.turnedAway[service] = 0
}

func (r *room) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// awaitRoom waits until there may be room for a call, or no longer than it may wait. It
// returns the server whose answer woke the call, if any, and a NotRunError if the caller has
// left or the deadline has passed.
func (f *Forwarder) awaitRoom(ctx context.Context, call *Call, wait *waitError) (wokenBy *registrar.Backend, err error) {
	ticket := &admitter.Ticket{Request: call.roomRequest, Bytes: int64(len(call.Body)), Woken: make(chan struct{}, 1)}
	if !f.room.add(ticket, wait.servers) {
		call.wasCrowdedOut = true
		return nil, nil
	}
	started := time.Now()
	waitingRequests.Inc()
	timer := time.NewTimer(wait.until.Sub(started))
	defer func() {
		timer.Stop()
		wokenBy = f.room.remove(ticket, wait.servers)
		waitingRequests.Dec()
		waitSeconds.Update(time.Since(started).Seconds())
	}()
	select {
	case <-ticket.Woken:
	case <-timer.C:
	case <-f.room.stopping:
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return nil, pollencrank.NotRun(pollencrank.ReasonDeadlinePassed, "the deadline passed while the request waited for room")
		}
		return nil, pollencrank.NotRun(pollencrank.ReasonCallerGone, "the caller left while the request waited for room")
	}
	return nil, nil
}

func (r *room) add(ticket *admitter.Ticket, servers []*registrar.Backend) bool {
	standing := r.admitter.Standing(ticket.Request, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	isAdded := r.queue.Add(ticket, standing, servers)
	if isAdded {
		r.waiting.Add(1)
	}
	return isAdded
}

// remove ends the wait of a ticket, and returns the server that woke it, if any.
func (r *room) remove(ticket *admitter.Ticket, servers []*registrar.Backend) *registrar.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Remove(ticket)
	r.waiting.Add(-1)
	for _, server := range servers {
		r.queue.Forget(server)
	}
	wokenBy := r.wokenBy[ticket]
	delete(r.wokenBy, ticket)
	return wokenBy
}

// wake lets the first request that waits for a server look for room again.
func (r *room) wake(server *registrar.Backend, now time.Time) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		ticket, isLost := r.queue.Next(server, now)
		if ticket == nil {
			return
		}
		if !isLost {
			r.wokenBy[ticket] = server
		}
		ticket.Woken <- struct{}{}
		if !isLost {
			return
		}
	}
}
