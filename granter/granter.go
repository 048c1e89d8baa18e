// Package granter divides the capacity of links between the entries of a region.
//
// The receiving side decides: the entries of a region send answers to, and take
// request bodies from, callers of other regions, over links with limits. Each
// failure domain of the region has a fixed part of each link, so that domains
// that are cut off from each other cannot use the same capacity. Within a failure
// domain one member is the issuer of a link's allowances; the others hold them.
//
// An allowance is a rate until a moment. The holder counts its lifetime from
// before it asked, the issuer from when it granted, so that it ends at the holder
// first. An issuer that has just become one, or was paused, grants nothing for
// HoldDown: until then allowances of before may be in use. The sum of allowances
// that may be in use, those whose answers were lost included, never exceeds the
// capacity.
//
// # Usage
//
//	issuer := granter.NewIssuer(time.Now())
//	rate := issuer.Grant(granter.Request{Holder: "entry-1", Link: link, Wanted: wanted}, capacity, time.Now())
//
//	asked := time.Now()
//	holder.SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: asked.Add(granter.Lifetime)})
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
	// maxPause is the longest time between two looks at the clock after which
	// an issuer trusts what it knows. Within it every member learns who the
	// issuer is.
	maxPause = Lifetime / 2
	// HoldDown is how long a new issuer grants nothing: the one before it may
	// have granted until maxPause after its end.
	HoldDown = Lifetime + maxPause
)

// Link is one direction between two regions.
type Link struct {
	From string
	To   string
}

// Allowance is a rate that may be used until Deadline.
type Allowance struct {
	BytesPerSecond float64
	Deadline       time.Time
}

// Request asks for an allowance in place of the one held.
type Request struct {
	Holder string
	Link   Link
	// Wanted is in bytes a second.
	Wanted float64
}

// grant is what a holder may be using.
type grant struct {
	wanted float64
	// amounts are rates with the moments until which they may be in use. An
	// answer may be lost, so that the holder still uses an earlier one.
	amounts []Allowance
}

// inUse returns the largest rate that may be in use.
func (g *grant) inUse(now time.Time) float64 {
	g.amounts = slices.DeleteFunc(g.amounts, func(a Allowance) bool { return !now.Before(a.Deadline) })
	most := 0.0
	for _, a := range g.amounts {
		most = max(most, a.BytesPerSecond)
	}
	return most
}

// Issuer grants allowances. It is safe for concurrent use.
type Issuer struct {
	mu       sync.Mutex
	links    map[Link]map[string]*grant
	silent   time.Time
	lastLook time.Time
}

// NewIssuer returns an Issuer that grants nothing for HoldDown.
func NewIssuer(now time.Time) *Issuer {
	i := &Issuer{}
	i.reset(now)
	return i
}

func (i *Issuer) reset(now time.Time) {
	i.links = map[Link]map[string]*grant{}
	i.silent = now.Add(HoldDown)
	i.lastLook = now
}

// Reset forgets everything, because others may have issued meanwhile.
func (i *Issuer) Reset(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reset(now)
}

// Tick is to be called more often than half of Lifetime. An issuer that finds
// that it was paused starts anew.
func (i *Issuer) Tick(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.look(now)
}

func (i *Issuer) look(now time.Time) {
	if now.Sub(i.lastLook) > maxPause {
		i.reset(now)
	}
	i.lastLook = now
}

// Grant returns the rate that a holder may use for a Lifetime. Holders who want
// less than an equal part get what they want; the others share the rest equally,
// as the allowances of before run out.
func (i *Issuer) Grant(request Request, capacity float64, now time.Time) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.look(now)
	if now.Before(i.silent) {
		return 0
	}
	holders := i.links[request.Link]
	if holders == nil {
		holders = map[string]*grant{}
		i.links[request.Link] = holders
	}
	own := holders[request.Holder]
	if own == nil {
		own = &grant{}
		holders[request.Holder] = own
	}
	own.wanted = max(0, request.Wanted)
	others := 0.0
	for name, g := range holders {
		if name == request.Holder {
			continue
		}
		used := g.inUse(now)
		if len(g.amounts) == 0 {
			delete(holders, name)
			continue
		}
		others += used
	}
	rate := max(0, min(fairShare(holders, request.Holder, capacity), capacity-others))
	own.inUse(now)
	own.amounts = append(own.amounts, Allowance{BytesPerSecond: rate, Deadline: now.Add(Lifetime)})
	return rate
}

// fairShare returns a holder's part when small wants are met in full and the
// others share the rest equally.
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
	left := capacity
	for n, name := range names {
		part := min(holders[name].wanted, left/float64(len(names)-n))
		if name == holder {
			return part
		}
		left -= part
	}
	return 0
}

// Holder keeps the allowances that this instance was granted.
type Holder struct {
	mu         sync.Mutex
	allowances map[Link]Allowance
}

// NewHolder returns a Holder without allowances.
func NewHolder() *Holder { return &Holder{allowances: map[Link]Allowance{}} }

// SetAllowance puts an allowance in place of the one held.
func (h *Holder) SetAllowance(link Link, allowance Allowance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allowances[link] = allowance
}

// Rate returns the rate that may be used now. It is to be asked right before
// each use.
func (h *Holder) Rate(link Link, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.allowances[link]
	if !now.Before(a.Deadline) {
		return 0
	}
	return a.BytesPerSecond
}
