package follower_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
)

type item = follower.Item[string]

// source is a fake collection of the store on virtual time.
type source struct {
	mu       sync.Mutex
	revision follower.Position
	items    map[string]string
	changes  []item
	changed  chan struct{}
	// isUnavailable makes every call fail. isSilent makes every watch block until
	// its context ends. hasLostHistory makes the next watch fail with a
	// HistoryGoneError.
	isUnavailable, isSilent, hasLostHistory bool
	lists                                   int
	// lastWait is the wait of the last watch, firstWait that of the first one
	// after lastWait was set to zero.
	lastWait, firstWait time.Duration
}

func newSource() *source {
	return &source{revision: 1, items: map[string]string{}, changed: make(chan struct{})}
}

var errUnavailable = errors.New("the store is unavailable")

func (s *source) set(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[name] = value
	s.changes = append(s.changes, item{Name: name, Revision: s.revision, Value: value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *source) List(context.Context) ([]item, follower.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnavailable {
		return nil, 0, errUnavailable
	}
	s.lists++
	var items []item
	for name, value := range s.items {
		items = append(items, item{Name: name, Value: value})
	}
	return items, s.revision, nil
}

func (s *source) Watch(ctx context.Context, after follower.Position, wait time.Duration) ([]item, follower.Position, error) {
	deadline := time.After(wait)
	s.locked(func() {
		if s.lastWait == 0 {
			s.firstWait = wait
		}
		s.lastWait = wait
	})
	for {
		s.mu.Lock()
		changed, silent := s.changed, s.isSilent
		if s.hasLostHistory {
			s.hasLostHistory = false
			s.mu.Unlock()
			return nil, 0, &follower.HistoryGoneError{Cause: errUnavailable}
		}
		if s.isUnavailable {
			s.mu.Unlock()
			return nil, 0, errUnavailable
		}
		if s.revision > after && !silent {
			var newer []item
			for _, c := range s.changes {
				if c.Revision > after {
					newer = append(newer, c)
				}
			}
			defer s.mu.Unlock()
			return newer, s.revision, nil
		}
		s.mu.Unlock()
		if silent {
			// The store accepted the call and never answers it.
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, after, nil
		case <-changed:
		}
	}
}

// target records the changes that the follower passes to it.
type target struct {
	mu       sync.Mutex
	isKnown  bool
	position follower.Position
	values   map[string]string
	resets   int
	// historyLosses counts calls of OnHistoryGone, applied batches of changes.
	historyLosses, applied int
}

func (h *target) Position() (follower.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position, h.isKnown
}

func (h *target) ApplyChange(change follower.Change[string]) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if change.IsWhole {
		h.isKnown = true
		h.values = map[string]string{}
		h.resets++
	}
	h.position = change.Position
	if len(change.Items) > 0 {
		h.applied++
	}
	for _, i := range change.Items {
		h.values[i.Name] = i.Value
	}
	return nil
}

// counts holds the counters of a target.
type counts struct{ resets, historyLosses, applied int }

func (h *target) counts() counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return counts{resets: h.resets, historyLosses: h.historyLosses, applied: h.applied}
}

func (h *target) historyGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.historyLosses++
}

func (h *target) get(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[name]
}

