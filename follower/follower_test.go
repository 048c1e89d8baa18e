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

// source is a stand-in of a collection of the store on virtual time.
type source struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]string
	changes  []item
	changed  chan struct{}
	// isAway fails every call, isSilent answers none, hasForgotten loses the
	// history once.
	isAway, isSilent, hasForgotten bool
	lists                          int
	// lastWait is the wait of the last watch, firstWait that of the first one
	// after lastWait was set to zero.
	lastWait, firstWait time.Duration
}

func newSource() *source {
	return &source{revision: 1, items: map[string]string{}, changed: make(chan struct{})}
}

var errAway = errors.New("away")

func (s *source) set(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[name] = value
	s.changes = append(s.changes, item{Name: name, Revision: s.revision, Value: value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) with(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *source) List(context.Context) ([]item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return nil, 0, errAway
	}
	s.lists++
	var items []item
	for name, value := range s.items {
		items = append(items, item{Name: name, Value: value})
	}
	return items, s.revision, nil
}

func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) ([]item, uint64, error) {
	deadline := time.After(wait)
	s.with(func() {
		if s.lastWait == 0 {
			s.firstWait = wait
		}
		s.lastWait = wait
	})
	for {
		s.mu.Lock()
		changed, silent := s.changed, s.isSilent
		if s.hasForgotten {
			s.hasForgotten = false
			s.mu.Unlock()
			return nil, 0, &follower.HistoryGoneError{Cause: errAway}
		}
		if s.isAway {
			s.mu.Unlock()
			return nil, 0, errAway
		}
		if s.revision > after && !silent {
			var news []item
			for _, c := range s.changes {
				if c.Revision > after {
					news = append(news, c)
				}
			}
			defer s.mu.Unlock()
			return news, s.revision, nil
		}
		s.mu.Unlock()
		if silent {
			// The store took the call and will never answer it.
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

// target keeps what it is handed.
type target struct {
	mu       sync.Mutex
	isKnown  bool
	position uint64
	values   map[string]string
	resets   int
	// gone and applied count losses of history and batches of changes.
	gone, applied int
}

func (h *target) Position() (uint64, bool) {
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

// counts is what a target was told.
type counts struct{ resets, gone, applied int }

func (h *target) counts() counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return counts{resets: h.resets, gone: h.gone, applied: h.applied}
}

func (h *target) historyGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone++
}

func (h *target) get(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[name]
}

// follow runs a follower in a bubble until the test function returns.
func follow(t *testing.T, test func(s *source, h *target, f *follower.Follower[string])) {
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
	follow(t, func(s *source, h *target, _ *follower.Follower[string]) {
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
	follow(t, func(s *source, h *target, _ *follower.Follower[string]) {
		s.set("a", "1")
		time.Sleep(time.Second)
		s.with(func() { s.isAway = true })
		s.set("a", "2")
		time.Sleep(30 * time.Second)
		require.Equal(t, "1", h.get("a"))
		s.with(func() { s.isAway = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", h.get("a"))
		require.Equal(t, 1, h.counts().resets, "the changes are read, not everything")
	})
}

func TestLostHistoryIsListedAnew(t *testing.T) {
	follow(t, func(s *source, h *target, _ *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.with(func() { s.hasForgotten = true; s.items["b"] = "2" })
		s.set("a", "1")
		time.Sleep(time.Second)
		require.Equal(t, "2", h.get("b"))
		require.Equal(t, 2, h.counts().resets)
		require.Equal(t, 1, h.counts().gone, "the other watches may have been forgotten too")
	})
}

func TestABurstOfChangesCostsFewCalls(t *testing.T) {
	follow(t, func(s *source, h *target, _ *follower.Follower[string]) {
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

// A call that the store never answers must not keep a follower from noticing
// that the store is back.
func TestAfterAFailureTheNextCallIsShort(t *testing.T) {
	follow(t, func(s *source, h *target, _ *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.with(func() { s.isAway = true })
		s.set("b", "1")
		time.Sleep(5 * time.Second)
		s.with(func() { s.isAway, s.lastWait = false, 0 })
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", h.get("b"))
		s.with(func() { require.LessOrEqual(t, s.firstWait, time.Second) })
	})
}

// A watch that the store forgot would wait for ever without Interrupt.
func TestInterruptRenewsAForgottenWatch(t *testing.T) {
	follow(t, func(s *source, h *target, f *follower.Follower[string]) {
		s.with(func() { s.isSilent = true })
		time.Sleep(time.Second)
		s.set("a", "1")
		s.with(func() { s.isSilent = false })
		time.Sleep(time.Minute)
		require.Empty(t, h.get("a"))
		f.Interrupt()
		time.Sleep(time.Second)
		require.Equal(t, "1", h.get("a"))
	})
}

// Another call has shown that the store is back: the pause after a failure, or a
// call that hangs, need not come to its end first.
func TestInterruptEndsThePauseAfterAFailure(t *testing.T) {
	follow(t, func(s *source, h *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		s.with(func() { s.isAway = true })
		s.set("a", "1")
		time.Sleep(10 * time.Second)
		s.with(func() { s.isAway = false })
		f.Interrupt()
		synctest.Wait()
		require.Equal(t, "1", h.get("a"))
	})
}

// While others tell the instance what is new, it need not watch.
func TestAPauseSavesTheWatches(t *testing.T) {
	follow(t, func(s *source, h *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		f.Pause()
		synctest.Wait()
		s.set("a", "1")
		time.Sleep(time.Minute)
		require.Empty(t, h.get("a"))
		f.Resume()
		synctest.Wait()
		require.Equal(t, "1", h.get("a"))
		require.Equal(t, 1, h.counts().resets, "what came meanwhile is read, not everything")
	})
}

// Others have told what came during the pause.
func TestAWatchBeginsWhereOthersLeftOff(t *testing.T) {
	follow(t, func(s *source, h *target, f *follower.Follower[string]) {
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

func TestAFollowerTellsWhenTheStoreFailsAndAnswers(t *testing.T) {
	follow(t, func(s *source, _ *target, f *follower.Follower[string]) {
		time.Sleep(time.Second)
		require.False(t, f.IsFailing())
		s.with(func() { s.isAway = true })
		s.set("a", "1")
		time.Sleep(time.Second)
		require.True(t, f.IsFailing())
		s.with(func() { s.isAway = false })
		time.Sleep(2 * time.Second)
		require.False(t, f.IsFailing())
	})
}
