// Package replicator replicates the collections of the platform's store to every
// instance, without every instance querying the store.
//
// In each failure domain one instance, the relay, watches the store, and the
// others follow it: it streams updates to them, and periodic heartbeats that show
// that it runs and that the store answers. Every instance chooses the relay by the
// same rule from the fleet membership. An instance that receives no messages from
// the relay follows the next one, and watches the store itself if no relay sends
// any. In addition, instances exchange the revisions that they have reached,
// and an instance that lags behind fetches the missing changes.
//
// A State accepts updates from any of these sources, in any order and more than
// once, and never reverts to an older position. It is therefore harmless if
// instances disagree about the relay.
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
	// heartbeat is the interval between messages to a follower while there are no
	// changes.
	heartbeat = 500 * time.Millisecond
	// staleAfter is the maximum age of the latest evidence from a relay that the
	// store answers. A silent relay gives no evidence.
	staleAfter = 1400 * time.Millisecond
	// avoidDuration is how long a relay is not followed after it was silent or had
	// no contact with the store. Meanwhile the instance follows another relay.
	avoidDuration = 3 * time.Second
	// watchDelayStep is how much longer an instance waits for any relay before it
	// watches the store itself than the next more preferred instance does.
	// maxWatchDelay bounds the total delay.
	watchDelayStep = 150 * time.Millisecond
	maxWatchDelay  = 900 * time.Millisecond
	// settleTime is how long an instance must receive messages from a relay before
	// it ends its own watches.
	settleTime = 2 * time.Second
	// firstStartWait is how long after the first start of a fleet an instance waits
	// for others to appear in its failure domain, before it watches everything.
	firstStartWait = 1200 * time.Millisecond
	// stepInterval is the interval between checks for silent relays.
	stepInterval = 200 * time.Millisecond
	// maxPause is the longest time between two checks after which messages received
	// before still count. A process that was paused for longer drops its streams and
	// renews its watches.
	maxPause = time.Second
)

// WatchScope is the set of watches that an instance holds at the store.
type WatchScope int

// Values of WatchScope.
const (
	WatchNothing WatchScope = iota
	// WatchInstances watches only the instances, to discover the fleet.
	WatchInstances
	WatchAll
)

// String implements fmt.Stringer.
func (w WatchScope) String() string { return [...]string{"nothing", "instances", "all"}[w] }

// StoreHealth is the state of the store as shown by this instance's own calls.
type StoreHealth struct {
	// AnsweredAt is when the store last answered a call.
	AnsweredAt time.Time
	// IsFailing is whether the last call failed.
	IsFailing bool
}

// Store is this instance's own access to the platform's store.
type Store interface {
	// Watch sets which watches the instance holds.
	Watch(scope WatchScope)
	// Renew restarts every watch that the instance holds.
	Renew()
	Health() StoreHealth
}

// Peers gives access to the replicators of other instances.
type Peers interface {
	// Follow calls handle with every update of an instance until handle returns an
	// error or the instance stops.
	Follow(ctx context.Context, address string, cursor Cursor, handle func(Update) error) error
	// Fetch requests one update from an instance.
	Fetch(ctx context.Context, address string, cursor Cursor) (Update, error)
}

// Config is the configuration of a Replicator.
type Config struct {
	Self  namer.Instance
	State *State
	Store Store
	Peers Peers
	// Relays returns the live instances of this instance's failure domain, itself
	// included, in order of preference as the relay.
	Relays func() []namer.Instance
	// IsFirstStart is whether the whole fleet starts for the first time: other
	// instances are about to appear, and there are no callers yet. Otherwise an
	// instance that starts watches everything at once, because callers wait.
	IsFirstStart bool
	// IsReady reports whether this instance can serve callers.
	IsReady func() bool
	// Seeds are the peer addresses to query while the state is not loaded and the
	// store does not answer.
	Seeds []string
	// OnStoreState is called when the store becomes unavailable, by this instance's
	// own calls and by those of other instances, and when it is available again.
	OnStoreState func(isUnavailable bool)
	// Suspended, if set, returns for how long the machine has been suspended in total.
	Suspended func() time.Duration
	Log       *slog.Logger
}

