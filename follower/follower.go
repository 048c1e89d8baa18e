// Package follower copies a collection of the platform's store: it lists the
// collection once and then reads changes by consecutive long-polling watches.
//
// A Follower keeps running through outages of the store, during which the target
// keeps the items that it has. A watch that the store accepted before it stopped
// responding never returns by itself. The followers of an instance therefore
// include one with a short wait; when its calls succeed again after a failure,
// the caller ends the watches of the other followers with Interrupt. Pause stops
// the watches while the instance receives the changes from other instances.
//
// # Usage
//
//	f := follower.New(follower.Config[Server]{
//		Name:   "servers",
//		Source: servers,
//		Target: replica,
//		Wait:   20 * time.Second,
//	})
//	err := f.Run(ctx)
package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// firstRetryPause is the delay after the first failed call; it doubles with
	// each further failure up to maxRetryPause.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = 800 * time.Millisecond
	// recoveryWait is the wait of a watch after a failed call or a pause: a short
	// watch shows soon whether the store answers.
	recoveryWait = 100 * time.Millisecond
)

// Item is one object, or the removal of an object.
type Item[V any] struct {
	Name     string
	Revision Position
	Removed  bool
	// IsPending says that the store lost the item when it came back from an earlier
	// copy, and that it may be written again.
	IsPending bool
	Value     V
}

// HistoryGoneError reports that the store no longer has the changes after a
// revision, so that the collection has to be listed again.
type HistoryGoneError struct {
	Cause error
}

// Error implements error.
func (e *HistoryGoneError) Error() string { return fmt.Sprintf("store history lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *HistoryGoneError) Unwrap() error { return e.Cause }

// Source reads a collection of the store.
type Source[V any] interface {
	// List returns every item and the revision to watch from.
	List(ctx context.Context) ([]Item[V], Position, error)
	// Watch returns the changes after a revision. If there are none, it blocks
	// until the first change or for the given wait. It returns a HistoryGoneError
	// if the store no longer has all of these changes.
	Watch(ctx context.Context, after Position, wait time.Duration) ([]Item[V], Position, error)
}

// Handler processes the contents and the changes of a collection.
type Handler[V any] interface {
	// Reset replaces all items.
	Reset(items []Item[V])
	// Apply applies changes to single items.
	Apply(items []Item[V])
}

// Change holds the changes of a collection after the revision After, up to and
// including the revision Position.
type Change[V any] struct {
	After    Position
	Position Position
	// IsWhole reports that Items is the full content of the collection at
	// Position, regardless of After.
	IsWhole bool
	Items   []Item[V]
}

// Target is the copy of a collection that a follower keeps up to date. The copy
// may be updated by other sources as well.
type Target[V any] interface {
	// Position returns the revision up to which the copy is complete. It reports
	// false if nothing has been loaded yet.
	Position() (Position, bool)
	// ApplyChange applies a change to the copy.
	ApplyChange(change Change[V]) error
}

// Config is the configuration of a Follower.
type Config[V any] struct {
	Name   string
	Source Source[V]
	Target Target[V]
	// Wait is how long a watch blocks if there is no change.
	Wait time.Duration
	// BatchDelay is the pause after a change in which further changes accumulate,
	// so that a burst of changes costs few calls.
	BatchDelay time.Duration
	// OnHealthChange, if set, is called when calls begin to fail and when they
	// succeed again. OnHistoryGone, if set, is called after a HistoryGoneError: the
	// store may have dropped other watches as well.
	OnHealthChange func()
	OnHistoryGone  func()
	Log            *slog.Logger
}

// Follower keeps the copy of one collection up to date.
type Follower[V any] struct {
	config Config[V]

	mu        sync.Mutex
	interrupt context.CancelFunc
	isPaused  bool
	// resumed is closed when the pause ends.
	resumed   chan struct{}
	isFailing bool
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

// New returns a Follower.
func New[V any](config Config[V]) *Follower[V] {
	return &Follower[V]{config: config, resumed: make(chan struct{})}
}

// Pause cancels the call in progress; no other call is made until Resume.
func (f *Follower[V]) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isPaused {
		return
	}
	f.isPaused = true
	f.resumed = make(chan struct{})
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Resume ends a pause.
func (f *Follower[V]) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isPaused {
		f.isPaused = false
		close(f.resumed)
	}
}

// resumedChannel returns a channel that is closed when the current pause ends, or
// nil if the follower is not paused. It clears isFailing during a pause, because
// a failure from before the pause no longer shows the state of the store.
func (f *Follower[V]) resumedChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isPaused {
		return nil
	}
	f.isFailing = false
	return f.resumed
}

// IsFailing reports whether the last call failed.
func (f *Follower[V]) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFailing
}

