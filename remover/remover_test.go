package remover_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/remover"
)

var errNoAnswer = errors.New("no answer")

// store is a fake of the instances' entries, with what one instance knows of them.
type store struct {
	mu            sync.Mutex
	positions     map[string]follower.Position
	dead          []remover.Death
	isUnavailable bool
	// fails makes every call fail.
	fails bool
	// isExecutedUnanswered makes failing calls remove the entry all the same.
	isExecutedUnanswered bool
	// isAlive says that all instances answer; checks is how often that was asked.
	isAlive bool
	checks  int
	// calls are the times of the calls after the start.
	calls []time.Duration
	start time.Time
}

func (s *store) Remove(_ context.Context, id string, position follower.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Since(s.start))
	if s.positions[id] == position && (!s.fails || s.isExecutedUnanswered) {
		delete(s.positions, id)
	}
	if s.fails {
		return errNoAnswer
	}
	return nil
}

func (s *store) deaths() []remover.Death {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []remover.Death
	for _, d := range s.dead {
		if _, isListed := s.positions[d.ID]; isListed {
			listed = append(listed, d)
		}
	}
	return listed
}

func (s *store) positionOf(i namer.Instance) (follower.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, isListed := s.positions[i.ID]
	return position, isListed
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnavailable
}

// reaches stands for a probe; one without an answer takes checkTimeout.
func (s *store) reaches(_ context.Context, _ namer.Instance) bool {
	s.mu.Lock()
	s.checks++
	isAlive := s.isAlive
	s.mu.Unlock()
	if !isAlive {
		time.Sleep(checkTimeout)
	}
	return isAlive
}

// change changes the state of the fake.
func (s *store) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
}

// seen returns the number of entries and the times of the calls.
func (s *store) seen() (entries int, calls []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.positions), append([]time.Duration(nil), s.calls...)
}

const (
	// offRound is how long after the rounds a test changes the state and looks at it.
	offRound = 50 * time.Millisecond
	// checkTimeout is how long a dead instance is waited for.
	checkTimeout = 500 * time.Millisecond
)

// run runs a Remover of which n instances are dead, all at the given turn.
func run(t *testing.T, n, turn int, test func(s *store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &store{positions: map[string]follower.Position{}, start: time.Now()}
		for i := range n {
			id := fmt.Sprintf("entry-%03d", i)
			s.positions[id] = 7
			s.dead = append(s.dead, remover.Death{Instance: namer.Instance{ID: id, Incarnation: 1}, Turn: turn})
		}
		r := remover.New(remover.Config{
			Registry: s, Dead: s.deaths, Position: s.positionOf, IsAlive: s.reaches, IsStoreUnavailable: s.isAway, Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		// Nothing is changed or looked at in the moment of a round.
		time.Sleep(offRound)
		test(s)
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}

// Guards against an entry that stays because the store was away when its instance died.
func TestAnEntryIsRemovedWhenTheStoreReturns(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.isUnavailable = true })
		time.Sleep(time.Minute)
		entries, calls := s.seen()
		require.Equal(t, 1, entries)
		require.Empty(t, calls, "a store that is away is not called")
		s.change(func() { s.isUnavailable = false })
		time.Sleep(time.Second)
		entries, calls = s.seen()
		require.Zero(t, entries)
		require.Len(t, calls, 1)
	})
}

// Guards against an entry that stays because one call failed.
func TestARemovalThatFailsIsRepeated(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.fails = true })
		time.Sleep(10 * time.Second)
		_, calls := s.seen()
		require.Greater(t, len(calls), 8)
		require.Less(t, len(calls), 26, "repeats are paced")
		s.change(func() { s.fails = false })
		time.Sleep(2 * time.Second)
		entries, _ := s.seen()
		require.Zero(t, entries)
	})
}

// Guards against repeats of a call that was executed although its answer was lost.
func TestARemovalWhoseAnswerIsLostIsNotRepeated(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.fails, s.isExecutedUnanswered = true, true })
		time.Sleep(10 * time.Second)
		_, calls := s.seen()
		require.Len(t, calls, 1)
	})
}

