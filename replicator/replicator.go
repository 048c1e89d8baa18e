// Package replicator keeps what the platform's store says up to date on every
// instance, without every instance asking the store.
//
// In each failure domain one instance, the relay, watches the store, and the
// others follow it: it sends them what is new, and now and then a sign that it
// lives and that the store answers. All choose the same relay from the fleet that
// they know. Who hears nothing from it goes to the next one, and watches the
// store itself if nobody is heard. Besides, instances tell each other how far
// they know, and who lags behind fetches the rest.
//
// A State takes news from any of these sources, in any order and more than once,
// and never goes back. So it does no harm if instances disagree about the relay.
//
// # Usage
//
//	state := replicator.NewState(replicator.Handlers{Servers: registrar.Servers(), ...})
//	r := replicator.New(replicator.Config{Self: self, State: state, Store: store, Peers: peers, Relays: relays})
//	err := r.Run(ctx)
package replicator

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// heartbeat is the pause between two messages to a follower without news.
	heartbeat = 500 * time.Millisecond
	// staleAfter is how long ago the last sign of the store may be that was heard
	// through a relay: a relay that is silent gives none.
	staleAfter = 1400 * time.Millisecond
	// avoidance is how long a relay is not followed that was silent or out of
	// touch with the store. Another one is, meanwhile.
	avoidance = 3 * time.Second
	// rankPatience is how much longer than the one before it an instance waits
	// for any relay until it watches the store itself; maxPatience bounds that.
	rankPatience = 150 * time.Millisecond
	maxPatience  = 900 * time.Millisecond
	// settleTime is how long a relay must be heard before an instance gives its
	// own watches up.
	settleTime = 2 * time.Second
	// aloneTime is how long after the first start of a fleet an instance waits for
	// others to appear in its failure domain, before it watches everything.
	aloneTime = 1200 * time.Millisecond
	// stepInterval is how often it is looked whether relays are silent.
	stepInterval = 200 * time.Millisecond
	// maxPause is the longest time between two looks after which what was heard
	// before still counts. A process that was paused for longer begins anew.
	maxPause = time.Second
)

// WatchScope says which watches an instance holds at the store.
type WatchScope int

// Values of Watching.
const (
	WatchNothing WatchScope = iota
	// WatchInstances finds other instances.
	WatchInstances
	WatchAll
)

// String implements fmt.Stringer.
func (w WatchScope) String() string { return [...]string{"nothing", "instances", "all"}[w] }

// StoreHealth is what an instance's own calls show of the store.
type StoreHealth struct {
	// AnsweredAt is when the store last answered a call.
	AnsweredAt time.Time
	// IsFailing says that the last call failed.
	IsFailing bool
}

// Store is this instance's own access to the platform's store.
type Store interface {
	// Watch sets which watches are held.
	Watch(watching WatchScope)
	// Renew begins every watch that is held anew.
	Renew()
	Health() StoreHealth
}

// Peers is how other instances are asked.
type Peers interface {
	// Follow calls each with all news of an instance until it returns an error, or
	// the instance ends.
	Follow(ctx context.Context, address string, have Cursor, each func(Update) error) error
	// Fetch asks an instance once.
	Fetch(ctx context.Context, address string, have Cursor) (Update, error)
}

// Config is the configuration of a Replicator.
type Config struct {
	Self  namer.Instance
	State *State
	Store Store
	Peers Peers
	// Relays returns the live instances of this one's failure domain, the most
	// suitable relay first, with this one among them.
	Relays func() []namer.Instance
	// IsFirstStart says that the whole fleet starts for the first time: others are
	// about to appear, and there are no callers yet. Otherwise an instance that
	// starts asks for everything at once, because callers wait.
	IsFirstStart bool
	// IsReady reports whether this instance can serve callers.
	IsReady func() bool
	// Seeds are peer addresses to ask while nothing is known and the store does
	// not answer.
	Seeds []string
	// OnStoreState is told when there is no sign of the store any more, from this
	// instance's calls or from others, and when there is again.
	OnStoreState func(isLost bool)
	// Suspended, if set, returns for how long the machine has been suspended.
	Suspended func() time.Duration
	Log       *slog.Logger
}

// Replicator decides from whom an instance learns what is new. It is safe for
// concurrent use.
type Replicator struct {
	config Config
	wakes  chan struct{}
	// closed ends the streams to those who follow this instance.
	closed    chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	startedAt time.Time
	streams   map[string]*stream
	avoided   map[string]time.Time
	watching  WatchScope
	// watchedAt is when the instance began to watch everything.
	watchedAt time.Time
	// coveredAt and uncoveredAt are when it began that a relay is heard, or none.
	coveredAt, uncoveredAt time.Time
	isLost                 bool
	// steppedAt is when it was last looked at the relays, and suspended for how
	// long the machine had been suspended by then.
	steppedAt time.Time
	suspended time.Duration
	// behind are instances that know more than this one, and since when.
	behind map[string]lag
}

// New returns a Replicator.
func New(config Config) *Replicator {
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}
	// Nothing must be asked that the first decision would not ask.
	config.Store.Watch(firstWatching(config))
	return &Replicator{
		config:  config,
		wakes:   make(chan struct{}, 1),
		closed:  make(chan struct{}),
		streams: map[string]*stream{},
		avoided: map[string]time.Time{},
		behind:  map[string]lag{},
	}
}

func firstWatching(config Config) WatchScope {
	if config.IsFirstStart {
		return WatchInstances
	}
	return WatchAll
}

// Run decides until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.uncoveredAt = r.startedAt
	r.mu.Unlock()
	go r.bootstrap(ctx)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		r.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.wakes:
		}
	}
}

// Wake lets the replicator decide anew, after a change of the fleet or of the
// contact to the store.
func (r *Replicator) Wake() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

