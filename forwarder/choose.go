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
	work := f.work.Of(call.work(), initialWork(call))
	var refused []*registrar.Backend
	for {
		options := f.options(call, refused, now)
		choice, ok := selector.Choose(options.known[:options.count], work)
		if !ok {
			return nil, 0, refusal(pollencrank.ReasonNoServer, work, now, "no server of %s may get the request", call.service.Name)
		}
		backend := options.backends[choice.Index]
		if backend.IsCold(now) && !f.config.Warmer.Take(backend.ID(), call.service.ColdRate, now) {
			refused = append(refused, backend)
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

// options are the first usable servers of an object's order and what is known of
// them.
type options struct {
	backends [copies]*registrar.Backend
	known    [copies]selector.Option
	count    int
}

// options looks among the servers that hold the call's object, and among all if
// too few of those are usable.
func (f *Forwarder) options(call *Call, refused []*registrar.Backend, now time.Time) options {
	p := f.placements.of(call)
	var buffer [placer.Remembered]int
	var order []int
	if call.isAboutObject() {
		order = p.table.First(call.key, buffer[:0])
	} else {
		order = p.table.Spread(call.key, buffer[:0])
	}
	var found options
	f.collect(call, p, order, refused, now, &found)
	if found.count < copies && len(p.backends) > placer.Remembered {
		found = options{}
		f.collect(call, p, p.table.All(call.key), refused, now, &found)
	}
	return found
}

// collect adds the usable servers of an order until there are enough.
func (f *Forwarder) collect(call *Call, p *placement, order []int, refused []*registrar.Backend, now time.Time, found *options) {
	for i, index := range order {
		b := p.backends[index]
		if slices.Contains(refused, b) || slices.Contains(call.tried, b) || !b.IsUsable(now) {
			continue
		}
		health := b.Health(now)
		found.backends[found.count] = b
		found.known[found.count] = selector.Option{
			Distance:     f.config.Distances.To(p.places[index]),
			Load:         b.Load(now),
			Slots:        p.candidates[index].Slots,
			Slowness:     health.Slowness,
			FailureShare: health.FailureShare,
			KnowsObject:  f.knows(call, b, i == 0, now),
		}
		found.count++
		if found.count == copies {
			return
		}
	}
}

// knows reports whether a server is believed to know the call's object. The first
// one of the order gets the object from every instance.
func (f *Forwarder) knows(call *Call, b *registrar.Backend, isFirst bool, now time.Time) bool {
	if !call.Route.HasAffinity {
		return true
	}
	return call.isAboutObject() && (isFirst || f.memory.Knows(b.ID(), call.key, now))
}

func (f *Forwarder) distance(s registrar.Server) time.Duration {
	return f.config.Distances.To(Location{Region: s.Region, FailureDomain: s.FailureDomain})
}
