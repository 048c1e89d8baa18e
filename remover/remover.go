// Package remover removes the entries of dead instances from the platform's store, so
// that the whole fleet stops naming them in look-ups.
//
// An entry is removed again and again until the store no longer lists it: the store may
// be away when the instance dies, and a call without an answer may not have been
// executed. Each round starts from the instances that count as dead and from the entries
// that are listed. Only the pace is remembered, and what was removed lately.
//
// Several instances know of each death. They take turns, the next one in the ring first,
// so that mostly one of them calls the store. If the call fails, or the instance whose
// turn it is has died too, the others follow.
//
// Right before, the instance is probed once more, by others too. The verdict on it may be
// old, or the link to this instance may be at fault.
//
// An entry is removed only at the position at which it is listed, so that one that was
// written again is kept. An instance whose entry was written again gets time to prove that
// it is alive. It gets more of it after each removal: if the same start writes its entry
// once more, then it lives, and it is this instance that does not reach it.
//
// # Usage
//
//	r := remover.New(remover.Config{Registry: registry, Dead: prober.Dead, Position: roster.positionOf, ...})
//	err := r.Run(ctx)
package remover

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// interval is the time between two rounds.
	interval = 200 * time.Millisecond
	// turnInterval is how much later an instance removes an entry than the one before it
	// in the ring: the watches mostly show a removal within that time.
	turnInterval = 300 * time.Millisecond
	// retryPause is the shortest pause after a removal that failed. As long again is added
	// at random.
	retryPause = 400 * time.Millisecond
	// confirmPause is the time in which the watches are expected to show a removal.
	confirmPause = 2500 * time.Millisecond
	// maxCalls is the largest number of calls to the store in a round.
	maxCalls = 8
	// maxChecks is the largest number of instances that are looked at once more in a round,
	// and checkMemory how long an instance that was not reached then counts as dead. In that
	// time maxChecks entries can be removed.
	maxChecks   = 64
	checkMemory = 2 * time.Second
	// alivePause is the shortest pause after an instance turned out to be alive. As long
	// again is added at random.
	alivePause = 10 * time.Second
	// proofTime is the time in which an instance whose entry was written again is expected
	// to answer a probe.
	proofTime = 3 * time.Second
	// proofGrowth is how many times longer an instance gets after each removal of an entry
	// that it wrote again, and maxProofTime the longest time that it gets.
	proofGrowth  = 4
	maxProofTime = 5 * time.Minute
)

// Death is an instance that counts as dead.
type Death struct {
	namer.Instance
	// Turn is the number of instances that remove the entry before this one.
	Turn int
}

// Registry removes entries from the platform's store.
type Registry interface {
	// Remove removes an entry if it is at the given position.
	Remove(ctx context.Context, id string, position follower.Position) error
}

// Config is the configuration of a Remover.
type Config struct {
	Registry Registry
	// Dead returns the listed instances that count as dead.
	Dead func() []Death
	// Position returns the position of an instance's entry, if it is in the store.
	Position func(instance namer.Instance) (follower.Position, bool)
	// IsAlive reports whether an instance that counts as dead is reached now, from here or
	// from elsewhere.
	IsAlive func(ctx context.Context, instance namer.Instance) bool
	// IsStoreUnavailable reports whether the store answers nobody in reach.
	IsStoreUnavailable func() bool
	Log                *slog.Logger
}

// Remover removes the entries of dead instances.
type Remover struct {
	config Config
	wakes  chan struct{}
	// removals are the entries to remove, and removed those that were removed lately, by ID.
	// Only Run uses them.
	removals map[string]*removal
	removed  map[string]removed
}

// removed is a removed entry.
type removed struct {
	incarnation uint64
	at          time.Time
	// proofTime is the time that the instance gets if it has written the entry again.
	proofTime time.Duration
}

// removal is the removal of one entry.
type removal struct {
	instance namer.Instance
	// position is that of the entry when it was last looked at.
	position follower.Position
	// dueAt is when the entry may be removed.
	dueAt time.Time
	// checkedAt is when the instance was last not reached.
	checkedAt time.Time
	// isWaiting says that the store was unavailable in the last round.
	isWaiting bool
	// nextProofTime is the time that the instance gets if it writes the entry again.
	nextProofTime time.Duration
}

// New returns a Remover.
func New(config Config) *Remover {
	return &Remover{config: config, wakes: make(chan struct{}, 1), removals: map[string]*removal{}, removed: map[string]removed{}}
}

// Wake starts a round at once.
func (r *Remover) Wake() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

// Run removes the entries of dead instances until ctx ends.
func (r *Remover) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.wakes:
		}
		r.round(ctx)
		// A round may take longer than the interval, and the next one does not follow at once.
		ticker.Reset(interval)
	}
}

