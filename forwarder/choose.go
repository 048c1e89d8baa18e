package forwarder

import (
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/selector"
)

// copies is the number of servers of an object's order that are weighed for a
// request.
const copies = 2

// lateness is the multiple of the latency objective up to which requests that
// are not the most urgent may be expected to take.
const lateness = 1.5

// choose returns the server for the next attempt of a call and the time in which
// its answer is expected, or why there is none.
func (f *Forwarder) choose(call *Call, now time.Time, attempt int) (*registrar.Backend, time.Duration, error) {
	order := f.order(call)
	work := f.work.Of(workKey(call), initialWork(call))
	refused := map[*registrar.Backend]bool{}
	for {
		backends, options := f.options(call, order, refused, now)
		choice, ok := selector.Choose(options, work)
		if !ok {
			return nil, 0, refusal(pollencrank.ReasonNoServer, work, now, "no server of %s may get the request", call.service.Name)
		}
		backend := backends[choice.Index]
		if backend.IsCold(now) && !f.config.Warmer.Take(backend.Server().ID, call.service.ColdRate, now) {
			refused[backend] = true
			continue
		}
		if err := f.admit(call, backend, choice, now, attempt); err != nil {
			return nil, 0, err
		}
		return backend, choice.Expected, nil
	}
}

// admit refuses a first attempt whose answer would come too late to be worth the
// place that it takes in a server's queue. It answers sustained overload: with
// queues as long as callers' patience every answer would be late, with short
// ones those that are let in are in time.
func (f *Forwarder) admit(call *Call, backend *registrar.Backend, choice selector.Choice, now time.Time, attempt int) error {
	if attempt > 1 || choice.Wait <= 0 {
		return nil
	}
	left := call.Request.Deadline.Sub(now)
	if call.Route.Priority > 0 && call.Route.LatencyObjective > 0 {
		left = min(left, time.Duration(float64(call.Route.LatencyObjective)*lateness))
	}
	if choice.Expected <= left {
		return nil
	}
	server := backend.Server()
	return refusal(pollencrank.ReasonQueueFull, choice.Wait, now,
		"server %s has %.1f requests for %d slots; %s expected, %s of it waiting, exceed %s", server.ID,
		backend.Load(now), server.Slots, choice.Expected.Round(time.Millisecond), choice.Wait.Round(time.Millisecond), left.Round(time.Millisecond))
}

func initialWork(call *Call) time.Duration {
	if call.Route.LatencyObjective <= 0 {
		return defaultWork
	}
	return call.Route.LatencyObjective / initialWorkShare
}

// order returns the servers of the call's service that may serve it at all, in
// the order in which they hold its object.
func (f *Forwarder) order(call *Call) []*registrar.Backend {
	all := f.config.Registrar.Backends(call.service.Name)
	allowed := make([]*registrar.Backend, 0, len(all))
	candidates := make([]placer.Candidate, 0, len(all))
	for _, b := range all {
		s := b.Server()
		if !call.Route.AllowsRegion(s.Region) {
			continue
		}
		allowed = append(allowed, b)
		candidates = append(candidates, placer.Candidate{ID: s.ID, Region: s.Region, Slots: s.Slots})
	}
	order := placer.Order(candidates, placer.Object{
		Key:     call.objectKey(),
		Region:  f.config.Region,
		Regions: f.config.Regions,
	})
	ordered := make([]*registrar.Backend, len(order))
	for i, index := range order {
		ordered[i] = allowed[index]
	}
	return ordered
}

// options returns the first usable servers of the order and what is known of
// them.
func (f *Forwarder) options(call *Call, order []*registrar.Backend, refused map[*registrar.Backend]bool, now time.Time) ([]*registrar.Backend, []selector.Option) {
	var backends []*registrar.Backend
	var options []selector.Option
	for i, b := range order {
		if refused[b] || !b.IsUsable(now) || slices.Contains(call.tried, b) {
			continue
		}
		server := b.Server()
		health := b.Health(now)
		backends = append(backends, b)
		options = append(options, selector.Option{
			Distance:     f.distance(server),
			Load:         b.Load(now),
			Slots:        server.Slots,
			Slowness:     health.Slowness,
			FailureShare: health.FailureShare,
			KnowsObject:  i == 0 || !call.Route.HasAffinity || f.memory.Knows(server.ID, call.objectKey(), now),
		})
		if len(options) == copies {
			break
		}
	}
	return backends, options
}

func (f *Forwarder) distance(s registrar.Server) time.Duration {
	return f.config.Distances.To(Place{Region: s.Region, FailureDomain: s.FailureDomain})
}
