package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/selector"
)

// candidateCount is the number of usable servers of an object's order that are compared
// for a request.
const candidateCount = 2

// maxLatencyFactor is the multiple of the latency objective up to which the expected
// time of a request may reach, unless the request is of the most urgent priority.
const maxLatencyFactor = 1.5

// choose returns the server for the next attempt of a call and what the choice is based
// on. The error says why no server is available.
func (f *Forwarder) choose(ctx context.Context, call *Call, now time.Time, attempt int) (decision, error) {
	serviceTime := f.serviceTimes.Estimate(call.requestClass(), initialServiceTime(call))
	var skipped []*registrar.Backend
	var blocked absence
	for {
		candidates := f.findCandidates(call, skipped, now)
		blocked.merge(candidates.blocked)
		choice, ok := selector.Choose(candidates.options[:candidates.count], serviceTime)
		if !ok && !blocked.until.IsZero() {
			return decision{}, blocked.refuse(call, now)
		}
		if !ok {
			return decision{}, refusal(pollencrank.ReasonNoServer, serviceTime, now, "no server of %s may get the request", call.service.Name)
		}
		backend := candidates.backends[choice.Index]
		if f.isColdLimited(call, backend, now) {
			skipped = append(skipped, backend)
			continue
		}
		chosen := decision{backend: backend, usual: serviceTime, option: candidates.options[choice.Index], choice: choice}
		if err := f.admit(call, &candidates, chosen, now, attempt); err != nil {
			return decision{}, err
		}
		if !f.takeToken(ctx, call, backend) {
			blocked.add(pollencrank.ReasonServerLimit, f.nextTokenAt(call, backend, false, now))
			skipped = append(skipped, backend)
			continue
		}
		return chosen, nil
	}
}

// admit refuses a first attempt if its answer is expected too late to justify its place
// in a server's queue. The check guards against sustained overload: if queues grew as
// long as callers wait, every answer would be late; with short queues the requests that
// are admitted are answered in time.
func (f *Forwarder) admit(call *Call, candidates *candidateSet, chosen decision, now time.Time, attempt int) error {
	if attempt == 1 && call.roomRequest != nil {
		return f.admitToRoom(call, candidates, chosen, now)
	}
	backend, choice := chosen.backend, chosen.choice
	if attempt > 1 || choice.Wait <= 0 {
		return nil
	}
	maxExpected := call.Request.Deadline.Sub(now)
	if call.Priority() > 0 && call.Route.LatencyObjective > 0 {
		maxExpected = min(maxExpected, time.Duration(float64(call.Route.LatencyObjective)*maxLatencyFactor))
	}
	if choice.Expected <= maxExpected {
		return nil
	}
	server := backend.Server()
	return refusal(pollencrank.ReasonQueueFull, choice.Wait, now,
		"server %s has %.1f requests for %d slots; %s expected, %s of it waiting, exceed %s", server.ID,
		backend.Load(now), server.Slots, choice.Expected.Round(time.Millisecond), choice.Wait.Round(time.Millisecond), maxExpected.Round(time.Millisecond))
}

// initialServiceTime returns the estimated service time for a call until answers have been
// observed.
func initialServiceTime(call *Call) time.Duration {
	if call.Route.LatencyObjective <= 0 {
		return defaultServiceTime
	}
	return call.Route.LatencyObjective / initialServiceTimeDivisor
}

// candidateSet holds the first usable servers of an object's order and the data by
// which one of them is selected.
type candidateSet struct {
	backends [candidateCount]*registrar.Backend
	options  [candidateCount]selector.Option
	count    int
	// blocked says when the first of the servers may be sent a request that are left out
	// because of what they say of themselves.
	blocked absence
}

// findCandidates returns usable servers from the first ones of the object's order, and
// from the complete order if too few of the first ones are usable.
func (f *Forwarder) findCandidates(call *Call, skipped []*registrar.Backend, now time.Time) candidateSet {
	p := f.placements.of(call)
	var buffer [placer.CachedServers]int
	var order []int
	if call.isAboutObject() {
		order = p.table.First(call.key, buffer[:0])
	} else {
		order = p.table.Spread(call.key, buffer[:0])
	}
	var found candidateSet
	f.collect(call, p, order, skipped, now, &found)
	if found.count < candidateCount && len(p.backends) > placer.CachedServers {
		found = candidateSet{blocked: found.blocked}
		f.collect(call, p, p.table.All(call.key), skipped, now, &found)
	}
	return found
}

// mayRun reports whether a server may run a call beside the suspects that it runs. A
// suspect never runs beside another one.
func (f *Forwarder) mayRun(call *Call, b *registrar.Backend) bool {
	return call.suspect == nil || !f.suspectRuns.hasOther(b, *call.suspect)
}

// collect adds usable servers of an order to found until candidateCount is reached.
func (f *Forwarder) collect(call *Call, p *placement, order []int, skipped []*registrar.Backend, now time.Time, found *candidateSet) {
	for i, index := range order {
		b := p.backends[index]
		if slices.Contains(skipped, b) || slices.Contains(call.triedBackends, b) || !f.mayRun(call, b) {
			continue
		}
		if !b.IsUsable(now) {
			call.sawUnreachable = call.sawUnreachable || b.IsSuspended()
			found.blocked.addPause(b, now)
			continue
		}
		if nextAt := f.nextTokenAt(call, b, i < candidateCount, now); nextAt.After(now) {
			found.blocked.add(pollencrank.ReasonServerLimit, nextAt)
			continue
		}
		health := b.Health(now)
		found.backends[found.count] = b
		found.options[found.count] = selector.Option{
			Distance:     f.config.Distances.To(p.locations[index]),
			Load:         b.Load(now),
			Slots:        p.candidates[index].Slots,
			Slowness:     health.Slowness,
			FailureShare: health.FailureShare,
			ServedObject: f.likelyServedObject(call, b, i == 0, now),
		}
		found.count++
		if found.count == candidateCount {
			return
		}
	}
}

// likelyServedObject reports whether a server is assumed to have served the call's object
// recently. If the route has no affinity, this holds for every server. Otherwise it holds
// for the first server of the order too, because every instance sends the requests for the
// object to that server.
func (f *Forwarder) likelyServedObject(call *Call, b *registrar.Backend, isFirst bool, now time.Time) bool {
	if !call.Route.HasAffinity {
		return true
	}
	return call.isAboutObject() && (isFirst || f.objectHistory.ServedRecently(b.ID(), call.key, now))
}

func (f *Forwarder) distance(s registrar.Server) time.Duration {
	return f.config.Distances.To(Location{Region: s.Region, FailureDomain: s.FailureDomain})
}
