// Package granter divides the capacity of links between the entries of a region.
//
// The region that serves the requests controls the use of the links: its entries
// send answers to, and receive request bodies from, callers of other regions over
// links with limits. Each failure domain of the region has a fixed part of each
// link, so that domains that are partitioned from each other cannot use the same
// capacity. Within a failure domain one member is the issuer of the allowances for
// a link; the other members are holders.
//
// An allowance is a rate with a deadline. The holder counts its lifetime from the
// time before the request, the issuer from the time of the grant, so that the
// allowance expires at the holder first. An issuer that is new or was paused grants
// nothing for HoldDown, because earlier allowances may be in use until then. The sum
// of the allowances that may be in use, including those whose answers were lost,
// never exceeds the capacity.
//
// # Usage
//
//	issuer := granter.NewIssuer(time.Now())
//	rate := issuer.Grant(granter.Request{Holder: "entry-1", Link: link, Wanted: wanted}, capacity, time.Now())
//
//	requestedAt := time.Now()
//	holder.SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: requestedAt.Add(granter.Lifetime)})
package granter

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Lifetime is how long an allowance is valid.
	Lifetime = 4 * time.Second
	// maxPause is the longest time between two ticks after which an issuer still
	// relies on its state. Every member learns within this time which member is
	// the issuer.
	maxPause = Lifetime / 2
	// HoldDown is how long a new issuer grants nothing: the previous issuer may
	// have granted allowances for up to maxPause after it was replaced.
	HoldDown = Lifetime + maxPause
)

// Link is one direction of the link between two regions.
type Link struct {
	From string
	To   string
}

// Allowance is a rate that may be used until Deadline.
type Allowance struct {
	BytesPerSecond float64
	Deadline       time.Time
}

// Request is a holder's request for an allowance that replaces its current one.
type Request struct {
	Holder string
	Link   Link
	// Wanted is the requested rate in bytes a second.
	Wanted float64
}

// grant holds the state of one holder at the issuer.
type grant struct {
	wanted float64
	// allowances are all that the holder may be using. If an answer was lost, the
	// holder still uses an earlier allowance.
	allowances []Allowance
}

// largestInUse returns the largest rate that the holder may be using. It removes
// expired allowances.
func (g *grant) largestInUse(now time.Time) float64 {
	g.allowances = slices.DeleteFunc(g.allowances, func(a Allowance) bool { return !now.Before(a.Deadline) })
	largest := 0.0
	for _, a := range g.allowances {
		largest = max(largest, a.BytesPerSecond)
	}
	return largest
}

// Issuer grants allowances. It is safe for concurrent use.
type Issuer struct {
	mu            sync.Mutex
	links         map[Link]map[string]*grant
	heldDownUntil time.Time
	lastTick      time.Time
}

// NewIssuer returns an Issuer that grants nothing for HoldDown.
func NewIssuer(now time.Time) *Issuer {
	i := &Issuer{}
	i.reset(now)
	return i
}

func (i *Issuer) reset(now time.Time) {
	i.links = map[Link]map[string]*grant{}
	i.heldDownUntil = now.Add(HoldDown)
	i.lastTick = now
}

// Reset discards all grants and starts the hold-down, because other members may
// have been the issuer meanwhile.
func (i *Issuer) Reset(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reset(now)
}

// Tick checks whether the issuer was paused, and resets it if so. It must be called
// at intervals shorter than half of Lifetime.
func (i *Issuer) Tick(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tick(now)
}

func (i *Issuer) tick(now time.Time) {
	if now.Sub(i.lastTick) > maxPause {
		i.reset(now)
	}
	i.lastTick = now
}

// Grant returns the rate that a holder may use for a Lifetime. Holders that request
// less than an equal share get the requested rate; the others share the rest
// equally, as soon as earlier allowances have expired.
func (i *Issuer) Grant(request Request, capacity float64, now time.Time) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tick(now)
	if now.Before(i.heldDownUntil) {
		return 0
	}
	holders := i.links[request.Link]
	if holders == nil {
		holders = map[string]*grant{}
		i.links[request.Link] = holders
	}
	requester := holders[request.Holder]
	if requester == nil {
		requester = &grant{}
		holders[request.Holder] = requester
	}
	requester.wanted = max(0, request.Wanted)
	others := 0.0
	for name, g := range holders {
		if name == request.Holder {
			continue
		}
		used := g.largestInUse(now)
		if len(g.allowances) == 0 {
			delete(holders, name)
			continue
		}
		others += used
	}
	rate := max(0, min(fairShare(holders, request.Holder, capacity), capacity-others))
	requester.largestInUse(now)
	requester.allowances = append(requester.allowances, Allowance{BytesPerSecond: rate, Deadline: now.Add(Lifetime)})
	return rate
}

// fairShare returns a holder's max-min fair share of the capacity: small requests
// are granted in full and the other holders share the rest equally.
func fairShare(holders map[string]*grant, holder string, capacity float64) float64 {
	names := slices.Sorted(maps.Keys(holders))
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case holders[a].wanted < holders[b].wanted:
			return -1
		case holders[a].wanted > holders[b].wanted:
			return 1
		default:
			return 0
		}
	})
	remaining := capacity
	for n, name := range names {
		share := min(holders[name].wanted, remaining/float64(len(names)-n))
		if name == holder {
			return share
		}
		remaining -= share
	}
	return 0
}

// Holder stores the allowances that were granted to this instance. It is safe for
// concurrent use.
type Holder struct {
	mu         sync.Mutex
	allowances map[Link]Allowance
}

// NewHolder returns a Holder without allowances.
func NewHolder() *Holder { return &Holder{allowances: map[Link]Allowance{}} }

// SetAllowance replaces the allowance for a link.
func (h *Holder) SetAllowance(link Link, allowance Allowance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allowances[link] = allowance
}

// Rate returns the rate that may be used now, or 0 if the allowance has expired. It
// must be called right before each use.
func (h *Holder) Rate(link Link, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.allowances[link]
	if !now.Before(a.Deadline) {
		return 0
	}
	return a.BytesPerSecond
}
