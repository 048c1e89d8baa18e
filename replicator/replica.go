package replicator

import (
	"fmt"
	"sync"

	"github.com/pollencrank/pollencrank/follower"
)

// maxLogged bounds the items of recent changes that a replica keeps for those
// that follow it. Who lags further behind gets the whole collection.
const maxLogged = 2000

// GapError says that a change does not follow on what is known.
type GapError struct {
	Collection string
	Position   uint64
	After      uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("%s: a change after %d does not follow on %d", e.Collection, e.After, e.Position)
}

// Replica is this instance's copy of one collection. It takes changes from any
// source, in any order and more than once, and never goes back. It implements
// follower.Target and is safe for concurrent use.
type Replica[V any] struct {
	name    string
	handler follower.Handler[V]
	notify  *notifier

	mu       sync.Mutex
	isKnown  bool
	position uint64
	// changedAt is the revision of the newest item that was ever seen.
	changedAt uint64
	items     map[string]follower.Item[V]
	// log holds every change after logStart, the oldest first.
	log      []follower.Change[V]
	logStart uint64
	logged   int
}

// newReplica returns a replica of which nothing is known. The handler is told of
// what the replica becomes, in order.
func newReplica[V any](name string, handler follower.Handler[V], notify *notifier) *Replica[V] {
	return &Replica[V]{name: name, handler: handler, notify: notify, items: map[string]follower.Item[V]{}}
}

// Position implements follower.Target.
func (r *Replica[V]) Position() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.isKnown
}

// ChangedAt returns the revision of the newest item that was ever seen.
func (r *Replica[V]) ChangedAt() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// ApplyChange implements follower.Target. A change that is known already does nothing,
// and one that does not follow on what is known is a GapError.
func (r *Replica[V]) ApplyChange(change follower.Change[V]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isKnown && change.Position <= r.position {
		return nil
	}
	if change.IsWhole {
		r.replace(change)
		return nil
	}
	if !r.isKnown || change.After > r.position {
		return &GapError{Collection: r.name, Position: r.position, After: change.After}
	}
	r.apply(change)
	return nil
}

// replace takes a whole collection. The lock is held.
func (r *Replica[V]) replace(change follower.Change[V]) {
	clear(r.items)
	for _, item := range change.Items {
		r.items[item.Name] = item
		r.changedAt = max(r.changedAt, item.Revision)
	}
	r.isKnown = true
	r.position = change.Position
	r.log = nil
	r.logStart = change.Position
	r.logged = 0
	r.handler.Reset(change.Items)
	r.notify.all()
}

// apply takes changes that follow on what is known. The lock is held.
func (r *Replica[V]) apply(change follower.Change[V]) {
	after := r.position
	r.position = change.Position
	if len(change.Items) == 0 {
		return
	}
	items := latest(change.Items)
	for _, item := range items {
		r.changedAt = max(r.changedAt, item.Revision)
		if item.Removed {
			delete(r.items, item.Name)
			continue
		}
		r.items[item.Name] = item
	}
	r.log = append(r.log, follower.Change[V]{After: after, Position: change.Position, Items: items})
	r.logged += len(items)
	for r.logged > maxLogged {
		r.logged -= len(r.log[0].Items)
		r.logStart = r.log[0].Position
		r.log = r.log[1:]
	}
	r.handler.Apply(items)
	r.notify.all()
}

// latest returns the last item of each name: what lies between is over.
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

// Since returns what somebody who knows the collection up to a position lacks, or
// nil if that is nothing. Zero stands for somebody who knows nothing.
func (r *Replica[V]) Since(position uint64) *follower.Change[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isKnown || position >= r.position {
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

// notifier wakes those who wait for news.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newNotifier() *notifier { return &notifier{changed: make(chan struct{})} }

// wait returns a channel that is closed at the next news.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// all wakes everybody.
func (n *notifier) all() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