// Close ends the streams to those who follow this instance, so that they go to
// another one at once.
func (r *Replicator) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// IsStoreUnavailable reports whether there is no sign of the store.
func (r *Replicator) IsStoreUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLost
}

// step looks at the relays and decides whom to follow and what to watch.
func (r *Replicator) step(ctx context.Context, now time.Time) {
	if r.notePause(now) {
		r.config.Store.Renew()
	}
	ahead := r.ahead()
	r.mu.Lock()
	r.endSilentStreams(now)
	wanted := r.firstUsable(ahead, now)
	r.endNeedlessStreams(ahead, wanted, now)
	if wanted != nil && r.streams[wanted.ID] == nil {
		r.begin(ctx, *wanted, now)
	}
	r.noteCover(now)
	watching := r.chooseWatching(len(ahead), wanted, now)
	hasChanged := watching != r.watching
	if hasChanged {
		r.watchedAt = now
	}
	r.watching = watching
	r.mu.Unlock()

	if hasChanged {
		r.logWatching(watching)
	}
	r.config.Store.Watch(watching)
	r.noteContact(now)
	r.catchUp(ctx, now)
}

// notePause reports whether the process was paused or the machine suspended since
// the last look. What the instance believed of relays and of its own watches then
// says nothing any more.
func (r *Replicator) notePause(now time.Time) bool {
	suspended := r.config.Suspended()
	r.mu.Lock()
	defer r.mu.Unlock()
	paused := suspended - r.suspended
	if !r.steppedAt.IsZero() {
		paused += now.Sub(r.steppedAt)
	}
	r.steppedAt = now
	r.suspended = suspended
	if paused < maxPause {
		return false
	}
	for id := range r.streams {
		r.drop(id)
	}
	r.watchedAt = now
	return true
}

// ahead returns the instances that are more suitable as the relay than this one.
func (r *Replicator) ahead() []namer.Instance {
	relays := r.config.Relays()
	own := slices.IndexFunc(relays, func(i namer.Instance) bool { return i.ID == r.config.Self.ID })
	if own < 0 {
		return relays
	}
	return relays[:own]
}

// firstUsable returns the first instance that is not avoided, or nil. The lock is
// held.
func (r *Replicator) firstUsable(ahead []namer.Instance, now time.Time) *namer.Instance {
	for i := range ahead {
		if !now.Before(r.avoided[ahead[i].ID]) {
			return &ahead[i]
		}
	}
	return nil
}

// noteCover notes whether any relay is heard that is in touch with the store. The
// lock is held.
func (r *Replicator) noteCover(now time.Time) {
	isCovered := false
	for _, s := range r.streams {
		isCovered = isCovered || s.isConfirmed(now)
	}
	switch {
	case isCovered && r.coveredAt.IsZero():
		r.coveredAt, r.uncoveredAt = now, time.Time{}
	case !isCovered && r.uncoveredAt.IsZero():
		r.coveredAt, r.uncoveredAt = time.Time{}, now
	}
}

// chooseWatching decides what to watch, given how many instances are more
// suitable than this one, and which of them is followed. The lock is held.
func (r *Replicator) chooseWatching(ahead int, wanted *namer.Instance, now time.Time) WatchScope {
	switch {
	case ahead == 0 && now.Sub(r.startedAt) < aloneTime && r.config.IsFirstStart:
		return WatchInstances
	case !r.config.IsFirstStart && !r.config.State.IsLoaded():
		return WatchAll
	case wanted == nil:
		return WatchAll
	case !r.coveredAt.IsZero() && (r.watching != WatchAll || now.Sub(r.coveredAt) >= settleTime):
		return WatchNothing
	case !r.coveredAt.IsZero():
		return r.watching
	case now.Sub(r.streams[wanted.ID].begunAt) >= min(time.Duration(ahead)*rankPatience, maxPatience):
		return WatchAll
	}
	return r.watching
}

func (r *Replicator) logWatching(watching WatchScope) {
	event := recorder.EventRelayStarted
	if watching == WatchNothing {
		event = recorder.EventRelayStopped
	}
	r.config.Log.Info("what is watched at the store has changed", event.Attr(), slog.String("watching", watching.String()))
}

// noteContact tells when the store is lost or regained.
func (r *Replicator) noteContact(now time.Time) {
	contact := r.config.Store.Health()
	r.mu.Lock()
	isLost := r.isUnconfirmed(contact, now)
	hasChanged := isLost != r.isLost
	r.isLost = isLost
	r.mu.Unlock()
	if hasChanged {
		r.config.OnStoreState(isLost)
		r.config.State.notify.all()
	}
}

// isUnconfirmed reports whether there is no sign of the store: no relay is in
// touch with it, and this instance's own calls fail or are not answered. The lock
// is held.
func (r *Replicator) isUnconfirmed(contact StoreHealth, now time.Time) bool {
	switch {
	case !r.coveredAt.IsZero():
		return false
	case contact.IsFailing:
		return true
	}
	return !r.isAnswered(contact) && now.Sub(r.uncoveredAt) >= staleAfter
}

// isAnswered reports whether the store answers this instance's own watches. The
// lock is held.
func (r *Replicator) isAnswered(contact StoreHealth) bool {
	return r.watching != WatchNothing && !contact.IsFailing && !contact.AnsweredAt.Before(r.watchedAt)
}

// confirmedAt returns when there was a last sign of the store, from this
// instance's own calls or from a relay. The lock is held.
func (r *Replicator) confirmedAt(contact StoreHealth, now time.Time) time.Time {
	if r.isAnswered(contact) {
		return now
	}
	last := contact.AnsweredAt
	for _, s := range r.streams {
		if s.confirmedAt.After(last) {
			last = s.confirmedAt
		}
	}
	return last
}
