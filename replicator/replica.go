package replicator

import (
	"fmt"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/follower"
)

// maxLogged bounds the number of items in the log of recent changes that a replica
// keeps for its followers. A follower that lags further behind gets the whole
// collection.
const maxLogged = 2000

// returnWindow is the time after the store has come back from an earlier copy in which
// what the copy lacks is written again. What is missing after that is gone.
const returnWindow = 2200 * time.Millisecond

// GapError reports a change that starts after the position of the replica, so that
// changes in between are missing.
type GapError struct {
	Collection string
	Position   follower.Position
	After      follower.Position
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("%s: a change after revision %d leaves a gap to the current revision %d", e.Collection, e.After, e.Position)
}

// Replica is this instance's copy of one collection. It accepts changes from any
// source, in any order and more than once, and never reverts to an older position.
// It implements follower.Target and is safe for concurrent use.
type Replica[V any] struct {
	name    string
	handler follower.Handler[V]
	changes *notifier

	mu       sync.Mutex
	isLoaded bool
	position follower.Position
	// latestRevision is the revision of the newest item that was ever received.
	latestRevision follower.Position
	items          map[string]follower.Item[V]
	// isNewer, if set, reports whether a known value stays although the store shows
	// another one, or none.
	isNewer func(known, shown V) bool
	// pending holds the items that the store lost when it came back from an earlier
	// copy. They stay until pendingUntil, unless they are written again or removed.
	pending      map[string]follower.Item[V]
	pendingUntil time.Time
	// log holds every change after logStart, the oldest first. logged is the
	// number of items in it.
	log      []follower.Change[V]
	logStart follower.Position
	logged   int
}

// newReplica returns a replica that has not been loaded. The handler receives the
// contents and changes of the replica in order.
func newReplica[V any](name string, handler follower.Handler[V], notify *notifier) *Replica[V] {
	return &Replica[V]{
		name: name, handler: handler, changes: notify,
		items: map[string]follower.Item[V]{}, pending: map[string]follower.Item[V]{},
	}
}

// Position implements follower.Target.
func (r *Replica[V]) Position() (follower.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.isLoaded
}

// LatestRevision returns the revision of the newest item that was ever received.
func (r *Replica[V]) LatestRevision() follower.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latestRevision
}

// ApplyChange implements follower.Target. It ignores a change that the replica already
// has, and returns a GapError if changes before this one are missing.
func (r *Replica[V]) ApplyChange(change follower.Change[V]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLoaded && change.Position <= r.position {
		return nil
	}
	if change.IsWhole {
		r.replace(change)
		return nil
	}
	if !r.isLoaded || change.After > r.position {
		return &GapError{Collection: r.name, Position: r.position, After: change.After}
	}
	r.apply(change)
	return nil
}

// replace replaces the whole collection. The lock is held.
func (r *Replica[V]) replace(change follower.Change[V]) {
	known := r.items
	isRestored := r.isLoaded && change.Position.Era() > r.position.Era()
	r.items = map[string]follower.Item[V]{}
	for _, item := range change.Items {
		r.put(item, known)
	}
	for name, item := range known {
		if _, isListed := r.items[name]; isListed {
			continue
		}
		switch {
		case r.isNewer != nil:
			r.items[name] = item
		case isRestored:
			r.pending[name] = item
		}
	}
	if isRestored {
		r.pendingUntil = time.Now().Add(returnWindow)
	}
	r.isLoaded = true
	r.position = change.Position
	r.log = nil
	r.logStart = change.Position
	r.logged = 0
	r.handler.Reset(r.present())
	r.changes.broadcast()
}

// put adds an item, or the known one of its name if that is newer. The lock is held.
func (r *Replica[V]) put(item follower.Item[V], known map[string]follower.Item[V]) {
	r.latestRevision = max(r.latestRevision, item.Revision)
	delete(r.pending, item.Name)
	before, isKnown := known[item.Name]
	if isKnown && r.isNewer != nil && (item.Removed || r.isNewer(before.Value, item.Value)) {
		item = before
	}
	if item.Removed {
		delete(r.items, item.Name)
		return
	}
	r.items[item.Name] = item
}

// present returns the items of the collection, and those that may be written again. The
// lock is held.
func (r *Replica[V]) present() []follower.Item[V] {
	items := make([]follower.Item[V], 0, len(r.items)+len(r.pending))
	for _, item := range r.items {
		items = append(items, item)
	}
	for _, item := range r.pending {
		item.IsPending = true
		items = append(items, item)
	}
	return items
}

// Expire removes the items that were not written again in time after the store came back
// from an earlier copy. While the store is not available, nothing can be written: the time
// begins anew.
func (r *Replica[V]) Expire(isAvailable bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.pending) == 0:
		return
	case !isAvailable:
		r.pendingUntil = now.Add(returnWindow)
		return
	case now.Before(r.pendingUntil):
		return
	}
	var gone []follower.Item[V]
	for name := range r.pending {
		gone = append(gone, follower.Item[V]{Name: name, Revision: r.position, Removed: true})
	}
	clear(r.pending)
	r.handler.Apply(gone)
	r.changes.broadcast()
}

// apply applies changes that follow the current position. The lock is held.
func (r *Replica[V]) apply(change follower.Change[V]) {
	after := r.position
	r.position = change.Position
	if len(change.Items) == 0 {
		return
	}
	items := latest(change.Items)
	for _, item := range items {
		r.put(item, r.items)
	}
	r.log = append(r.log, follower.Change[V]{After: after, Position: change.Position, Items: items})
	r.logged += len(items)
	for r.logged > maxLogged {
		r.logged -= len(r.log[0].Items)
		r.logStart = r.log[0].Position
		r.log = r.log[1:]
	}
	r.handler.Apply(items)
	r.changes.broadcast()
}

// latest returns the last item of each name and drops the superseded ones.
func latest[V any](items []follower.Item[V]) []follower.Item[V] {
	last := make(map[string]int, len(items))
	for i, item := range items {
		last[item.Name] = i
	}
	kept := make([]follower.Item[V], 0, len(last))
	for i, item := range items {
		if last[item.Name] == i {
			kept = append(kept, item)
		}
	}
	return kept
}

// Since returns the changes after a position, or nil if there are none. At position
// zero, and at positions from before the log, it returns the whole collection.
func (r *Replica[V]) Since(position follower.Position) *follower.Change[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLoaded || position >= r.position {
		return nil
	}
	change := &follower.Change[V]{After: position, Position: r.position}
	if position < r.logStart || position == 0 {
		change.IsWhole = true
		for _, item := range r.items {
			change.Items = append(change.Items, item)
		}
		return change
	}
	for _, c := range r.log {
		if c.Position > position {
			change.Items = append(change.Items, c.Items...)
		}
	}
	change.Items = latest(change.Items)
	return change
}

// Value returns the value of an item.
func (r *Replica[V]) Value(name string) (V, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := r.items[name]
	return item.Value, ok
}

// notifier wakes goroutines that wait for changes.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newNotifier() *notifier { return &notifier{changed: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// broadcast wakes all waiting goroutines.
func (n *notifier) broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