// round removes the entries whose turn it is.
func (r *Remover) round(ctx context.Context) {
	due := r.due(time.Now())
	r.check(ctx, due, time.Now())
	var calls sync.WaitGroup
	defer calls.Wait()
	begun := 0
	for _, removal := range due {
		position, isListed := r.config.Position(removal.instance)
		isDead := time.Since(removal.checkedAt) < checkMemory
		if !isDead || !isListed || position != removal.position || begun >= maxCalls {
			continue
		}
		begun++
		r.remember(removal, time.Now())
		calls.Go(func() { r.remove(ctx, removal) })
	}
}

// remember remembers that an entry is removed, and forgets what was removed long ago.
func (r *Remover) remember(removal *removal, now time.Time) {
	maps.DeleteFunc(r.removed, func(_ string, old removed) bool { return now.Sub(old.at) >= 2*maxProofTime })
	r.removed[removal.instance.ID] = removed{incarnation: removal.instance.Incarnation, at: now, proofTime: removal.nextProofTime}
}

// due returns the removals whose turn it is.
func (r *Remover) due(now time.Time) []*removal {
	dead := r.config.Dead()
	r.forgetOthers(dead)
	isUnavailable := r.config.IsStoreUnavailable()
	var due []*removal
	for _, death := range dead {
		position, isListed := r.config.Position(death.Instance)
		if !isListed {
			continue
		}
		removal := r.removalOf(death, position, now)
		if isUnavailable {
			r.postpone(removal, turnOf(death, now))
			continue
		}
		removal.isWaiting = false
		if !now.Before(removal.dueAt) {
			due = append(due, removal)
		}
	}
	return due
}

// check looks once more at instances that have not been looked at lately.
func (r *Remover) check(ctx context.Context, due []*removal, now time.Time) {
	var checks sync.WaitGroup
	defer checks.Wait()
	begun := 0
	for _, removal := range due {
		if now.Sub(removal.checkedAt) < checkMemory || begun >= maxChecks {
			continue
		}
		begun++
		checks.Go(func() { r.checkOne(ctx, removal) })
	}
}

func (r *Remover) checkOne(ctx context.Context, removal *removal) {
	if !r.config.IsAlive(ctx, removal.instance) {
		removal.checkedAt = time.Now()
		return
	}
	removal.dueAt = time.Now().Add(alivePause + rand.N(alivePause))
	r.logOf(removal).Info("the entry of an instance that counts as dead is kept, since it answers", recorder.EventRemovalRefuted.Attr())
}

// forgetOthers forgets the removals of instances that do not count as dead any more.
func (r *Remover) forgetOthers(dead []Death) {
	isDead := map[string]bool{}
	for _, death := range dead {
		isDead[death.ID] = true
	}
	for id := range r.removals {
		if !isDead[id] {
			delete(r.removals, id)
		}
	}
}

// turnOf returns when it is this instance's turn to remove an entry that may be removed
// from now on.
func turnOf(death Death, now time.Time) time.Time {
	return now.Add(time.Duration(death.Turn) * turnInterval)
}

// removalOf returns the removal of an instance's entry, which is listed at a position.
func (r *Remover) removalOf(death Death, position follower.Position, now time.Time) *removal {
	known := r.removals[death.ID]
	switch {
	case known == nil || known.instance.Incarnation != death.Incarnation:
		known = r.newRemoval(death, position, now)
		r.removals[death.ID] = known
	case known.position != position:
		known.position = position
		known.dueAt = turnOf(death, now.Add(proofTime))
	}
	return known
}

// newRemoval returns the removal of an entry, which may have been removed before and been
// written again.
func (r *Remover) newRemoval(death Death, position follower.Position, now time.Time) *removal {
	next := &removal{instance: death.Instance, position: position, dueAt: turnOf(death, now), nextProofTime: proofTime}
	before, isKnown := r.removed[death.ID]
	if isKnown && before.incarnation == death.Incarnation {
		next.dueAt = turnOf(death, now.Add(before.proofTime))
		next.nextProofTime = min(proofGrowth*before.proofTime, maxProofTime)
	}
	return next
}

// postpone keeps a removal until the store is available, and for its turn from then on.
func (r *Remover) postpone(removal *removal, turn time.Time) {
	if turn.After(removal.dueAt) {
		removal.dueAt = turn
	}
	if removal.isWaiting {
		return
	}
	removal.isWaiting = true
	r.logOf(removal).Warn("the entry of a dead instance is removed when the store is available", recorder.EventRemovalFailed.Attr())
}

// remove makes one call to the store.
func (r *Remover) remove(ctx context.Context, removal *removal) {
	err := r.config.Registry.Remove(ctx, removal.instance.ID, removal.position)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		removal.dueAt = time.Now().Add(retryPause + rand.N(retryPause))
		r.logOf(removal).Warn("the entry of a dead instance was not removed", recorder.EventRemovalFailed.Attr(), slog.Any("error", err))
		return
	}
	removal.dueAt = time.Now().Add(confirmPause)
	r.logOf(removal).Info("the entry of a dead instance was removed", recorder.EventInstanceRemoved.Attr())
}

func (r *Remover) logOf(removal *removal) *slog.Logger {
	return r.config.Log.With(slog.String("instance", removal.instance.ID), slog.String("position", removal.position.String()))
}