// Guards against a call of every instance that knows of a death, where one is enough, also
// after an outage.
func TestInstancesTakeTurns(t *testing.T) {
	const turn = 4
	run(t, 1, turn, func(s *store) {
		time.Sleep(time.Second)
		_, calls := s.seen()
		require.Empty(t, calls, "others come first")
		s.change(func() { s.isUnavailable = true })
		time.Sleep(time.Minute)
		s.change(func() { s.isUnavailable = false })
		time.Sleep(900 * time.Millisecond)
		_, calls = s.seen()
		require.Empty(t, calls, "others come first when the store is back, too")
		time.Sleep(1100 * time.Millisecond)
		_, calls = s.seen()
		require.Len(t, calls, 1, "the others have not done it")
	})
}

// Guards against the removal of an entry that its instance wrote again: it may be alive, and
// is removed only if it answers no probe after that.
func TestAnEntryThatIsWrittenAgainGetsTimeToProveItself(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.fails = true })
		time.Sleep(300 * time.Millisecond)
		s.change(func() { s.positions["entry-000"] = 8; s.fails = false })
		time.Sleep(2500 * time.Millisecond)
		entries, _ := s.seen()
		require.Equal(t, 1, entries)
		time.Sleep(2 * time.Second)
		entries, _ = s.seen()
		require.Zero(t, entries)
	})
}

// Guards against a removal that goes on after the instance has answered.
func TestAnInstanceThatAnswersKeepsItsEntry(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.isUnavailable = true })
		time.Sleep(time.Minute)
		s.change(func() { s.dead = nil; s.isUnavailable = false })
		time.Sleep(time.Minute)
		entries, calls := s.seen()
		require.Equal(t, 1, entries)
		require.Empty(t, calls)
	})
}

// Guards against the removal of live instances' entries by one that was cut off from them, or
// still is: their deaths are old news, or known here only.
func TestAnInstanceThatIsReachedKeepsItsEntry(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		s.change(func() { s.isUnavailable = true })
		time.Sleep(time.Minute)
		s.change(func() { s.isUnavailable, s.isAlive = false, true })
		time.Sleep(time.Minute)
		entries, calls := s.seen()
		require.Equal(t, 1, entries)
		require.Empty(t, calls)
		var checks int
		s.change(func() { checks, s.isAlive = s.checks, false })
		require.LessOrEqual(t, checks, 6, "checks are paced")
		time.Sleep(time.Minute)
		entries, _ = s.seen()
		require.Zero(t, entries, "it has ended since")
	})
}

// Guards against an instance that reaches nobody but the store, and takes live instances out of
// the look-ups of all others again and again.
func TestAnEntryThatIsWrittenAgainAndAgainIsRemovedSeldom(t *testing.T) {
	const (
		span   = 2 * time.Minute
		absent = time.Second
	)
	run(t, 1, 0, func(s *store) {
		for range int(span / absent) {
			time.Sleep(absent)
			s.change(func() {
				if len(s.positions) == 0 {
					s.positions["entry-000"] = follower.Position(8 + len(s.calls))
				}
			})
		}
		_, calls := s.seen()
		require.GreaterOrEqual(t, len(calls), 2, "the first ones cannot know")
		require.LessOrEqual(t, len(calls), 5)
	})
}

// Guards against an instance that is taken for its earlier start, which was removed.
func TestALaterStartIsRemovedAtOnce(t *testing.T) {
	run(t, 1, 0, func(s *store) {
		time.Sleep(time.Second)
		s.change(func() {
			s.positions["entry-000"] = 8
			s.dead[0].Incarnation = 2
		})
		time.Sleep(time.Second)
		entries, calls := s.seen()
		require.Zero(t, entries)
		require.Len(t, calls, 2)
	})
}

// Guards against a burst of calls when the store returns and a whole failure domain has died.
func TestManyEntriesAreRemovedAFewAtATime(t *testing.T) {
	const n = 43
	run(t, n, 0, func(s *store) {
		time.Sleep(3 * time.Second)
		entries, calls := s.seen()
		require.Zero(t, entries)
		require.Len(t, calls, n)
		for i := range calls {
			inSecond := 0
			for _, at := range calls[i:] {
				if at < calls[i]+time.Second {
					inSecond++
				}
			}
			require.LessOrEqual(t, inSecond, 40)
		}
	})
}
