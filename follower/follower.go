// Package follower reads a collection of the platform's store: one listing at
// the start, then one waiting watch after the other.
//
// A Follower outlives outages of the store. What it has handed over stays in
// force meanwhile. A watch that was accepted by a store that then went silent
// never ends by itself, so one follower with a short wait tells the others, by
// Interrupt, when the store has answered again after a failure. While others
// tell the instance what is new, Pause saves the watches.
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
	// firstRetryPause is the pause after a first failed call; it doubles with
	// each further one up to maxRetryPause.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = 800 * time.Millisecond
	// recoveryWait is the wait of a watch after a failed call or a pause: a short
	// one shows soon whether the store answers.
	recoveryWait = 100 * time.Millisecond
)

// Item is one object, or the news that it is gone.
type Item[V any] struct {
	Name     string
	Revision uint64
	Removed  bool
	Value    V
}

// HistoryGoneError says that changes were lost and a new listing is needed.
type HistoryGoneError struct {
	Cause error
}

// Error implements error.
func (e *HistoryGoneError) Error() string { return fmt.Sprintf("changes were lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *HistoryGoneError) Unwrap() error { return e.Cause }

// Source is a collection of the store.
type Source[V any] interface {
	// List returns every item and the revision to watch from.
	List(ctx context.Context) ([]Item[V], uint64, error)
	// Watch returns the changes after a revision, waiting for the first one.
	// It returns a HistoryGoneError if some of them are lost.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Item[V], uint64, error)
}

// Handler takes what was learnt of a collection.
type Handler[V any] interface {
	// Reset replaces everything.
	Reset(items []Item[V])
	// Apply adds changes.
	Apply(items []Item[V])
}

// Change is what became of a collection after one revision, up to another one.
type Change[V any] struct {
	After    uint64
	Position uint64
	// IsWhole says that the items are everything that there is at Position,
	// whatever was before.
	IsWhole bool
	Items   []Item[V]
}

// Target is the copy of a collection that a follower keeps up to date. Others may
// do so as well.
type Target[V any] interface {
	// Position returns the revision up to which the collection is known. It
	// reports false if it is not known at all.
	Position() (uint64, bool)
	// ApplyChange takes a change.
	ApplyChange(change Change[V]) error
}

// Config is the configuration of a Follower.
type Config[V any] struct {
	Name   string
	Source Source[V]
	Target Target[V]
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// BatchDelay is the pause after a change in which further ones come together,
	// so that a burst of changes costs few calls.
	BatchDelay time.Duration
	// OnHealthChange, if set, is told when calls begin to fail and when they succeed
	// again. OnHistoryGone is told when changes were lost: other watches may have
	// been forgotten as well.
	OnHealthChange func()
	OnHistoryGone  func()
	Log            *slog.Logger
}

// Follower follows one collection.
type Follower[V any] struct {
	config Config[V]

	mu        sync.Mutex
	interrupt context.CancelFunc
	isPaused  bool
	// resumed is closed when the follower need not pause any more.
	resumed   chan struct{}
	isFailing bool
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

// New returns a Follower.
func New[V any](config Config[V]) *Follower[V] {
	return &Follower[V]{config: config, resumed: make(chan struct{})}
}

// Pause ends the call that is under way and begins none until Resume.
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

// Resume lets the follower watch again.
func (f *Follower[V]) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isPaused {
		f.isPaused = false
		close(f.resumed)
	}
}

// pausing returns a channel that ends the pause, or nil if there is none. A
// failure before the pause says nothing any more.
func (f *Follower[V]) pausing() <-chan struct{} {
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

// errInterrupted ends a call that the store may have forgotten.
var errInterrupted = errors.New("the watch was interrupted")

// Interrupt ends the call that is under way, or the pause after a failure, and
// begins another call at once.
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
	// isDoubtful says that it is not known whether the store answers.
	isDoubtful := false
	for ctx.Err() == nil {
		if resumed := f.pausing(); resumed != nil {
			failures = 0
			isDoubtful = true
			await(ctx, resumed)
			continue
		}
		_, isKnown := f.config.Target.Position()
		// A first listing may take long and is never forgotten without a failure.
		isFirst := !isKnown && failures == 0
		stepCtx, end := f.interruptible(ctx, !isFirst)
		err := f.step(stepCtx, mustList || !isKnown, isDoubtful)
		switch {
		case err == nil:
			end()
			f.answered(failures)
			mustList, failures, isDoubtful = false, 0, false
		case errors.Is(context.Cause(stepCtx), errInterrupted):
			// The next call is made at once.
		case isHistoryGone(err):
			f.config.Log.Warn("changes were lost, listing again", recorder.EventHistoryGone.Attr(), slog.String("collection", f.config.Name))
			mustList = true
			if f.config.OnHistoryGone != nil {
				f.config.OnHistoryGone()
			}
		default:
			f.failed(ctx, failures, err)
			failures++
			isDoubtful = true
			f.pause(stepCtx, failures)
		}
		end()
	}
	return ctx.Err()
}

func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// interruptible returns a context that Interrupt ends, if it may, and a function
// that releases it.
func (f *Follower[V]) interruptible(ctx context.Context, mayEnd bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if mayEnd {
		f.setInterrupt(func() { cancel(errInterrupted) })
	}
	return ctx, func() {
		f.setInterrupt(nil)
		cancel(nil)
	}
}

func isHistoryGone(err error) bool {
	var gone *HistoryGoneError
	return errors.As(err, &gone)
}

// step performs one call and hands over what it brought.
func (f *Follower[V]) step(ctx context.Context, mustList, isDoubtful bool) error {
	if mustList {
		items, position, err := f.config.Source.List(ctx)
		if err != nil {
			return err
		}
		return f.config.Target.ApplyChange(Change[V]{Position: position, IsWhole: true, Items: items})
	}
	wait := f.config.Wait
	if isDoubtful {
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

func (f *Follower[V]) failed(ctx context.Context, failures int, err error) {
	if failures > 0 || ctx.Err() != nil {
		return
	}
	f.config.Log.Warn("the store does not answer", recorder.EventStoreUnavailable.Attr(),
		slog.String("collection", f.config.Name), slog.Any("error", err))
	f.setFailing(true)
}

func (f *Follower[V]) answered(failures int) {
	f.mu.Lock()
	f.answeredAt = time.Now()
	f.mu.Unlock()
	if failures > 0 {
		f.config.Log.Info("the store answers again", recorder.EventStoreBack.Attr(),
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

// pause waits after a failure, spread out so that instances do not call in step.
func (f *Follower[V]) pause(ctx context.Context, failures int) {
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
