// Package allocator decides which entry owns which backend server, and moves
// servers from one owner to the next without using any slot twice.
//
// Every instance computes the same owner of a server from the same members, by
// rendezvous hashing among the running members of the server's failure domain.
// An instance that gains a server asks every running member that may have owned
// it to let go, and uses only the slots that their requests have left. Asking
// the previous owner alone is not enough: members that learn of each other at
// different times do not agree on who that was.
//
// # Usage
//
//	a := allocator.New(allocator.Config{Self: "entry-1"})
//	result := a.Update(allocator.Input{Configuration: c, Members: members}, now)
//	executor.Assign(result.Owned)
//	ask(result.Acquisitions)
package allocator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// takeoverTimeout is how long a new owner waits for a member that seems to
	// run but does not answer.
	takeoverTimeout = 3 * time.Second
	// reportLifetime is how long a member's answer counts.
	reportLifetime = 2 * time.Second
	// giftLifetime is how long a server that was let go stays with the
	// instance that asked for it, while this one has not heard of it.
	giftLifetime = 5 * time.Second
	// askInterval is how often members are asked.
	askInterval = 100 * time.Millisecond
)

// Config is the configuration of an Allocator.
type Config struct {
	// Self is the ID of this instance.
	Self string
}

// Input is what the owners are computed from.
type Input struct {
	Configuration *pollencrank.Configuration
	Members       []pollencrank.Instance
}

// Acquisition is a question to a member that may have owned servers.
type Acquisition struct {
	From    pollencrank.Instance
	Servers []string
}

// Result is the outcome of an update.
type Result struct {
	// Owners maps every server to the ID of its owner.
	Owners map[string]string
	// Owned are this instance's servers with the slots it may use now.
	Owned []pollencrank.Server
	// Acquisitions are to be sent now.
	Acquisitions []Acquisition
	// NextUpdate is when to update again without any event, or zero.
	NextUpdate time.Time
}

// answer is what another member said of a server that this instance gained.
type answer struct {
	inFlight int
	answered bool
	// until is when the answer, or the wait for one, no longer counts.
	until time.Time
}

// hold keeps slots of a gained server back for the members that may use them.
type hold map[string]*answer

// current drops what no longer counts.
func (h hold) current(members []pollencrank.Instance, now time.Time) {
	for id, a := range h {
		if !now.Before(a.until) || !canAnswer(members, id) {
			delete(h, id)
		}
	}
}

// open returns how many of a server's slots may be used.
func (h hold) open(slots int) int {
	for _, a := range h {
		if !a.answered {
			return 0
		}
		slots -= a.inFlight
	}
	return max(0, slots)
}

// gift is a server that was let go before the members say so.
type gift struct {
	to    string
	until time.Time
}

// Allocator keeps the owners of backend servers. It is safe for concurrent
// use.
type Allocator struct {
	config Config

	mu     sync.Mutex
	owners map[string]string
	holds  map[string]hold
	gifts  map[string]gift
	slots  map[string]int
}

// New returns an Allocator that knows no owners.
func New(config Config) *Allocator {
	return &Allocator{config: config, holds: map[string]hold{}, gifts: map[string]gift{}, slots: map[string]int{}}
}

// Owners maps each server to the ID of its owner, or to "" if no instance can
// own it. The members of a server's region own it while its failure domain has
// none.
func Owners(c *pollencrank.Configuration, members []pollencrank.Instance) map[string]string {
	byDomain := map[string][]string{}
	byRegion := map[string][]string{}
	for _, m := range members {
		if m.State.CanOwn() {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m.ID)
			byRegion[m.Region] = append(byRegion[m.Region], m.ID)
		}
	}
	owners := make(map[string]string, len(c.Servers))
	for _, s := range c.Servers {
		candidates := byDomain[s.FailureDomain]
		if len(candidates) == 0 {
			candidates = byRegion[c.RegionOf(s.FailureDomain)]
		}
		owners[s.Name] = ""
		if home := pollencrank.RendezvousHome(s.Name, candidates); home >= 0 {
			owners[s.Name] = candidates[home]
		}
	}
	return owners
}

