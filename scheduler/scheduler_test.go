package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/scheduler"
)

func newPool(policy scheduler.Policy, slots ...int) *scheduler.Pool {
	p := scheduler.New(scheduler.Config{Workload: "catalogue", Policy: policy})
	p.SetServers(servers(slots...))
	return p
}

func servers(slots ...int) []scheduler.Server {
	var list []scheduler.Server
	for i, n := range slots {
		list = append(list, scheduler.Server{Name: fmt.Sprintf("server-%d", i), Slots: n})
	}
	return list
}

func slotRequest(rank pollencrank.Rank, timeout time.Duration) scheduler.SlotRequest {
	return scheduler.SlotRequest{Rank: rank, Caller: "caller", Deadline: time.Now().Add(timeout)}
}

// reasonOf returns the reason of a refusal.
func reasonOf(t require.TestingT, err error) pollencrank.Reason {
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	return notRun.Reason
}

// poolModel drives a pool with random acquisitions, releases and changes of its
// servers, in virtual time.
type poolModel struct {
	pool   *scheduler.Pool
	slots  map[string]int
	mu     sync.Mutex
	grants []*scheduler.Grant
	wait   sync.WaitGroup
}

func (m *poolModel) arrive(t *rapid.T) {
	request := scheduler.SlotRequest{
		Rank:     pollencrank.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		Deadline: time.Now().Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "timeout")) * time.Millisecond),
		Avoid:    rapid.SampledFrom([]string{"", "server-0"}).Draw(t, "avoid"),
		Foreign:  rapid.Bool().Draw(t, "foreign"),
	}
	m.wait.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		defer cancel()
		grant, err := m.pool.Acquire(ctx, request)
		if err != nil {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.grants = append(m.grants, grant)
	})
}

func (m *poolModel) release(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
	m.grants[i].Release()
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
}

func (m *poolModel) resize(t *rapid.T) {
	var slots []int
	for range rapid.IntRange(0, 3).Draw(t, "servers") {
		slots = append(slots, rapid.IntRange(0, 4).Draw(t, "slots"))
	}
	list := servers(slots...)
	m.slots = map[string]int{}
	for _, s := range list {
		m.slots[s.Name] = s.Slots
	}
	m.pool.SetServers(list)
}

// check fails if a server has more requests than slots, unless its number of
// slots was reduced while they ran, or if slots are idle while requests wait.
// lastHeld holds the number of requests of each server at the last check that
// found any.
func (m *poolModel) check(t *rapid.T, lastHeld map[string]int) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	held := map[string]int{}
	for _, g := range m.grants {
		held[g.Server]++
	}
	for name, n := range held {
		require.LessOrEqual(t, n, max(m.slots[name], lastHeld[name]), "server %s", name)
		lastHeld[name] = n
	}
	load := m.pool.Load()
	if load.Waiting > 0 {
		free := 0
		for name, slots := range m.slots {
			free += max(0, slots-held[name])
		}
		require.Zero(t, free, "slots idle while %d requests wait", load.Waiting)
	}
}

// No sequence of acquisitions, releases and changes of servers exceeds a
// server's slots, or leaves a slot idle while requests wait.
func TestPoolNeverOvercommitsNorIdles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := &poolModel{pool: newPool(scheduler.Policy{ForeignShare: 0.5, MaxWaiting: 8})}
			lastHeld := map[string]int{}
			m.resize(rt)
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				switch rapid.IntRange(0, 9).Draw(rt, "step") {
				case 0:
					m.resize(rt)
				case 1, 2, 3:
					m.release(rt)
				case 4:
					time.Sleep(5 * time.Millisecond)
				default:
					m.arrive(rt)
				}
				m.check(rt, lastHeld)
			}
			time.Sleep(time.Second)
			m.wait.Wait()
		})
	})
}

