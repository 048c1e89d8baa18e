// Package balancer chooses the entry of the region that runs a request: this
// instance, or another entry that owns servers of the workload.
//
// # Usage
//
//	b := balancer.New(balancer.Config{Self: "entry-1", Local: executor.Load})
//	b.SetOwners(owners)
//	choice, ok := b.Choose("catalogue", nil)
//	if ok && choice.Peer != nil {
//		defer choice.Done()
//	}
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/scheduler"
)

const (
	// hopPenalty is how much busier than another entry, as a share of its
	// slots, this instance may be before it forwards a request.
	hopPenalty = 0.25
	// fullWeightAge is the age up to which a load report has full weight. Older
	// reports have half of it, because the requests that they counted have
	// probably ended.
	fullWeightAge = time.Second
	// sampleSize is the number of random entries compared for a request.
	sampleSize = 2
)

// Owner is an entry of the region that owns servers of a workload.
type Owner struct {
	Instance pollencrank.Instance
	Workload string
	Slots    int
}

// Config is the configuration of a Balancer.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Local returns this instance's own load.
	Local func(workload string) scheduler.Load
}

// loadReport is the load of a workload that an entry reported.
type loadReport struct {
	receivedAt time.Time
	slots      int64
	// queued is the number of requests that run or wait at the entry.
	queued int64
	// inFlight is the number of requests that this instance had in flight at
	// the entry when the report arrived.
	inFlight int64
}

// peerState is the load of a workload at another entry: the requests that this
// instance has in flight there, and the last report.
type peerState struct {
	inFlight atomic.Int64
	report   atomic.Pointer[loadReport]
}

type candidate struct {
	owner Owner
	state *peerState
}

type stateKey struct{ instance, workload string }

// Balancer chooses entries.
type Balancer struct {
	config     Config
	candidates atomic.Pointer[map[string][]candidate]

	mu     sync.Mutex
	states map[stateKey]*peerState
}

// Choice is the entry that runs a request. Peer is nil for this instance.
type Choice struct {
	Peer  *pollencrank.Instance
	state *peerState
}

// Done records that the request forwarded to the peer has ended.
func (c Choice) Done() {
	if c.state != nil {
		c.state.inFlight.Add(-1)
	}
}

// New returns a Balancer without owners.
func New(config Config) *Balancer {
	b := &Balancer{config: config, states: map[stateKey]*peerState{}}
	b.candidates.Store(&map[string][]candidate{})
	return b
}

// SetOwners replaces the entries to choose from. It leaves out this instance and
// owners without slots.
func (b *Balancer) SetOwners(owners []Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string][]candidate{}
	states := map[stateKey]*peerState{}
	for _, o := range owners {
		if o.Instance.ID == b.config.Self || o.Slots == 0 {
			continue
		}
		key := stateKey{o.Instance.ID, o.Workload}
		s := b.states[key]
		if s == nil {
			s = &peerState{}
		}
		states[key] = s
		next[o.Workload] = append(next[o.Workload], candidate{o, s})
	}
	b.states = states
	b.candidates.Store(&next)
}

// Report records the load that another entry reported.
func (b *Balancer) Report(instance string, load *peerpb.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range load.GetWorkloads() {
		s := b.states[stateKey{instance, w.Workload}]
		if s == nil {
			continue
		}
		s.report.Store(&loadReport{
			receivedAt: now,
			slots:      int64(w.Slots),
			queued:     int64(w.Busy) + int64(w.Waiting),
			inFlight:   s.inFlight.Load(),
		})
	}
}

// busyShare estimates the share of a candidate's slots that is in use. It exceeds
// 1 if requests queue.
func (c candidate) busyShare(now time.Time) float64 {
	inFlight := c.state.inFlight.Load()
	slots := int64(c.owner.Slots)
	queued := inFlight
	if r := c.state.report.Load(); r != nil {
		reported := r.queued
		if now.Sub(r.receivedAt) > fullWeightAge {
			reported /= 2
		}
		queued = max(inFlight, reported+inFlight-r.inFlight)
		slots = r.slots
	}
	if slots == 0 {
		const noSlotsShare = 1e6
		return noSlotsShare
	}
	return float64(queued) / float64(slots)
}

// Choose returns the entry that runs a request of a workload, leaving out the
// instances that have been tried. It returns false if no entry is left.
func (b *Balancer) Choose(workload string, tried []string) (Choice, bool) {
	local := b.config.Local(workload)
	localUsable := local.Slots > 0 && !slices.Contains(tried, b.config.Self)
	if localUsable && local.Busy+local.Waiting < local.Slots {
		return Choice{}, true
	}
	now := time.Now()
	best, ok := b.sample(workload, tried, now)
	if !ok {
		return Choice{}, localUsable
	}
	if localUsable {
		localShare := float64(local.Busy+local.Waiting) / float64(local.Slots)
		if localShare <= best.busyShare(now)+hopPenalty {
			return Choice{}, true
		}
	}
	best.state.inFlight.Add(1)
	return Choice{Peer: &best.owner.Instance, state: best.state}, true
}

// HasPeers reports whether other entries own servers of a workload.
func (b *Balancer) HasPeers(workload string) bool {
	return len((*b.candidates.Load())[workload]) > 0
}

// sample returns the least busy of sampleSize candidates, drawn uniformly at
// random with replacement.
func (b *Balancer) sample(workload string, tried []string, now time.Time) (candidate, bool) {
	candidates := (*b.candidates.Load())[workload]
	if len(tried) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool {
			return slices.Contains(tried, c.owner.Instance.ID)
		})
	}
	if len(candidates) == 0 {
		return candidate{}, false
	}
	best := candidates[rand.IntN(len(candidates))]
	for range sampleSize - 1 {
		other := candidates[rand.IntN(len(candidates))]
		if other.busyShare(now) < best.busyShare(now) {
			best = other
		}
	}
	return best, true
}