// Update computes the owners anew.
func (a *Allocator) Update(in Input, now time.Time) Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := Result{Owners: Owners(in.Configuration, in.Members)}
	a.applyGifts(&result, in.Members, now)
	previous := a.owners
	a.owners = result.Owners
	for _, s := range in.Configuration.Servers {
		a.slots[s.Name] = s.Slots
		h := a.holds[s.Name]
		h.current(in.Members, now)
		if result.Owners[s.Name] != a.config.Self {
			if len(h) == 0 {
				delete(a.holds, s.Name)
			}
			continue
		}
		if previous[s.Name] != a.config.Self {
			a.gain(in, s, now)
		}
		a.own(&result, in, s, now)
	}
	return result
}

// gain begins to wait for the members that may have owned a server.
func (a *Allocator) gain(in Input, s pollencrank.Server, now time.Time) {
	h := hold{}
	for _, m := range a.candidates(in, s) {
		h[m.ID] = &answer{until: now.Add(takeoverTimeout)}
	}
	a.holds[s.Name] = h
}

// candidates returns the other members that may have owned a server: those of
// its failure domain, or those of the region if it had none.
func (a *Allocator) candidates(in Input, s pollencrank.Server) []pollencrank.Instance {
	region := in.Configuration.RegionOf(s.FailureDomain)
	var near, far []pollencrank.Instance
	for _, m := range in.Members {
		switch {
		case m.ID == a.config.Self || !m.State.CanAnswer():
		case m.FailureDomain == s.FailureDomain:
			near = append(near, m)
		case m.Region == region:
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// applyGifts leaves servers with the instances that they were let go to, while
// those may own them.
func (a *Allocator) applyGifts(result *Result, members []pollencrank.Instance, now time.Time) {
	for server, g := range a.gifts {
		to, known := find(members, g.to)
		isGone := known && !to.State.CanOwn()
		if !now.Before(g.until) || isGone {
			delete(a.gifts, server)
			continue
		}
		result.wakeAt(g.until)
		if result.Owners[server] == a.config.Self {
			result.Owners[server] = g.to
		}
	}
}

func canAnswer(members []pollencrank.Instance, id string) bool {
	_, ok := find(members, id)
	return ok
}

// find returns the member with an ID, if it still answers.
func find(members []pollencrank.Instance, id string) (pollencrank.Instance, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, m.State.CanAnswer()
		}
	}
	return pollencrank.Instance{}, false
}

// own adds an owned server with the slots that may be used.
func (a *Allocator) own(result *Result, in Input, s pollencrank.Server, now time.Time) {
	h := a.holds[s.Name]
	for id, answer := range h {
		m, _ := find(in.Members, id)
		result.ask(m, s.Name)
		result.wakeAt(answer.until)
		result.wakeAt(now.Add(askInterval))
	}
	s.Slots = h.open(s.Slots)
	if in.Configuration.IsDraining(s, now) {
		s.Slots = 0
	}
	result.Owned = append(result.Owned, s)
}

func (r *Result) ask(from pollencrank.Instance, server string) {
	for i := range r.Acquisitions {
		if r.Acquisitions[i].From.ID == from.ID {
			r.Acquisitions[i].Servers = append(r.Acquisitions[i].Servers, server)
			return
		}
	}
	r.Acquisitions = append(r.Acquisitions, Acquisition{From: from, Servers: []string{server}})
}

func (r *Result) wakeAt(at time.Time) {
	if r.NextUpdate.IsZero() || at.Before(r.NextUpdate) {
		r.NextUpdate = at
	}
}

// RecordAcquisition takes the answer of another member.
func (a *Allocator) RecordAcquisition(server, from string, inFlight int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holds[server]
	if h[from] == nil {
		return
	}
	if inFlight == 0 {
		delete(h, from)
		return
	}
	h[from] = &answer{inFlight: inFlight, answered: true, until: now.Add(reportLifetime)}
}

// Release lets go of a server that another instance asks for. It returns false if
// another instance was given it a moment ago and may be using it.
func (a *Allocator) Release(server, to string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, ok := a.gifts[server]; ok && g.to != to && now.Before(g.until) {
		return false
	}
	a.gifts[server] = gift{to: to, until: now.Add(giftLifetime)}
	return true
}

// ReservedSlots returns the slots of a server that still belong to its owners before
// this instance.
func (a *Allocator) ReservedSlots(server string, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holds[server]
	for id, answer := range h {
		if !now.Before(answer.until) {
			delete(h, id)
		}
	}
	return a.slots[server] - h.open(a.slots[server])
}

// Slots returns the configured slots of a server.
func (a *Allocator) Slots(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slots[server]
}

// ServerNames returns the owned servers' names in order, for logs.
func ServerNames(servers []pollencrank.Server) string {
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