// runLoad keeps requests of the given ranks waiting for 20 s and returns how many
// requests of each rank were served.
func runLoad(policy scheduler.Policy, service time.Duration, ranks ...pollencrank.Rank) map[pollencrank.Rank]int {
	const callers, runTime = 20, 20 * time.Second
	pool := newPool(policy, 4, 4)
	served := map[pollencrank.Rank]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(runTime)
	for _, rank := range ranks {
		for c := range callers {
			wait.Go(func() {
				for time.Now().Before(end) {
					request := scheduler.SlotRequest{Rank: rank, Caller: fmt.Sprint(c), Deadline: time.Now().Add(time.Hour)}
					grant, err := pool.Acquire(context.Background(), request)
					if err != nil {
						time.Sleep(service)
						continue
					}
					time.Sleep(service)
					grant.Release()
					mu.Lock()
					served[rank]++
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	return served
}

func TestUrgentWorkIsServedFirstAndFloorsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := scheduler.Policy{MaxWaiting: 100}
		policy.Floors[pollencrank.RankOrdinary] = 0.2
		policy.Floors[pollencrank.RankBackground] = 0.05
		ranks := pollencrank.Ranks()
		served := runLoad(policy, 10*time.Millisecond, ranks[:]...)
		total := float64(served[0] + served[1] + served[2])
		require.InDelta(t, 0.75, float64(served[pollencrank.RankUrgent])/total, 0.02)
		require.InDelta(t, 0.20, float64(served[pollencrank.RankOrdinary])/total, 0.02)
		require.InDelta(t, 0.05, float64(served[pollencrank.RankBackground])/total, 0.02)
	})
}

func TestWithoutAFloorUrgentWorkGetsAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := runLoad(scheduler.Policy{MaxWaiting: 100}, 10*time.Millisecond, pollencrank.RankUrgent, pollencrank.RankBackground)
		require.Greater(t, served[pollencrank.RankUrgent], 100*max(1, served[pollencrank.RankBackground]))
	})
}

// A request is not delayed until all waiting requests of another caller have been
// served.
func TestCallersOfARankTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(scheduler.Policy{MaxWaiting: 100}, 1)
		first, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
		require.NoError(t, err)
		var order []string
		var mu sync.Mutex
		var wait sync.WaitGroup
		for i, caller := range []string{"greedy", "greedy", "greedy", "greedy", "modest"} {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				grant, err := pool.Acquire(context.Background(), scheduler.SlotRequest{Caller: caller, Deadline: time.Now().Add(time.Hour)})
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, caller)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				grant.Release()
			})
		}
		time.Sleep(10 * time.Millisecond)
		first.Release()
		wait.Wait()
		require.Equal(t, []string{"greedy", "modest", "greedy", "greedy", "greedy"}, order)
	})
}

func TestAFullQueueFavoursCallersWithFewWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(scheduler.Policy{MaxWaiting: 3}, 1)
		_, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
		require.NoError(t, err)
		refused := make(chan error, 4)
		for range 3 {
			go func() {
				_, err := pool.Acquire(context.Background(), scheduler.SlotRequest{Caller: "greedy", Deadline: time.Now().Add(time.Hour)})
				refused <- err
			}()
		}
		synctest.Wait()
		go func() {
			_, _ = pool.Acquire(context.Background(), scheduler.SlotRequest{Caller: "modest", Deadline: time.Now().Add(time.Hour)})
		}()
		synctest.Wait()
		require.Equal(t, pollencrank.ReasonQueueFull, reasonOf(t, <-refused))
		_, err = pool.Acquire(context.Background(), scheduler.SlotRequest{Caller: "greedy", Deadline: time.Now().Add(time.Hour)})
		require.Equal(t, pollencrank.ReasonQueueFull, reasonOf(t, err))
		pool.Close()
	})
}

// A request that cannot be served before its deadline is refused on arrival,
// not after waiting.
func TestRefusesAtOnceARequestThatCannotMeetItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(scheduler.Policy{MaxWaiting: 100}, 1)
		for range 3 {
			grant, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			grant.Release()
		}
		_, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
		require.NoError(t, err)
		go func() { _, _ = pool.Acquire(context.Background(), slotRequest(0, time.Hour)) }()
		synctest.Wait()
		before := time.Now()
		_, err = pool.Acquire(context.Background(), slotRequest(0, 150*time.Millisecond))
		require.Equal(t, pollencrank.ReasonDeadlineTooNear, reasonOf(t, err))
		require.Equal(t, before, time.Now(), "refused without waiting")
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.True(t, notRun.RetryAt.After(before))
		pool.Close()
	})
}

func TestAWaiterIsRemovedWhenItsContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(scheduler.Policy{}, 1)
		grant, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() {
			_, err := pool.Acquire(ctx, slotRequest(0, time.Hour))
			done <- err
		}()
		synctest.Wait()
		cancel()
		require.Equal(t, pollencrank.ReasonCallerGone, reasonOf(t, <-done))
		require.Zero(t, pool.Load().Waiting)
		grant.Release()
		grant.Release()
		require.Zero(t, pool.Load().Busy, "a slot is freed once")
	})
}

