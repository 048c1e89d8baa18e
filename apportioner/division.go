package apportioner

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// maxParts is the largest number of parts into which a bound is divided.
	// It depends on no configuration, because instances may have different ones.
	maxParts = 3
	// partLease is how long an instance holds a part without hearing from the store or
	// from another instance. It is shorter than contactLease, because a new holder waits for
	// it.
	partLease = 1250 * time.Millisecond
	// takeOverWait is how long a new holder waits after its view of the members has settled:
	// until then the earlier holder may have heard from instances that did not know of the
	// change, and it holds for partLease after that.
	takeOverWait = partLease
	// storeLease is how long an instance that may be isolated together with others holds a part
	// without evidence that the store answers. Its successor waits for longer.
	storeLease = 4500 * time.Millisecond
	// fewMembers is the number of members up to which evidence of the store alone is enough:
	// when the only other one dies, nobody is left to answer.
	fewMembers = 2
	// divisionMemory is how long a bound is kept that nobody asks for.
	divisionMemory = departureMemory
)

// Division says who shares a bound of the whole fleet.
type Division struct {
	// Holders are the instances that share the bound, of different regions where there
	// are enough. It must not be changed.
	Holders []Member
	// Parts is the number of equal parts into which the bound is divided.
	Parts int
	// IsHolder says that this instance holds a part, and From since when. The part
	// counts as spent at From.
	IsHolder bool
	From     time.Time
}

// divisionState is a bound that a few instances of different regions share.
type divisionState struct {
	holders  []Member
	isHolder bool
	since    time.Time
	askedAt  time.Time
}

// Division returns who shares a bound. The holders are chosen by rendezvous hashing of the
// name of the bound, the best of each region first.
//
// At most one instance holds a part at a time, if news reaches every instance that is in
// touch within settleTime. The exception is an instance that knows of no other one: it holds
// without contact.
func (m *Membership) Division(bound string, now time.Time) Division {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.divisions[bound]
	if s == nil {
		s = &divisionState{}
		m.divisions[bound] = s
		m.rechooseHoldersOf(bound, s, m.changedAt)
	}
	s.askedAt = now
	mayHold := m.mayHoldPart(now)
	from := m.holdsPartFrom(s, now)
	return Division{
		Holders:  s.holders,
		Parts:    m.parts(now),
		IsHolder: s.isHolder && m.isListed && mayHold && !now.Before(from),
		From:     from,
	}
}

// Resume lets this instance hold the parts that are its own by the first list of members,
// without waiting: nobody has held them since its earlier start ended. They count as spent
// when it started. Parts that it gets by later changes, or after an interruption, wait as
// ever.
func (m *Membership) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resumedBase = m.mayHoldFrom
}

// isResumed reports whether Resume counts. The lock is held.
func (m *Membership) isResumed() bool {
	return !m.resumedBase.IsZero() && m.resumedBase.Equal(m.mayHoldFrom)
}

// holdsPartFrom returns from when on this instance may hold its part of a bound. The lock is
// held.
func (m *Membership) holdsPartFrom(s *divisionState, now time.Time) time.Time {
	if m.isResumed() && !s.since.After(m.listedAt) && m.lapsedAt.IsZero() {
		return m.config.StartedAt
	}
	base := m.mayHoldFrom
	if m.isAlone() || m.reliesOnStore(now) {
		base = m.listedFrom
	}
	if !m.lapsedAt.IsZero() {
		base = latest(base, m.lapsedAt.Add(settleTime))
	}
	return latest(s.since, base).Add(takeOverWait)
}

// ConfirmStore records that the store answered this instance or its relay at a time.
func (m *Membership) ConfirmStore(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeAt = latest(m.storeAt, at)
}