// AnsweredAt returns when the store last answered a call.
func (f *Follower[V]) AnsweredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt
}

// errInterrupted is the cause with which Interrupt cancels a call that the store
// may never answer.
var errInterrupted = errors.New("the call was interrupted")

// Interrupt cancels the call in progress, or the delay after a failure, and makes
// the next call at once.
func (f *Follower[V]) Interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Run follows the collection until ctx ends.
func (f *Follower[V]) Run(ctx context.Context) error {
	mustList, failures := false, 0
	// relistings counts the losses of history since a watch last succeeded.
	relistings := 0
	// isRecovering means that it is not known whether the store answers, so that
	// the next watch uses recoveryWait.
	isRecovering := false
	for ctx.Err() == nil {
		if resumed := f.resumedChannel(); resumed != nil {
			failures = 0
			isRecovering = true
			waitFor(ctx, resumed)
			continue
		}
		_, isKnown := f.config.Target.Position()
		// The first listing may take long, and the store never drops it without a
		// failure, so it is not interruptible.
		isFirst := !isKnown && failures == 0
		stepCtx, end := f.interruptible(ctx, !isFirst)
		err := f.step(stepCtx, mustList || !isKnown, isRecovering)
		switch {
		case err == nil:
			end()
			f.recordSuccess(failures)
			if !mustList && isKnown {
				relistings = 0
			}
			mustList, failures, isRecovering = false, 0, false
		case errors.Is(context.Cause(stepCtx), errInterrupted):
			// The next call is made at once.
		case isHistoryGone(err):
			f.config.Log.Warn("the store no longer has the changes; listing the collection again", recorder.EventHistoryGone.Attr(), slog.String("collection", f.config.Name))
			mustList = true
			if f.config.OnHistoryGone != nil {
				f.config.OnHistoryGone()
			}
			relistings++
			if relistings > 1 {
				f.backOff(stepCtx, relistings)
			}
		default:
			f.recordFailure(ctx, failures, err)
			failures++
			isRecovering = true
			f.backOff(stepCtx, failures)
		}
		end()
	}
	return ctx.Err()
}

func waitFor(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// interruptible returns a context and a function that releases it. Interrupt
// cancels the context if mayInterrupt is set.
func (f *Follower[V]) interruptible(ctx context.Context, mayInterrupt bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if mayInterrupt {
		f.setInterrupt(func() { cancel(errInterrupted) })
	}
	return ctx, func() {
		f.setInterrupt(nil)
		cancel(nil)
	}
}

func isHistoryGone(err error) bool {
	var historyGone *HistoryGoneError
	return errors.As(err, &historyGone)
}

// step makes one call and passes its result to the target.
func (f *Follower[V]) step(ctx context.Context, mustList, isRecovering bool) error {
	if mustList {
		items, position, err := f.config.Source.List(ctx)
		if err != nil {
			return err
		}
		return f.config.Target.ApplyChange(Change[V]{Position: position, IsWhole: true, Items: items})
	}
	wait := f.config.Wait
	if isRecovering {
		wait = recoveryWait
	}
	after, _ := f.config.Target.Position()
	items, position, err := f.config.Source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	err = f.config.Target.ApplyChange(Change[V]{After: after, Position: max(position, after), Items: items})
	if err == nil && len(items) > 0 {
		sleep(ctx, f.config.BatchDelay)
	}
	return err
}

func (f *Follower[V]) setInterrupt(interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
}

func (f *Follower[V]) recordFailure(ctx context.Context, failures int, err error) {
	if failures > 0 || ctx.Err() != nil {
		return
	}
	f.config.Log.Warn("the store is unavailable", recorder.EventStoreUnavailable.Attr(),
		slog.String("collection", f.config.Name), slog.Any("error", err))
	f.setFailing(true)
}

func (f *Follower[V]) recordSuccess(failures int) {
	f.mu.Lock()
	f.answeredAt = time.Now()
	f.mu.Unlock()
	if failures > 0 {
		f.config.Log.Info("the store is available again", recorder.EventStoreRecovered.Attr(),
			slog.String("collection", f.config.Name), slog.Int("failures", failures))
	}
	f.setFailing(false)
}

func (f *Follower[V]) setFailing(isFailing bool) {
	f.mu.Lock()
	hasChanged := f.isFailing != isFailing
	f.isFailing = isFailing
	f.mu.Unlock()
	if hasChanged && f.config.OnHealthChange != nil {
		f.config.OnHealthChange()
	}
}

// backOff waits after a failure, with jitter so that instances do not retry at
// the same moment.
func (f *Follower[V]) backOff(ctx context.Context, failures int) {
	pause := firstRetryPause << min(failures-1, 8)
	pause = min(pause, maxRetryPause)
	sleep(ctx, pause/2+rand.N(pause))
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
