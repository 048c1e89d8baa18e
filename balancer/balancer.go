// Package balancer chooses which entry of the region runs a request: this one,
// or another that owns servers of the workload.
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
	// hopPenalty is how much busier, as a share of its slots, this entry may
	// be than another before a request is passed on.
	hopPenalty = 0.25
	// reportHalfLife is how long a report counts in full. Older ones count
	// half, because the work they saw has probably ended.
	reportHalfLife = time.Second
	// samples is the number of entries compared for a request.
	samples = 2
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

// report is what an entry said of its load.
type report struct {
	at       time.Time
	slots    int64
	queued   int64
	inFlight int64
}

// state is what is known first hand of an entry and workload.
type state struct {
	inFlight atomic.Int64
	report   atomic.Pointer[report]
}

type candidate struct {
	owner Owner
	state *state
}

type stateKey struct{ instance, workload string }

// Balancer chooses entries.
type Balancer struct {
	config     Config
	candidates atomic.Pointer[map[string][]candidate]

	mu     sync.Mutex
	states map[stateKey]*state
}

// Choice is the entry to use. Peer is nil for this instance.
type Choice struct {
	Peer  *pollencrank.Instance
	state *state
}

// Done notes that the request passed to the peer has ended.
func (c Choice) Done() {
	if c.state != nil {
		c.state.inFlight.Add(-1)
	}
}

// New returns a Balancer without owners.
func New(config Config) *Balancer {
	b := &Balancer{config: config, states: map[stateKey]*state{}}
	b.candidates.Store(&map[string][]candidate{})
	return b
}

// SetOwners replaces the entries to choose from. Owners with no slots and this
// instance itself are left out.
func (b *Balancer) SetOwners(owners []Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string][]candidate{}
	states := map[stateKey]*state{}
	for _, o := range owners {
		if o.Instance.ID == b.config.Self || o.Slots == 0 {
			continue
		}
		key := stateKey{o.Instance.ID, o.Workload}
		s := b.states[key]
		if s == nil {
			s = &state{}
		}
		states[key] = s
		next[o.Workload] = append(next[o.Workload], candidate{o, s})
	}
	b.states = states
	b.candidates.Store(&next)
}

// Report takes the load that an entry reported.
func (b *Balancer) Report(instance string, load *peerpb.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range load.GetWorkloads() {
		s := b.states[stateKey{instance, w.Workload}]
		if s == nil {
			continue
		}
		s.report.Store(&report{
			at:       now,
			slots:    int64(w.Slots),
			queued:   int64(w.Busy) + int64(w.Waiting),
			inFlight: s.inFlight.Load(),
		})
	}
}

// busyShare estimates how much of a candidate's slots is in use.
func (c candidate) busyShare(now time.Time) float64 {
	inFlight := c.state.inFlight.Load()
	slots := int64(c.owner.Slots)
	queued := inFlight
	if r := c.state.report.Load(); r != nil {
		reported := r.queued
		if now.Sub(r.at) > reportHalfLife {
			reported /= 2
		}
		queued = max(inFlight, reported+inFlight-r.inFlight)
		slots = r.slots
	}
	if slots == 0 {
		const noSlots = 1e6
		return noSlots
	}
	return float64(queued) / float64(slots)
}

// Choose returns the entry to run a request of a workload, leaving out the
// instances that were tried. It returns false if none is left.
func (b *Balancer) Choose(workload string, tried []string) (Choice, bool) {
	local := b.config.Local(workload)
	mayLocal := local.Slots > 0 && !slices.Contains(tried, b.config.Self)
	if mayLocal && local.Busy+local.Waiting < local.Slots {
		return Choice{}, true
	}
	now := time.Now()
	best, ok := b.sample(workload, tried, now)
	if !ok {
		return Choice{}, mayLocal
	}
	if mayLocal {
		localShare := float64(local.Busy+local.Waiting) / float64(local.Slots)
		if localShare <= best.busyShare(now)+hopPenalty {
			return Choice{}, true
		}
	}
	best.state.inFlight.Add(1)
	return Choice{Peer: &best.owner.Instance, state: best.state}, true
}

// HasPeers reports whether other entries have servers of a workload.
func (b *Balancer) HasPeers(workload string) bool {
	return len((*b.candidates.Load())[workload]) > 0
}

// sample returns the less busy of a few candidates chosen uniformly at random.
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
	for range samples - 1 {
		other := candidates[rand.IntN(len(candidates))]
		if other.busyShare(now) < best.busyShare(now) {
			best = other
		}
	}
	return best, true
}
