// Package allocator decides which entry owns which backend server, and moves
// servers from one owner to the next without using any slot twice.
//
// Every instance computes the same owner of a server from the same members, by
// rendezvous hashing among the running members of the server's failure domain.
// An instance that gains a server asks every running member that may have owned
// it to release it, and uses only the slots that those members' requests leave
// free. Asking the previous owner alone is not enough: members that learn of each
// other at different times do not agree on which member that was.
//
// # Usage
//
//	a := allocator.New(allocator.Config{Self: "entry-1"})
//	result := a.Update(allocator.Input{Configuration: c, Members: members}, now)
//	executor.Assign(result.Owned)
//	send(result.Acquisitions)
package allocator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// takeoverTimeout is how long a new owner waits for a member that seems
	// to be running but does not answer.
	takeoverTimeout = 3 * time.Second
	// reportLifetime is how long a member's answer is valid.
	reportLifetime = 2 * time.Second
	// releaseLifetime is how long a released server stays assigned to the
	// instance that asked for it, while the list of members here does not
	// make that instance its owner.
	releaseLifetime = 5 * time.Second
	// acquisitionInterval is the time between acquisitions of a server that is
	// not fully released.
	acquisitionInterval = 100 * time.Millisecond
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

// Acquisition is a request to a member to release servers that it may have
// owned.
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
	// Acquisitions are the requests to send now.
	Acquisitions []Acquisition
	// NextUpdate is when to update again if nothing changes before, or zero.
	NextUpdate time.Time
}

// slotReport is what another member has reported of its requests in flight on a
// server that this instance gained.
type slotReport struct {
	inFlight int
	answered bool
	// until is when the report, or the wait for one, expires.
	until time.Time
}

// handOver holds the reports, by ID, of the members that may still use slots of a
// gained server. Those slots are reserved for them.
type handOver map[string]*slotReport

// removeExpired removes the reports that have expired and those of members that
// no longer answer.
func (h handOver) removeExpired(members []pollencrank.Instance, now time.Time) {
	for id, report := range h {
		if !now.Before(report.until) || !canAnswer(members, id) {
			delete(h, id)
		}
	}
}

// usableSlots returns how many of a server's slots this instance may use: none
// before every member has answered.
func (h handOver) usableSlots(slots int) int {
	for _, report := range h {
		if !report.answered {
			return 0
		}
		slots -= report.inFlight
	}
	return max(0, slots)
}

// release records the instance that a server was released to, which the list of
// members here may not have yet.
type release struct {
	to    string
	until time.Time
}

// Allocator keeps the owners of backend servers. It is safe for concurrent
// use.
type Allocator struct {
	config Config

	mu        sync.Mutex
	owners    map[string]string
	handOvers map[string]handOver
	releases  map[string]release
	slots     map[string]int
}

// New returns an Allocator without owners.
func New(config Config) *Allocator {
	return &Allocator{config: config, handOvers: map[string]handOver{}, releases: map[string]release{}, slots: map[string]int{}}
}

// Owners maps each server to the ID of its owner, or to "" if no instance can
// own it. While a server's failure domain has no members that can own it, the
// candidates are those of its region.
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

// Update recomputes the owners.
func (a *Allocator) Update(in Input, now time.Time) Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := Result{Owners: Owners(in.Configuration, in.Members)}
	a.applyReleases(&result, in.Members, now)
	previous := a.owners
	a.owners = result.Owners
	for _, s := range in.Configuration.Servers {
		a.slots[s.Name] = s.Slots
		h := a.handOvers[s.Name]
		h.removeExpired(in.Members, now)
		if result.Owners[s.Name] != a.config.Self {
			if len(h) == 0 {
				delete(a.handOvers, s.Name)
			}
			continue
		}
		if previous[s.Name] != a.config.Self {
			a.startHandOver(in, s, now)
		}
		a.addOwned(&result, in, s, now)
	}
	return result
}

// startHandOver begins to wait for the members that may have owned a server.
func (a *Allocator) startHandOver(in Input, s pollencrank.Server, now time.Time) {
	h := handOver{}
	for _, m := range a.possibleOwners(in, s) {
		h[m.ID] = &slotReport{until: now.Add(takeoverTimeout)}
	}
	a.handOvers[s.Name] = h
}

