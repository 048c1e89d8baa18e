package executor_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
)

// crashingSender simulates servers that crash when they run a request for /poison and
// restart after downFor.
type crashingSender struct {
	*fakeSender
	crashes   int
	downUntil map[string]time.Time
	downFor   time.Duration
}

var errRefused = errors.New("connection refused")

func (c *crashingSender) isDown(server string) bool { return time.Now().Before(c.downUntil[server]) }

func (c *crashingSender) Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if c.isDown(target.Name) {
		return nil, pollencrank.NotRun(pollencrank.ReasonServerUnreachable, "%v", errRefused)
	}
	if request.URI == "/poison" {
		c.crashes++
		c.downUntil[target.Name] = time.Now().Add(c.downFor)
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "connection reset")
	}
	return ok()
}

func (c *crashingSender) Probe(ctx context.Context, target dispatcher.Target) (dispatcher.Health, error) {
	if c.isDown(target.Name) {
		return dispatcher.Health{}, errRefused
	}
	return dispatcher.Health{OK: true}, nil
}

func newCrashingExecutor(servers int, shared *[]isolator.Record, servedElsewhere bool) (*executor.Executor, *crashingSender) {
	sender := &crashingSender{fakeSender: &fakeSender{}, downUntil: map[string]time.Time{}, downFor: 3 * time.Second}
	e := executor.New(executor.Config{
		Sender:          sender,
		Budget:          limiter.NewRetryBudget(limiter.RetryConfig{}),
		ShareSuspect:    func(r isolator.Record) { *shared = append(*shared, r) },
		ServedElsewhere: func(string) bool { return servedElsewhere },
	})
	var list []pollencrank.Server
	for i := range servers {
		list = append(list, pollencrank.Server{Name: string(rune('a' + i)), Workload: "w", Slots: 2})
	}
	e.Assign(executor.Assignment{
		Workloads: []pollencrank.Workload{{Name: "w"}},
		Servers:   list,
		Preset:    pollencrank.Preset{RetryShare: 1, ForeignShare: 1},
	})
	e.Probe(context.Background())
	return e, sender
}

func send(t *testing.T, e *executor.Executor, uri string, idempotent bool) error {
	r := request(idempotent, "")
	r.URI = uri
	answer, err := e.Execute(context.Background(), r)
	if err == nil {
		finish(t, answer)
	}
	return err
}

// A caller that repeats a request that crashes servers must not crash more than two
// servers until its block expires. Other requests are served in the meantime.
func TestARequestThatCrashesServersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shared []isolator.Record
		e, sender := newCrashingExecutor(6, &shared, false)
		const repeats = 30
		for range repeats {
			require.Error(t, send(t, e, "/poison", true))
			require.NoError(t, send(t, e, "/other", true))
			time.Sleep(time.Second)
			e.Probe(context.Background())
		}
		require.Equal(t, 2, sender.crashes)
		require.Len(t, shared, 2)
		require.Equal(t, 2, shared[1].Crashes)
		err := send(t, e, "/poison", true)
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, pollencrank.ReasonCrashesServers, notRun.Reason)
		time.Sleep(isolator.DefaultBlockTTL)
		require.Error(t, send(t, e, "/poison", true))
		require.Greater(t, sender.crashes, 2, "the block expires")
	})
}

// A suspect must not crash the last server of its workload in the region.
func TestSuspectsDoNotRunOnTheLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, servedElsewhere := range []bool{false, true} {
			var shared []isolator.Record
			e, sender := newCrashingExecutor(1, &shared, servedElsewhere)
			require.Error(t, send(t, e, "/poison", false))
			time.Sleep(10 * time.Second)
			e.Probe(context.Background())
			err := send(t, e, "/poison", false)
			if servedElsewhere {
				require.Equal(t, 2, sender.crashes)
				continue
			}
			var notRun *pollencrank.NotRunError
			require.ErrorAs(t, err, &notRun)
			require.Equal(t, pollencrank.ReasonSuspectedOfCrashing, notRun.Reason)
			require.Equal(t, 1, sender.crashes)
		}
	})
}

// A broken connection to a server that still answers probes must not make its request a
// suspect.
func TestABrokenConnectionIsNotACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shared []isolator.Record
		e, sender := newCrashingExecutor(3, &shared, false)
		sender.downFor = 0
		for range 5 {
			require.Error(t, send(t, e, "/poison", false))
		}
		require.Empty(t, shared)
	})
}

// Suspects run one at a time, so that the next crash identifies its cause. Requests that
// were only in flight at a crash are suspects too; an answer ends the suspicion.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requestIsolator := isolator.New(isolator.Config{})
		running, maxRunning := 0, 0
		serve := func() (*pollencrank.Answer, error) {
			running++
			maxRunning = max(maxRunning, running)
			time.Sleep(time.Second)
			running--
			return ok()
		}
		sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": serve, "b": serve}}
		e := executor.New(executor.Config{Sender: sender, Budget: limiter.NewRetryBudget(limiter.RetryConfig{}), Isolator: requestIsolator})
		e.Assign(executor.Assignment{
			Workloads: []pollencrank.Workload{{Name: "w"}},
			Servers:   []pollencrank.Server{{Name: "a", Workload: "w", Slots: 8}, {Name: "b", Workload: "w", Slots: 8}},
			Preset:    pollencrank.Preset{ForeignShare: 1},
		})
		e.Probe(context.Background())
		const suspects = 4
		for i := range suspects {
			r := request(true, "")
			r.URI = string(rune('a' + i))
			requestIsolator.RecordCrash(isolator.Crash{Fingerprint: isolator.FingerprintOf(r, nil), At: time.Now()})
		}
		var wait sync.WaitGroup
		started := time.Now()
		for i := range suspects {
			wait.Go(func() { require.NoError(t, send(t, e, string(rune('a'+i)), true)) })
		}
		wait.Wait()
		require.Equal(t, 1, maxRunning)
		require.Equal(t, suspects*time.Second, time.Since(started))
		require.True(t, requestIsolator.IsEmpty())
	})
}