// Replicator chooses the source from which an instance receives changes. It is safe
// for concurrent use.
type Replicator struct {
	config Config
	wakes  chan struct{}
	// closed ends the streams to the followers of this instance.
	closed    chan struct{}
	closeOnce sync.Once
	// background counts the goroutines that Run waits for.
	background sync.WaitGroup

	mu         sync.Mutex
	startedAt  time.Time
	streams    map[string]*stream
	avoided    map[string]time.Time
	watchScope WatchScope
	// watchedAt is when watchScope last changed, or when the watches were renewed
	// after a pause. Answers of the store from before do not count.
	watchedAt time.Time
	// relayUpSince is since when at least one relay is confirmed, and relayDownSince
	// since when none is. One of them is zero.
	relayUpSince, relayDownSince time.Time
	isUnavailable                bool
	// steppedAt is when the relays were last checked, and suspended for how long the
	// machine had been suspended by then.
	steppedAt time.Time
	suspended time.Duration
	// lags holds the instances that have newer revisions than this one, by ID.
	lags map[string]lag
}

// New returns a Replicator.
func New(config Config) *Replicator {
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}
	// Before the first step, no watches may start that the step would not choose.
	config.Store.Watch(firstWatchScope(config))
	return &Replicator{
		config:  config,
		wakes:   make(chan struct{}, 1),
		closed:  make(chan struct{}),
		streams: map[string]*stream{},
		avoided: map[string]time.Time{},
		lags:    map[string]lag{},
	}
}

func firstWatchScope(config Config) WatchScope {
	if config.IsFirstStart {
		return WatchInstances
	}
	return WatchAll
}

// Run chooses relays and watches until ctx ends. It returns after every goroutine that
// it started has ended.
func (r *Replicator) Run(ctx context.Context) error {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.relayDownSince = r.startedAt
	r.mu.Unlock()
	defer r.background.Wait()
	r.background.Go(func() { r.bootstrap(ctx) })
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

// Wake makes the replicator choose again, after a change of the fleet or of the
// store's health.
func (r *Replicator) Wake() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

// Close ends the streams to the followers of this instance, so that they switch to
// another relay at once.
func (r *Replicator) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// IsStoreUnavailable reports whether neither this instance's own calls nor a relay
// show that the store answers.
func (r *Replicator) IsStoreUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUnavailable
}

// step checks the relays and chooses which one to follow and what to watch.
func (r *Replicator) step(ctx context.Context, now time.Time) {
	if r.detectPause(now) {
		r.config.Store.Renew()
	}
	preferred := r.preferredRelays()
	r.mu.Lock()
	r.endStaleStreams(now)
	relay := r.firstNotAvoided(preferred, now)
	r.endUnneededStreams(preferred, relay, now)
	if relay != nil && r.streams[relay.ID] == nil {
		r.startStream(ctx, *relay, now)
	}
	r.updateRelayStatus(now)
	scope := r.chooseWatchScope(len(preferred), relay, now)
	hasChanged := scope != r.watchScope
	if hasChanged {
		r.watchedAt = now
	}
	r.watchScope = scope
	r.mu.Unlock()

	if hasChanged {
		r.logWatchScope(scope)
	}
	r.config.Store.Watch(scope)
	r.updateAvailability(now)
	r.catchUp(ctx, now)
}

// detectPause reports whether the process was paused or the machine suspended since
// the last step. The earlier state of the relays and of this instance's own watches
// is then invalid, so it ends all streams.
func (r *Replicator) detectPause(now time.Time) bool {
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
		r.endStream(id)
	}
	r.watchedAt = now
	return true
}

// preferredRelays returns the instances that precede this one in the order of
// relays.
func (r *Replicator) preferredRelays() []namer.Instance {
	relays := r.config.Relays()
	own := slices.IndexFunc(relays, func(i namer.Instance) bool { return i.ID == r.config.Self.ID })
	if own < 0 {
		return relays
	}
	return relays[:own]
}

// firstNotAvoided returns the first preferred relay that is not avoided, or nil. The
// lock is held.
func (r *Replicator) firstNotAvoided(preferred []namer.Instance, now time.Time) *namer.Instance {
	for i := range preferred {
		if !now.Before(r.avoided[preferred[i].ID]) {
			return &preferred[i]
		}
	}
	return nil
}

