package hoster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
)

// roster holds the instances that the store lists, and publishes those that serve
// requests. It is safe for concurrent use.
type roster struct {
	h *Hoster
	// serving are the listed instances that are not dead, and this one unless it is
	// stopping.
	serving atomic.Pointer[[]namer.Instance]
	// confirmed are the serving instances that look-ups name.
	confirmed atomic.Pointer[[]namer.Instance]

	mu     sync.Mutex
	listed map[string]listedInstance
}

type listedInstance struct {
	namer.Instance
	position follower.Position
	// isPending says that the store has lost the entry.
	isPending bool
}

func newRoster(h *Hoster) *roster {
	r := &roster{h: h, listed: map[string]listedInstance{}}
	r.serving.Store(&[]namer.Instance{})
	r.confirmed.Store(&[]namer.Instance{})
	return r
}

// Reset implements follower.Handler.
func (r *roster) Reset(items []follower.Item[namer.Instance]) {
	r.apply(items, true)
}

// Apply implements follower.Handler.
func (r *roster) Apply(items []follower.Item[namer.Instance]) { r.apply(items, false) }

// apply applies changes, to an empty roster if they are all that is listed: publish must not
// see it empty in between.
func (r *roster) apply(items []follower.Item[namer.Instance], isWhole bool) {
	r.mu.Lock()
	if isWhole {
		clear(r.listed)
	}
	for _, item := range items {
		if item.Removed {
			delete(r.listed, item.Name)
			continue
		}
		r.listed[item.Name] = listedInstance{Instance: item.Value, position: item.Revision, isPending: item.IsPending}
	}
	all := make([]namer.Instance, 0, len(r.listed))
	for _, i := range r.listed {
		all = append(all, i.Instance)
	}
	own, isListed := r.listed[r.h.config.Self.ID]
	r.mu.Unlock()

	r.h.prober.SetInstances(all)
	r.publish()
	if !isListed || own.isPending || own.Incarnation != r.h.config.Self.Incarnation {
		r.h.wakeRegister()
	}
}

// relays returns the live instances of this instance's failure domain, including itself,
// in the order in which they are preferred as relay: by descending capacity, and by
// rendezvous score at equal capacity.
func (r *roster) relays() []namer.Instance {
	self := r.h.config.Self
	relays := slices.DeleteFunc(slices.Clone(*r.serving.Load()), func(i namer.Instance) bool {
		return i.FailureDomain != self.FailureDomain
	})
	slices.SortFunc(relays, func(a, b namer.Instance) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		scoreOfA, scoreOfB := pollencrank.RendezvousScore(self.FailureDomain, a.ID), pollencrank.RendezvousScore(self.FailureDomain, b.ID)
		if c := cmp.Compare(scoreOfB, scoreOfA); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return relays
}

// publish recomputes the serving and the confirmed instances, and passes them on to the
// components that depend on the fleet.
func (r *roster) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var serving []namer.Instance
	for _, i := range r.listed {
		if i.ID != r.h.config.Self.ID && !r.h.prober.IsDead(i.Instance) {
			serving = append(serving, i.Instance)
		}
	}
	if !r.h.isStopping.Load() {
		serving = append(serving, r.h.config.Self)
	}
	slices.SortFunc(serving, func(a, b namer.Instance) int { return cmp.Compare(a.ID, b.ID) })
	r.serving.Store(&serving)
	confirmed := slices.DeleteFunc(slices.Clone(serving), r.isUnconfirmed)
	r.confirmed.Store(&confirmed)
	r.h.membership.Set(r.members(), time.Now())
	r.h.replicator.Wake()
}

// members returns the listed instances, as members among which limits are divided. A dead
// one stays a member until its entry is removed: it may be alive and only cut off from
// this instance. The lock is held.
func (r *roster) members() []apportioner.Member {
	members := make([]apportioner.Member, 0, len(r.listed))
	self := r.h.config.Self
	for _, i := range r.listed {
		if i.ID == self.ID && i.Incarnation > self.Incarnation {
			// A later start of this instance holds what is listed.
			continue
		}
		members = append(members, memberOf(i.Instance))
	}
	return members
}

// mayBeIsolated reports whether this instance may be isolated together with those that answer it.
func (h *Hoster) mayBeIsolated() bool { return h.prober != nil && h.prober.MayBeIsolated() }

func memberOf(i namer.Instance) apportioner.Member {
	return apportioner.Member{ID: i.ID, FailureDomain: i.FailureDomain, Region: i.Region}
}

// isUnconfirmed reports whether an instance has reported that it cannot serve callers, or
// may have been started together with this one and may not serve callers yet.
func (r *roster) isUnconfirmed(i namer.Instance) bool {
	if i.ID == r.h.config.Self.ID {
		return false
	}
	if r.h.prober.IsUnready(i) {
		return true
	}
	return time.Since(r.h.startedAt) <= confirmTime && !r.h.prober.HasAnswered(i)
}

// peers returns the other instances that serve requests.
func (r *roster) peers() []namer.Instance {
	serving := *r.serving.Load()
	return slices.DeleteFunc(slices.Clone(serving), func(i namer.Instance) bool { return i.ID == r.h.config.Self.ID })
}

// find returns the listed instance with an ID.
func (r *roster) find(id string) (namer.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, isListed := r.listed[id]
	return listed.Instance, isListed
}

// positionOf returns the position of an incarnation's entry, if the store has it.
func (r *roster) positionOf(i namer.Instance) (follower.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, isListed := r.listed[i.ID]
	return listed.position, isListed && !listed.isPending && listed.Incarnation == i.Incarnation
}

// entryState says what the store lists of this instance.
type entryState int

const (
	entryAbsent entryState = iota
	// entryListed is the entry of this start, or of an earlier one that it replaces.
	entryListed
	entryOfLaterStart
)

// ownEntry returns the position of this instance's entry, or zero if there is none.
func (r *roster) ownEntry() (follower.Position, entryState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, isListed := r.listed[r.h.config.Self.ID]
	switch {
	case !isListed || own.isPending:
		return 0, entryAbsent
	case own.Incarnation > r.h.config.Self.Incarnation:
		return own.position, entryOfLaterStart
	}
	return own.position, entryListed
}

// isRegistered reports whether this instance's own entry is in the store.
func (r *roster) isRegistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, isListed := r.listed[r.h.config.Self.ID]
	return isListed && !own.isPending && own.Incarnation == r.h.config.Self.Incarnation
}

// isLost reports whether the store has lost this instance's own entry.
func (r *roster) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[r.h.config.Self.ID].isPending
}

// wakeRegister wakes the register loop unless a wake-up is pending already.
func (h *Hoster) wakeRegister() {
	select {
	case h.registerNow <- struct{}{}:
	default:
	}
}
