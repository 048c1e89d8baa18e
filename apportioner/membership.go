package apportioner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// settleTime is how long news about a member takes at most to reach all instances.
	settleTime = 2 * time.Second
	// departureMemory is how long a member that is gone is remembered. No bound is counted
	// over a longer span.
	departureMemory = time.Minute
	// contactLease is how long an instance may hold a share without hearing from the store
	// or from another instance. An instance that joins meanwhile, or that takes the place of
	// one that was removed, waits for settleTime.
	contactLease = settleTime
	// maxShareStates bounds the memory for the shares that this instance holds.
	maxShareStates = 8192
)

// Member is an instance of the fleet.
type Member struct {
	ID            string
	FailureDomain string
	Region        string
}

// DistanceTo returns 0 for a member in the same failure domain, 1 for one in the same region,
// and 2 for others.
func (m Member) DistanceTo(other Member) int {
	switch {
	case other.FailureDomain == m.FailureDomain:
		return 0
	case other.Region == m.Region:
		return 1
	}
	return 2
}

// MembershipConfig is the configuration of a Membership.
type MembershipConfig struct {
	Self Member
	// StartedAt is when the instance started.
	StartedAt time.Time
	// MayBeIsolated, if set, reports whether so many others do not answer that this instance may
	// be isolated together with those that do.
	MayBeIsolated func() bool
}

// Membership says which instances share the bounds of the whole fleet, and since when. All
// bounds that each instance keeps by a part of its own are divided by it.
//
// A member that is gone still counts for the span over which a bound is counted, because it
// may have spent its part just before. For the same reason an instance that has just
// started holds no part until that span has passed: it does not know what its previous
// start has spent. An instance that hears of nobody may have been removed by the others; it
// holds nothing until news has settled again. A Membership is safe for concurrent use.
type Membership struct {
	config MembershipConfig

	mu sync.Mutex
	// members holds the members, and those that are gone until settleTime has passed.
	members map[string]memberState
	// departedAt is when the other members that are gone left.
	departedAt map[string]time.Time
	// isListed says that this instance itself is listed.
	isListed bool
	// confirmedAt is when this instance last heard from the store or another instance.
	confirmedAt time.Time
	// mayHoldFrom is from when on this instance may hold shares.
	mayHoldFrom time.Time
	// listedFrom is mayHoldFrom without regard to confirmations. sweptAt is when Sweep was
	// last called.
	listedFrom, sweptAt time.Time
	// listedAt is when the members were first set. resumedBase is mayHoldFrom at Resume, as
	// long as it has not changed since.
	listedAt, resumedBase time.Time
	// storeAt is when the store has last answered this instance or its relay. lapsedAt is
	// when this instance last noticed that it may be cut off from the store with others.
	storeAt, lapsedAt time.Time
	// shareStates caches which shares this instance holds, by the name of the bound.
	shareStates map[string]shareState
	// divisions holds the bounds that were asked for with Division, by their names.
	divisions map[string]*divisionState
	// changedAt is when the members last changed, and version counts their changes.
	changedAt time.Time
	version   atomic.Uint64
}

// shareState says whether this instance is one of those that share a bound, and since when,
// at a version of the members.
type shareState struct {
	isHolder bool
	since    time.Time
	version  uint64
}

type memberState struct {
	Member
	// countsUntil is when a member that is gone no longer counts. It is zero for a
	// present member.
	countsUntil time.Time
}

// NewMembership returns a Membership that knows only its own instance.
func NewMembership(config MembershipConfig) *Membership {
	return &Membership{
		config:      config,
		members:     map[string]memberState{config.Self.ID: {Member: config.Self}},
		departedAt:  map[string]time.Time{},
		changedAt:   config.StartedAt,
		shareStates: map[string]shareState{},
		divisions:   map[string]*divisionState{},

		confirmedAt: config.StartedAt,
		mayHoldFrom: config.StartedAt.Add(settleTime),
		listedFrom:  config.StartedAt.Add(settleTime),
	}
}

// Set sets the members of the fleet. This instance always counts as one.
func (m *Membership) Set(members []Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rechooseHolders(m.version.Load(), now)
	if m.listedAt.IsZero() {
		m.listedAt = now
	}
	isListed := map[string]bool{}
	for _, member := range members {
		isListed[member.ID] = true
		m.add(member, now)
	}
	m.setListed(isListed[m.config.Self.ID], now)
	for id, state := range m.members {
		if id == m.config.Self.ID || isListed[id] || !state.countsUntil.IsZero() {
			continue
		}
		state.countsUntil = now.Add(settleTime)
		m.members[id] = state
		m.departedAt[id] = now
	}
	m.removeGone(now)
}

// setListed records whether this instance is listed. The lock is held.
func (m *Membership) setListed(isListed bool, now time.Time) {
	if isListed && !m.isListed {
		m.waitToHold(now)
	}
	m.isListed = isListed
}

// Confirm records that this instance has heard from the store or from another instance.
func (m *Membership) Confirm(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !now.After(m.confirmedAt) {
		return
	}
	if now.Sub(m.confirmedAt) > contactLease {
		m.mayHoldFrom = latest(m.mayHoldFrom, now.Add(settleTime))
	}
	m.confirmedAt = now
}

// RecordSuspension records that the machine was suspended: its clock did not advance, and this
// instance does not know what others have held since.
func (m *Membership) RecordSuspension(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitToHold(now)
}

// waitToHold lets this instance hold nothing until news has settled. The lock is held.
func (m *Membership) waitToHold(now time.Time) {
	m.mayHoldFrom = latest(m.mayHoldFrom, now.Add(settleTime))
	m.listedFrom = latest(m.listedFrom, now.Add(settleTime))
}