// updateRelayStatus records whether any relay is confirmed. The lock is held.
func (r *Replicator) updateRelayStatus(now time.Time) {
	isRelayUp := false
	for _, s := range r.streams {
		isRelayUp = isRelayUp || s.isConfirmed(now)
	}
	switch {
	case isRelayUp && r.relayUpSince.IsZero():
		r.relayUpSince, r.relayDownSince = now, time.Time{}
	case !isRelayUp && r.relayDownSince.IsZero():
		r.relayUpSince, r.relayDownSince = time.Time{}, now
	}
}

// chooseWatchScope chooses what to watch, given the number of preferred relays and
// the one that is followed. The lock is held.
func (r *Replicator) chooseWatchScope(preferred int, relay *namer.Instance, now time.Time) WatchScope {
	switch {
	case preferred == 0 && now.Sub(r.startedAt) < firstStartWait && r.config.IsFirstStart:
		return WatchInstances
	case !r.config.IsFirstStart && !r.config.State.IsLoaded():
		return WatchAll
	case relay == nil:
		return WatchAll
	case !r.relayUpSince.IsZero() && (r.watchScope != WatchAll || now.Sub(r.relayUpSince) >= settleTime):
		return WatchNothing
	case !r.relayUpSince.IsZero():
		return r.watchScope
	case now.Sub(r.streams[relay.ID].openedAt) >= min(time.Duration(preferred)*watchDelayStep, maxWatchDelay):
		return WatchAll
	}
	return r.watchScope
}

func (r *Replicator) logWatchScope(scope WatchScope) {
	event := recorder.EventRelayStarted
	if scope == WatchNothing {
		event = recorder.EventRelayStopped
	}
	r.config.Log.Info("the watches at the store changed", event.Attr(), slog.String("watching", scope.String()))
}

// updateAvailability updates whether the store is available, and notifies
// OnStoreState and the followers of a change.
func (r *Replicator) updateAvailability(now time.Time) {
	health := r.config.Store.Health()
	r.mu.Lock()
	isUnavailable := r.isUnconfirmed(health, now)
	hasChanged := isUnavailable != r.isUnavailable
	r.isUnavailable = isUnavailable
	r.mu.Unlock()
	if hasChanged {
		r.config.OnStoreState(isUnavailable)
		r.config.State.changes.broadcast()
	}
}

// isUnconfirmed reports whether there is no evidence that the store answers: no
// relay is confirmed, and this instance's own calls fail or are not answered. The
// lock is held.
func (r *Replicator) isUnconfirmed(health StoreHealth, now time.Time) bool {
	switch {
	case !r.relayUpSince.IsZero():
		return false
	case health.IsFailing:
		return true
	}
	return !r.isStoreAnswering(health) && now.Sub(r.relayDownSince) >= staleAfter
}

// isStoreAnswering reports whether the store answers this instance's own watches.
// The lock is held.
func (r *Replicator) isStoreAnswering(health StoreHealth) bool {
	return r.watchScope != WatchNothing && !health.IsFailing && !health.AnsweredAt.Before(r.watchedAt)
}

// confirmedAt returns when this instance's own calls or a relay last showed that the
// store answers. The lock is held.
func (r *Replicator) confirmedAt(health StoreHealth, now time.Time) time.Time {
	if r.isStoreAnswering(health) {
		return now
	}
	last := health.AnsweredAt
	for _, s := range r.streams {
		if s.confirmedAt.After(last) {
			last = s.confirmedAt
		}
	}
	return last
}

// relayUncertainty is how much earlier than it says a relay may last have heard from the
// store: its watch may be without an answer for that long.
const relayUncertainty = 3250 * time.Millisecond

// StoreEvidence returns a time at which the store has answered this instance or its relay
// for certain.
func (r *Replicator) StoreEvidence() time.Time {
	last := r.config.Store.Health().AnsweredAt
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		if at := s.confirmedAt.Add(-relayUncertainty); s.hasReceived && at.After(last) {
			last = at
		}
	}
	return last
}