// possibleOwners returns the other members that may have owned a server: those of
// its failure domain, or those of its region if the failure domain has none.
func (a *Allocator) possibleOwners(in Input, s pollencrank.Server) []pollencrank.Instance {
	region := in.Configuration.RegionOf(s.FailureDomain)
	var inDomain, inRegion []pollencrank.Instance
	for _, m := range in.Members {
		switch {
		case m.ID == a.config.Self || !m.State.CanAnswer():
		case m.FailureDomain == s.FailureDomain:
			inDomain = append(inDomain, m)
		case m.Region == region:
			inRegion = append(inRegion, m)
		}
	}
	if len(inDomain) > 0 {
		return inDomain
	}
	return inRegion
}

// applyReleases assigns released servers to the instances that they were released
// to, while those can own them.
func (a *Allocator) applyReleases(result *Result, members []pollencrank.Instance, now time.Time) {
	for server, r := range a.releases {
		recipient, found := findMember(members, r.to)
		cannotOwn := found && !recipient.State.CanOwn()
		if !now.Before(r.until) || cannotOwn {
			delete(a.releases, server)
			continue
		}
		result.scheduleUpdate(r.until)
		if result.Owners[server] == a.config.Self {
			result.Owners[server] = r.to
		}
	}
}

func canAnswer(members []pollencrank.Instance, id string) bool {
	_, ok := findMember(members, id)
	return ok
}

// findMember returns the member with an ID and whether that member can still
// answer.
func findMember(members []pollencrank.Instance, id string) (pollencrank.Instance, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, m.State.CanAnswer()
		}
	}
	return pollencrank.Instance{}, false
}

// addOwned adds an owned server to the result, with the slots that may be used,
// and the acquisitions that are still needed for the server.
func (a *Allocator) addOwned(result *Result, in Input, s pollencrank.Server, now time.Time) {
	h := a.handOvers[s.Name]
	for id, report := range h {
		m, _ := findMember(in.Members, id)
		result.addAcquisition(m, s.Name)
		result.scheduleUpdate(report.until)
		result.scheduleUpdate(now.Add(acquisitionInterval))
	}
	s.Slots = h.usableSlots(s.Slots)
	if in.Configuration.IsDraining(s, now) {
		s.Slots = 0
	}
	result.Owned = append(result.Owned, s)
}

func (r *Result) addAcquisition(from pollencrank.Instance, server string) {
	for i := range r.Acquisitions {
		if r.Acquisitions[i].From.ID == from.ID {
			r.Acquisitions[i].Servers = append(r.Acquisitions[i].Servers, server)
			return
		}
	}
	r.Acquisitions = append(r.Acquisitions, Acquisition{From: from, Servers: []string{server}})
}

func (r *Result) scheduleUpdate(at time.Time) {
	if r.NextUpdate.IsZero() || at.Before(r.NextUpdate) {
		r.NextUpdate = at
	}
}

// RecordAcquisition records the answer of another member to an acquisition: its
// requests in flight on the server.
func (a *Allocator) RecordAcquisition(server, from string, inFlight int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.handOvers[server]
	if h[from] == nil {
		return
	}
	if inFlight == 0 {
		delete(h, from)
		return
	}
	h[from] = &slotReport{inFlight: inFlight, answered: true, until: now.Add(reportLifetime)}
}

// Release gives a server up to another instance that asks for it. It returns false
// if the server was released to a third instance less than releaseLifetime ago,
// which may be using it.
func (a *Allocator) Release(server, to string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.releases[server]; ok && r.to != to && now.Before(r.until) {
		return false
	}
	a.releases[server] = release{to: to, until: now.Add(releaseLifetime)}
	return true
}

// ReservedSlots returns the slots of a server that its previous owners may still
// use.
func (a *Allocator) ReservedSlots(server string, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.handOvers[server]
	for id, report := range h {
		if !now.Before(report.until) {
			delete(h, id)
		}
	}
	return a.slots[server] - h.usableSlots(a.slots[server])
}

// Slots returns the configured slots of a server.
func (a *Allocator) Slots(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slots[server]
}

// ServerNames returns the names of servers in alphabetical order, separated by
// commas, for logs.
func ServerNames(servers []pollencrank.Server) string {
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