// MayHold reports whether this instance may hold shares of bounds.
func (m *Membership) MayHold(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mayHold(now)
}

// mayHold is MayHold. An instance that knows of no other one needs no confirmation. The lock
// is held.
func (m *Membership) mayHold(now time.Time) bool {
	if !m.isListed || now.Before(m.mayHoldFrom) {
		return false
	}
	return len(m.members) == 1 || m.isInTouch(now)
}

// isInTouch reports whether this instance has heard from the store or another instance
// lately, and since mayHoldFrom: what it has heard before may lack those who started together
// with it. The lock is held.
func (m *Membership) isInTouch(now time.Time) bool {
	return now.Sub(m.confirmedAt) <= contactLease && !m.confirmedAt.Before(m.mayHoldFrom)
}

// HeldSince returns since when this instance holds a share of a bound that at most count
// instances share, and reports false if it holds none. The holders are chosen by rendezvous
// hashing of the name of the bound.
func (m *Membership) HeldSince(bound string, count int, now time.Time) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.mayHold(now) {
		return time.Time{}, false
	}
	held := m.shareStates[bound]
	if version := m.version.Load(); held.version != version || held.since.IsZero() {
		held = m.updateShareState(bound, held, count, version)
	}
	return latest(held.since, m.mayHoldFrom), held.isHolder
}

// updateShareState works out whether this instance holds a share of a bound. The lock is held.
func (m *Membership) updateShareState(bound string, known shareState, count int, version uint64) shareState {
	if len(m.shareStates) >= maxShareStates {
		clear(m.shareStates)
	}
	next := shareState{isHolder: m.isAmongFirst(bound, count), since: m.changedAt, version: version}
	// If a version was not looked at, another instance may have held the share in it.
	if known.isHolder && next.isHolder && known.version+1 == version {
		next.since = known.since
	}
	m.shareStates[bound] = next
	return next
}

// isAmongFirst reports whether this instance is among the first count members in the order
// of a bound. The lock is held.
func (m *Membership) isAmongFirst(bound string, count int) bool {
	self := m.config.Self.ID
	ownScore := pollencrank.RendezvousScore(bound, self)
	higher := 0
	for id := range m.members {
		if id == self {
			continue
		}
		score := pollencrank.RendezvousScore(bound, id)
		if score > ownScore || (score == ownScore && id < self) {
			higher++
		}
	}
	return higher < count
}

// add adds a member, lets one that was gone count again, or replaces one that has moved to
// another region. The lock is held.
func (m *Membership) add(member Member, now time.Time) {
	delete(m.departedAt, member.ID)
	known, isKnown := m.members[member.ID]
	if isKnown && known.countsUntil.IsZero() && known.Member == member {
		return
	}
	m.members[member.ID] = memberState{Member: member}
	m.recordChange(now)
}

// removeGone removes the members that no longer count. The lock is held.
func (m *Membership) removeGone(now time.Time) {
	for id, state := range m.members {
		if !state.countsUntil.IsZero() && !now.Before(state.countsUntil) {
			delete(m.members, id)
			m.recordChange(now)
		}
	}
	for id, at := range m.departedAt {
		if now.Sub(at) > departureMemory {
			delete(m.departedAt, id)
		}
	}
}

func (m *Membership) recordChange(now time.Time) {
	m.changedAt = now
	m.version.Add(1)
}

// Sweep lets members that are gone no longer count once their time has passed. It has to be
// called periodically.
func (m *Membership) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rechooseHolders(m.version.Load(), now)
	if !m.sweptAt.IsZero() && now.Sub(m.sweptAt) > contactLease {
		// The process stood still.
		m.waitToHold(now)
	}
	m.sweptAt = now
	m.hasEvidence(now)
	m.removeGone(now)
}

// Count returns the number of instances that were members at some time within the last
// span, of at most a minute.
func (m *Membership) Count(span time.Duration, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count(span, now)
}

// count is Count. The lock is held.
func (m *Membership) count(span time.Duration, now time.Time) int {
	count := 0
	for _, state := range m.members {
		if state.countsUntil.IsZero() {
			count++
		}
	}
	for _, at := range m.departedAt {
		if now.Sub(at) < span {
			count++
		}
	}
	return count
}

// Share returns this instance's share of a bound of the whole fleet that is counted over a
// span: none until the instance has run for that long, and none while it may hold nothing.
func (m *Membership) Share(span time.Duration, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.IsNew(span, now) || !m.isListed || !m.isInTouch(now) {
		return 0
	}
	return 1 / float64(m.count(span, now))
}

// IsNew reports whether this instance has run for less than a span.
func (m *Membership) IsNew(span time.Duration, now time.Time) bool {
	return now.Sub(m.config.StartedAt) < span
}

// Self returns this instance.
func (m *Membership) Self() Member { return m.config.Self }

// currentVersion returns a number that increases with every change of the members.
func (m *Membership) currentVersion() uint64 { return m.version.Load() }

// settledMembers returns the members, and those that are gone until settleTime has passed,
// and their version.
func (m *Membership) settledMembers() ([]Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]Member, 0, len(m.members))
	for _, state := range m.members {
		members = append(members, state.Member)
	}
	return members, m.version.Load()
}

// holdsFrom returns from when on this instance may hold shares.
func (m *Membership) holdsFrom() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mayHoldFrom
}

// heldSince returns from when on this instance may have filled a bucket: since then no
// other instance can have held it in its place.
func (m *Membership) heldSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return latest(m.mayHoldFrom, m.changedAt)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
