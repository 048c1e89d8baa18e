package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// crowded is a load that delays a request a little too long for its objective.
const crowded = 8

// newCrowdedSystem returns an instance whose only server has requests of other instances.
func newCrowdedSystem(t testing.TB, load int) *system {
	s := newSystem(t)
	s.setServers(server("n-1", "north"))
	s.registrar.Find("n-1").RecordLoad(min(load, 2), max(load-2, 0), time.Now())
	return s
}

// requireNothingWaits checks that every wait has left the queue.
func (s *system) requireNothingWaits(t *testing.T) {
	t.Helper()
	queued, counted := s.Waiting()
	require.Zero(t, queued)
	require.Zero(t, counted)
}

// forwardTenant forwards a request of a tenant.
func (s *system) forwardTenant(ctx context.Context, id string) (*forwarder.Call, error) {
	call := s.newCall(id, "17", "/x")
	call.Tenant = &router.Tenant{Name: "t"}
	answer, err := s.Forward(ctx, call)
	if err == nil {
		_ = answer.Body.Close()
	}
	return call, err
}

// Where neither tenants compete nor servers tell the pace of their machines, a request is
// refused by the same rule as before, and never waits.
func TestWithoutTenantsAndPaceNothingChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		load := rapid.IntRange(0, 40).Draw(rt, "load")
		priority := rapid.IntRange(0, 3).Draw(rt, "priority")
		objective := time.Duration(rapid.IntRange(0, 8).Draw(rt, "objective")) * 100 * time.Millisecond
		timeout := time.Duration(rapid.IntRange(1, 20).Draw(rt, "timeout")) * 100 * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			s := newCrowdedSystem(t, load)
			s.route.Priority, s.route.LatencyObjective, s.callerTimeout = priority, objective, timeout
			usual := objective / 3
			if objective == 0 {
				usual = 100 * time.Millisecond
			}
			wait := time.Duration(float64(max(0, load+1-2)) / 2 * float64(usual))
			expected := forwarder.NewDistances("north").To(forwarder.Location{Region: "north", FailureDomain: "north-a"}) + usual + wait
			most := timeout
			if priority > 0 && objective > 0 {
				most = min(most, objective*3/2)
			}
			started := time.Now()
			_, err := s.forwardRequest(t.Context(), "17")
			require.Equal(t, wait > 0 && expected > most, err != nil)
			require.Equal(t, started, time.Now())
			var notRun *pollencrank.NotRunError
			if errors.As(err, &notRun) {
				require.Equal(t, pollencrank.ReasonQueueFull, notRun.Reason)
				pause := min(max(wait, 150*time.Millisecond), 1500*time.Millisecond)
				require.WithinRange(t, notRun.RetryAt, started.Add(pause/2), started.Add(pause*3/2))
			}
		})
	})
}

// A request stays under the rule with which it began while its service starts to tell its pace.
func TestAServiceThatStartsToTellItsPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrowdedSystem(t, 0)
		asked := 0
		s.tellsPace = func() bool {
			asked++
			return asked > 1
		}
		_, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
	})
}

func TestARequestWaitsForRoomNoLongerThanThatIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrowdedSystem(t, crowded)
		time.AfterFunc(5*time.Millisecond, func() { s.registrar.Find("n-1").RecordLoad(2, 20, time.Now()) })
		started := time.Now()
		_, err := s.forwardTenant(t.Context(), "a")
		require.True(t, pollencrank.IsNotRun(err))
		require.Equal(t, s.route.LatencyObjective/10, time.Since(started))
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, pollencrank.ReasonQueueFull, notRun.Reason)
		require.WithinRange(t, notRun.RetryAt, time.Now().Add(150*time.Millisecond), started.Add(s.callerTimeout/2))
		require.Empty(t, s.sender.sent)
		s.requireNothingWaits(t)
	})
}

func TestARequestIsRefusedAtOnceIfThereWillBeNoRoomInTime(t *testing.T) {
	for _, load := range []int{12, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			s := newCrowdedSystem(t, load)
			started := time.Now()
			_, err := s.forwardTenant(t.Context(), "a")
			require.True(t, pollencrank.IsNotRun(err))
			require.Equal(t, started, time.Now())
		})
	}
}

// An answer with which the server tells that it has room wakes the request that waits.
func TestAnAnswerWakesARequestThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrowdedSystem(t, 0)
		backend := s.registrar.Find("n-1")
		s.sender.reply = func(server string, n int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			if n == 1 {
				time.Sleep(20 * time.Millisecond)
				backend.RecordLoad(1, 0, time.Now())
			}
			return soundAnswer(server, request), nil
		}
		go func() { _, _ = s.forwardTenant(t.Context(), "first") }()
		synctest.Wait()
		backend.RecordLoad(2, crowded-2, time.Now())
		started := time.Now()
		call, err := s.forwardTenant(t.Context(), "second")
		require.NoError(t, err)
		require.Equal(t, started.Add(20*time.Millisecond), call.Course.FirstSentAt)
		s.requireNothingWaits(t)
	})
}

