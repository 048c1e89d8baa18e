// Package follower keeps a copy of a collection of the platform's store up to
// date: one listing at the start, then one waiting watch after the other.
//
// A Follower outlives outages of the store. What it has handed over stays in
// force meanwhile. A watch that was accepted by a store that then went silent
// never ends by itself, so one follower with a short wait tells the others, by
// Interrupt, when the store has answered again after a failure.
//
// # Usage
//
//	f := follower.New(follower.Config[Server]{
//		Name:    "servers",
//		Source:  servers,
//		Handler: registrar,
//		Wait:    20 * time.Second,
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
	// recoveryWait is the wait of a watch after a failed call: a short one shows
	// soon whether the store answers again.
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

// Handler takes what a follower has learnt.
type Handler[V any] interface {
	// Reset replaces everything.
	Reset(items []Item[V])
	// Apply adds changes.
	Apply(items []Item[V])
}

// Config is the configuration of a Follower.
type Config[V any] struct {
	Name    string
	Source  Source[V]
	Handler Handler[V]
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Gather is the pause after a change in which further ones come together,
	// so that a burst of changes costs few calls.
	Gather time.Duration
	// OnLost and OnRegained, if set, are told when calls begin to fail and
	// when they succeed again. OnHistoryGone is told when changes were lost:
	// other watches may have been forgotten as well.
	OnLost        func()
	OnRegained    func()
	OnHistoryGone func()
	Log           *slog.Logger
}

// Follower follows one collection.
type Follower[V any] struct {
	config Config[V]

	mu        sync.Mutex
	interrupt context.CancelFunc
}

// New returns a Follower.
func New[V any](config Config[V]) *Follower[V] {
	return &Follower[V]{config: config}
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
	var revision uint64
	listed, failures := false, 0
	for ctx.Err() == nil {
		wait := f.config.Wait
		if failures > 0 {
			wait = recoveryWait
		}
		// A first listing may take long and is never forgotten without a failure.
		isFirst := !listed && failures == 0
		stepCtx, end := f.interruptible(ctx, !isFirst)
		next, err := f.step(stepCtx, revision, listed, wait)
		switch {
		case err == nil:
			end()
			f.regained(failures)
			revision, listed, failures = next, true, 0
		case errors.Is(context.Cause(stepCtx), errInterrupted):
			// The next call is made at once.
		case isHistoryGone(err):
			f.config.Log.Warn("changes were lost, listing again", recorder.EventHistoryGone.Attr(), slog.String("collection", f.config.Name))
			listed = false
			if f.config.OnHistoryGone != nil {
				f.config.OnHistoryGone()
			}
		default:
			f.lost(ctx, failures, err)
			failures++
			f.pause(stepCtx, failures)
		}
		end()
	}
	return ctx.Err()
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

// step performs one call and returns the revision to go on from.
func (f *Follower[V]) step(ctx context.Context, revision uint64, listed bool, wait time.Duration) (uint64, error) {
	if !listed {
		items, next, err := f.config.Source.List(ctx)
		if err == nil {
			f.config.Handler.Reset(items)
		}
		return next, err
	}
	items, next, err := f.config.Source.Watch(ctx, revision, wait)
	if err != nil {
		return 0, err
	}
	if len(items) > 0 {
		f.config.Handler.Apply(items)
		sleep(ctx, f.config.Gather)
	}
	return max(next, revision), nil
}

func (f *Follower[V]) setInterrupt(interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
}

func (f *Follower[V]) lost(ctx context.Context, failures int, err error) {
	if failures > 0 || ctx.Err() != nil {
		return
	}
	f.config.Log.Warn("the store does not answer", recorder.EventStoreUnavailable.Attr(),
		slog.String("collection", f.config.Name), slog.Any("error", err))
	if f.config.OnLost != nil {
		f.config.OnLost()
	}
}

func (f *Follower[V]) regained(failures int) {
	if failures == 0 {
		return
	}
	f.config.Log.Info("the store answers again", recorder.EventStoreBack.Attr(),
		slog.String("collection", f.config.Name), slog.Int("failures", failures))
	if f.config.OnRegained != nil {
		f.config.OnRegained()
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