// runFollower runs a follower in a synctest bubble until the test function returns.
func runFollower(t *testing.T, test func(s *source, h *target, f *follower.Follower[string])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, h := newSource(), &target{}
		f := follower.New(follower.Config[string]{
			Name: "test", Source: s, Target: h, Wait: 10 * time.Second, BatchDelay: 100 * time.Millisecond,
			OnHistoryGone: h.historyGone, Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		test(s, h, f)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestChangesArrive(t *testing.T) {
	runFollower(t, func(s *source, h *target, _ *follower.Follower[string]) {
		s.set("a", "1")
		time.Sleep(time.Second)
		require.Equal(t, "1", h.get("a"))
		s.set("a", "2")
		time.Sleep(time.Second)
		require.Equal(t, "2", h.get("a"))
		require.Equal(t, 1, h.counts().resets)
	})
}

func TestAnOutageKeepsWhatIsKnown(t *testing.T) {
	runFollower(t, func(s *source, h *target, _ *follower.Follower[string]) {
		s.set("a", "1")
		time.Sleep(time.Second)
		s.locked(func() { s.isUnavailable = true })
		s.set("a", "2")
		time.Sleep(30 * time.Second)
		require.Equal(t, "1", h.get("a"))
		s.locked(func() { s.isUnavailable = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", h.get("a"))
		require.Equal(t, 1, h.counts().resets, "the changes are read, not a new listing")
	})
}

func TestLostHistoryIsListedAnew(t *testing.T) {
	runFollower(t, func(s *source, h *target, _ *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.locked(func() { s.hasLostHistory = true; s.items["b"] = "2" })
		s.set("a", "1")
		time.Sleep(time.Second)
		require.Equal(t, "2", h.get("b"))
		require.Equal(t, 2, h.counts().resets)
		require.Equal(t, 1, h.counts().historyLosses, "the caller is notified, as the store may have dropped other watches too")
	})
}

func TestABurstOfChangesCostsFewCalls(t *testing.T) {
	runFollower(t, func(s *source, h *target, _ *follower.Follower[string]) {
		time.Sleep(time.Second)
		before := h.counts().applied
		for range 50 {
			s.set("a", "1")
			time.Sleep(10 * time.Millisecond)
		}
		s.set("a", "2")
		time.Sleep(time.Second)
		require.Equal(t, "2", h.get("a"))
		require.LessOrEqual(t, h.counts().applied-before, 7)
	})
}

// A call that the store never answers must not delay the detection that the store
// is available again: the first watch after a failure uses a short wait.
func TestAfterAFailureTheNextCallIsShort(t *testing.T) {
	runFollower(t, func(s *source, h *target, _ *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.locked(func() { s.isUnavailable = true })
		s.set("b", "1")
		time.Sleep(5 * time.Second)
		s.locked(func() { s.isUnavailable, s.lastWait = false, 0 })
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", h.get("b"))
		s.locked(func() { require.LessOrEqual(t, s.firstWait, time.Second) })
	})
}

// A store that stops responding may never answer a watch that it accepted. Without
// Interrupt the follower would wait for that watch for ever.
func TestInterruptReplacesAWatchThatIsNeverAnswered(t *testing.T) {
	runFollower(t, func(s *source, h *target, f *follower.Follower[string]) {
		s.locked(func() { s.isSilent = true })
		time.Sleep(time.Second)
		s.set("a", "1")
		s.locked(func() { s.isSilent = false })
		time.Sleep(time.Minute)
		require.Empty(t, h.get("a"))
		f.Interrupt()
		time.Sleep(time.Second)
		require.Equal(t, "1", h.get("a"))
	})
}

// When another follower's call has shown that the store is available again,
// Interrupt ends the retry delay after a failure at once.
func TestInterruptEndsThePauseAfterAFailure(t *testing.T) {
	runFollower(t, func(s *source, h *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.locked(func() { s.isUnavailable = true })
		s.set("a", "1")
		time.Sleep(10 * time.Second)
		s.locked(func() { s.isUnavailable = false })
		f.Interrupt()
		synctest.Wait()
		require.Equal(t, "1", h.get("a"))
	})
}

// While other instances send the changes, a paused follower makes no calls to the
// store. After Resume it reads the changes that it missed without a new listing.
func TestNoCallIsMadeDuringAPause(t *testing.T) {
	runFollower(t, func(s *source, h *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		f.Pause()
		synctest.Wait()
		s.set("a", "1")
		time.Sleep(time.Minute)
		require.Empty(t, h.get("a"))
		f.Resume()
		synctest.Wait()
		require.Equal(t, "1", h.get("a"))
		require.Equal(t, 1, h.counts().resets, "the missed changes are read, not a new listing")
	})
}

// During a pause other instances send changes to the target. The watch after the
// pause must begin at the target's position, so that it reads none of them again.
func TestAWatchAfterAPauseStartsAtTheTargetsPosition(t *testing.T) {
	runFollower(t, func(s *source, h *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		f.Pause()
		synctest.Wait()
		s.set("a", "1")
		s.set("b", "1")
		require.NoError(t, h.ApplyChange(follower.Change[string]{After: 1, Position: 2, Items: []item{{Name: "a", Value: "1"}}}))
		before := h.counts().applied
		f.Resume()
		synctest.Wait()
		require.Equal(t, "1", h.get("b"))
		require.Equal(t, before+1, h.counts().applied)
	})
}

func TestIsFailingTracksTheStore(t *testing.T) {
	runFollower(t, func(s *source, _ *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		require.False(t, f.IsFailing())
		s.locked(func() { s.isUnavailable = true })
		s.set("a", "1")
		time.Sleep(time.Second)
		require.True(t, f.IsFailing())
		s.locked(func() { s.isUnavailable = false })
		time.Sleep(2 * time.Second)
		require.False(t, f.IsFailing())
	})
}

// forgetfulSource is a store that never has the changes that are asked for.
type forgetfulSource struct{ lists, watches int }

func (s *forgetfulSource) List(context.Context) ([]item, follower.Position, error) {
	s.lists++
	return nil, 1, nil
}

func (s *forgetfulSource) Watch(context.Context, follower.Position, time.Duration) ([]item, follower.Position, error) {
	s.watches++
	return nil, 0, &follower.HistoryGoneError{Cause: errUnavailable}
}

// Guards against a storm of calls: a store that loses its history again and again is not
// listed without a pause.
func TestLossesOfHistoryInSeriesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &forgetfulSource{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = follower.New(follower.Config[string]{
			Name: "x", Source: s, Target: &target{values: map[string]string{}}, Wait: time.Second, Log: slog.New(slog.DiscardHandler),
		}).Run(ctx)
		require.Less(t, s.lists+s.watches, 60)
	})
}