// hasEvidence reports whether the store has answered lately, or so many others answer that
// it is away for all. Otherwise this instance and those that answer it may be cut off from
// the store together, and others may have taken over their parts. The lock is held.
func (m *Membership) hasEvidence(now time.Time) bool {
	if now.Sub(m.storeAt) <= storeLease || m.config.MayBeIsolated == nil || !m.config.MayBeIsolated() {
		return true
	}
	if !m.storeAt.IsZero() {
		m.lapsedAt = now
	}
	return false
}

// reliesOnStore reports whether evidence of the store is enough, because there are too few
// others. The lock is held.
func (m *Membership) reliesOnStore(now time.Time) bool {
	return len(m.members) <= fewMembers && now.Sub(m.storeAt) <= storeLease
}

// mayHoldPart reports whether this instance has heard from the store or another instance
// lately enough to hold a part. One that is alone must have run. The lock is held.
func (m *Membership) mayHoldPart(now time.Time) bool {
	if !m.hasEvidence(now) {
		return false
	}
	if m.isAlone() || m.reliesOnStore(now) {
		return now.Sub(m.sweptAt) <= partLease
	}
	return (m.isInTouch(now) || m.isResumed()) && now.Sub(m.confirmedAt) <= partLease
}

// isAlone reports whether this instance knows of no other one. The lock is held.
func (m *Membership) isAlone() bool { return len(m.members) == 1 }

// parts returns the number of parts of a bound. A member that is gone counts until no
// instance can still act on a view with it. The lock is held.
func (m *Membership) parts(now time.Time) int {
	if len(m.members) >= maxParts {
		return maxParts
	}
	return min(maxParts, max(len(m.members), m.count(settleTime+takeOverWait, now)))
}

// rechooseHolders chooses the holders of all bounds again if the members have changed since a
// version. All changes that were learned together count as one. The lock is held.
func (m *Membership) rechooseHolders(version uint64, now time.Time) {
	if m.version.Load() == version {
		return
	}
	for bound, s := range m.divisions {
		if now.Sub(s.askedAt) > divisionMemory {
			delete(m.divisions, bound)
			continue
		}
		m.rechooseHoldersOf(bound, s, now)
	}
}

// rechooseHoldersOf chooses the holders of a bound, as of a time. The lock is held.
func (m *Membership) rechooseHoldersOf(bound string, s *divisionState, at time.Time) {
	s.holders = m.chooseHolders(bound)
	isHolder := slices.ContainsFunc(s.holders, func(h Member) bool { return h.ID == m.config.Self.ID })
	if isHolder && !s.isHolder {
		s.since = at
	}
	s.isHolder = isHolder
}

// chooseHolders returns the first maxParts members in the order of a bound, with the best
// of each region before all others. The lock is held.
func (m *Membership) chooseHolders(bound string) []Member {
	var firsts, best []scoredMember
	for _, state := range m.members {
		member := scoredMember{Member: state.Member, score: pollencrank.RendezvousScore(bound, state.ID)}
		best = insertScored(best, member)
		region := slices.IndexFunc(firsts, func(f scoredMember) bool { return f.Region == member.Region })
		switch {
		case region < 0:
			firsts = append(firsts, member)
		case compareScored(member, firsts[region]) < 0:
			firsts[region] = member
		}
	}
	slices.SortFunc(firsts, compareScored)
	for _, member := range best {
		if !slices.Contains(firsts, member) {
			firsts = append(firsts, member)
		}
	}
	var chosen []Member
	for _, member := range firsts[:min(len(firsts), maxParts)] {
		chosen = append(chosen, member.Member)
	}
	return chosen
}

// insertScored inserts a member into the first maxParts ones in order.
func insertScored(best []scoredMember, member scoredMember) []scoredMember {
	i, _ := slices.BinarySearchFunc(best, member, compareScored)
	if i >= maxParts {
		return best
	}
	best = slices.Insert(best, i, member)
	return best[:min(len(best), maxParts)]
}

// compareScored orders members by descending scores.
func compareScored(x, y scoredMember) int {
	return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.ID, y.ID))
}