func TestForeignRequestsAreLimitedToTheirShare(t *testing.T) {
	pool := newPool(scheduler.Policy{ForeignShare: 0.25}, 4, 4)
	foreign := slotRequest(0, time.Hour)
	foreign.Foreign = true
	for range 2 {
		_, err := pool.Acquire(context.Background(), foreign)
		require.NoError(t, err)
	}
	_, err := pool.Acquire(context.Background(), foreign)
	require.Equal(t, pollencrank.ReasonNoServer, reasonOf(t, err))
	_, err = pool.Acquire(context.Background(), slotRequest(0, time.Hour))
	require.NoError(t, err)
}

func TestARetryAvoidsTheServerItTried(t *testing.T) {
	pool := newPool(scheduler.Policy{}, 4, 4, 4)
	request := slotRequest(0, time.Hour)
	request.Avoid = "server-1"
	for range 8 {
		grant, err := pool.Acquire(context.Background(), request)
		require.NoError(t, err)
		require.NotEqual(t, "server-1", grant.Server)
	}
}

func TestWaitersAreRefusedWhenTheLastServerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(scheduler.Policy{}, 1)
		_, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
		require.NoError(t, err)
		done := make(chan error)
		go func() {
			_, err := pool.Acquire(context.Background(), slotRequest(0, time.Hour))
			done <- err
		}()
		synctest.Wait()
		pool.SetServers(nil)
		require.Equal(t, pollencrank.ReasonNoServer, reasonOf(t, <-done))
	})
}

// BenchmarkAcquire measures one decision, with callers on 6 cores, for different
// numbers of servers and of waiting requests.
func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{14, 100, 1000} {
		for _, waiting := range []int{0, 8, 64, 512} {
			b.Run(fmt.Sprintf("servers=%d/waiting=%d", count, waiting), func(b *testing.B) {
				benchmarkAcquire(b, count, waiting)
			})
		}
	}
}

func benchmarkAcquire(b *testing.B, count, waiting int) {
	slots := make([]int, count)
	for i := range slots {
		slots[i] = 4
	}
	pool := newPool(scheduler.Policy{MaxWaiting: waiting + 1, ForeignShare: 1}, slots...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if waiting > 0 {
		fillQueue(ctx, pool, 4*count, waiting)
	}
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		caller := fmt.Sprint(rand.IntN(100))
		for pb.Next() {
			rank := pollencrank.RankBackground
			if waiting > 0 {
				// The queue of the urgent rank is full, so the decision is a
				// refusal.
				rank = pollencrank.RankUrgent
			}
			grant, err := pool.Acquire(ctx, scheduler.SlotRequest{Rank: rank, Caller: caller, Deadline: deadline})
			if err == nil {
				grant.Release()
			}
		}
	})
}

// fillQueue acquires every slot and queues requests of many callers.
func fillQueue(ctx context.Context, pool *scheduler.Pool, slots, waiting int) {
	deadline := time.Now().Add(time.Hour)
	for range slots {
		_, _ = pool.Acquire(ctx, scheduler.SlotRequest{Deadline: deadline})
	}
	for i := range waiting + 1 {
		go func() {
			_, err := pool.Acquire(ctx, scheduler.SlotRequest{Caller: fmt.Sprint(i % 100), Deadline: deadline})
			var notRun *pollencrank.NotRunError
			if err != nil && !errors.As(err, &notRun) {
				panic(err)
			}
		}()
	}
	for pool.Load().Waiting <= waiting {
		runtime.Gosched()
	}
}

// A queue that was recently empty accepts a burst; one that stays non-empty for
// longer is overloaded and accepts fewer waiters, so that they wait less.
func TestAnOverloadedQueueIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, burst = 8, 30
		pool := newPool(scheduler.Policy{ForeignShare: 1}, slots)
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		arrive := func() {
			wait.Go(func() { _, _ = pool.Acquire(ctx, slotRequest(pollencrank.RankOrdinary, time.Minute)) })
			synctest.Wait()
		}
		for range slots + burst {
			arrive()
		}
		require.Equal(t, burst, pool.Load().Waiting, "a burst waits")
		time.Sleep(time.Second)
		_, err := pool.Acquire(ctx, scheduler.SlotRequest{Rank: pollencrank.RankOrdinary, Caller: "caller", Deadline: time.Now().Add(time.Minute)})
		require.Equal(t, pollencrank.ReasonQueueFull, reasonOf(t, err))
		cancel()
		wait.Wait()
	})
}