// A request that may not wait although others may is told when to come back like any other.
func TestARequestThatIsNotHeldMayComeBackLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := map[time.Time]bool{}
		for range 3 {
			s := newCrowdedSystem(t, crowded)
			s.EndWaits()
			_, err := s.forwardTenant(t.Context(), "a")
			var notRun *pollencrank.NotRunError
			require.ErrorAs(t, err, &notRun)
			require.Contains(t, notRun.Error(), "(held)")
			require.WithinRange(t, notRun.RetryAt, time.Now().Add(150*time.Millisecond), time.Now().Add(s.callerTimeout/2))
			times[notRun.RetryAt] = true
		}
		require.Greater(t, len(times), 1)
	})
}

// A woken request that goes to another server leaves the waking server to the next one.
func TestARequestThatIsSentElsewherePassesTheRoomOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		servers := []registrar.Server{server("n-1", "south"), server("n-2", "north")}
		for i := range servers {
			servers[i].Slots = 20
		}
		s.setServers(servers...)
		far, near := s.registrar.Find("n-1"), s.registrar.Find("n-2")
		s.sender.reply = func(server string, n int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			time.Sleep(20 * time.Millisecond)
			if n == 1 {
				far.RecordLoad(1, 0, time.Now())
				near.RecordLoad(1, 0, time.Now())
			}
			return soundAnswer(server, request), nil
		}
		near.RecordLoad(20, 200, time.Now())
		go func() { _, _ = s.forwardTenant(t.Context(), "first") }()
		synctest.Wait()
		far.RecordLoad(20, 67, time.Now())
		near.RecordLoad(20, 67, time.Now())
		started := time.Now()
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				call, err := s.forwardTenant(t.Context(), "waits")
				require.NoError(t, err)
				require.Equal(t, started.Add(20*time.Millisecond), call.Course.FirstSentAt)
			})
		}
		calls.Wait()
		require.Equal(t, []string{"n-1", "n-2", "n-2"}, s.sender.sent)
		s.requireNothingWaits(t)
	})
}

func TestACallerThatLeavesAndAPlannedStopEndTheWait(t *testing.T) {
	for name, end := range map[string]func(s *system, leave context.CancelFunc){
		"a caller that leaves": func(_ *system, leave context.CancelFunc) { leave() },
		"a planned stop": func(s *system, _ context.CancelFunc) {
			s.registrar.Find("n-1").RecordLoad(2, 20, time.Now())
			s.EndWaits()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrowdedSystem(t, crowded)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				started := time.Now()
				time.AfterFunc(5*time.Millisecond, func() { end(s, leave) })
				_, err := s.forwardTenant(ctx, "a")
				require.True(t, pollencrank.IsNotRun(err))
				require.Equal(t, 5*time.Millisecond, time.Since(started))
				s.requireNothingWaits(t)
			})
		})
	}
}

// What a server sheds does not count for the fair share of the tenant.
func TestWhatIsShedIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrowdedSystem(t, 0)
		isShed, queued := true, 0
		s.sender.reply = func(id string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			if isShed {
				return nil, shed(id)
			}
			time.Sleep(100 * time.Millisecond)
			return soundAnswer(id, request), nil
		}
		forward := func(tenant string) error {
			time.Sleep(200 * time.Millisecond)
			s.registrar.Find("n-1").RecordLoad(0, queued, time.Now())
			call := s.newCall("a", "17", "/x")
			call.Tenant = &router.Tenant{Name: tenant}
			_, err := s.Forward(t.Context(), call)
			return err
		}
		for range 10 {
			require.Error(t, forward("first"))
		}
		require.Len(t, s.sender.sent, 10)
		isShed = false
		for range 3 {
			require.NoError(t, forward("second"))
		}
		queued = 16
		for range 20 {
			require.Error(t, forward("second"))
		}
		require.ErrorContains(t, forward("first"), "(objective)")
	})
}

// Callers of requests that full servers have refused come back at different times.
func TestCallersThatServersTurnAwayComeBackAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.sender.reply = func(server string, _ int, _ *pollencrank.Request) (*pollencrank.Answer, error) {
			return nil, shed(server)
		}
		times := map[time.Time]bool{}
		for range 3 {
			_, err := s.forwardTenant(t.Context(), "a")
			var notRun *pollencrank.NotRunError
			require.ErrorAs(t, err, &notRun)
			if notRun.Reason == pollencrank.ReasonAllShed {
				require.WithinRange(t, notRun.RetryAt, time.Now().Add(150*time.Millisecond), time.Now().Add(s.callerTimeout/2))
				times[notRun.RetryAt] = true
			}
		}
		require.Greater(t, len(times), 1)
	})
}

// Of many requests at once, each is answered or is refused truly, and at least what there are
// slots for is answered within the objective.
func TestManyRequestsShareTheRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrowdedSystem(t, 0)
		backend := s.registrar.Find("n-1")
		s.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			time.Sleep(100 * time.Millisecond)
			backend.RecordLoad(1, 0, time.Now())
			return soundAnswer(server, request), nil
		}
		var calls sync.WaitGroup
		var answered atomic.Int64
		for i := range 200 {
			time.Sleep(2 * time.Millisecond)
			calls.Go(func() {
				_, err := s.forwardTenant(t.Context(), fmt.Sprint("request-", i))
				if err == nil {
					answered.Add(1)
				} else {
					require.True(t, pollencrank.IsNotRun(err))
				}
			})
		}
		calls.Wait()
		require.Len(t, s.sender.sent, int(answered.Load()), "what was refused has not been sent")
		require.GreaterOrEqual(t, answered.Load(), int64(8))
		require.Less(t, answered.Load(), int64(200))
	})
}
