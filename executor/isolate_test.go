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

// crashingSender is servers that die of requests for /poison and come back after
// a while.
type crashingSender struct {
	*fakeSender
	deaths  int
	back    map[string]time.Time
	downFor time.Duration
}

var errRefused = errors.New("connection refused")

func (c *crashingSender) isDown(server string) bool { return time.Now().Before(c.back[server]) }

func (c *crashingSender) Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if c.isDown(target.Name) {
		return nil, pollencrank.NotRun(pollencrank.ReasonServerUnreachable, "%v", errRefused)
	}
	if request.URI == "/poison" {
		c.deaths++
		c.back[target.Name] = time.Now().Add(c.downFor)
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

func newCrashing(servers int, shared *[]isolator.Record, elsewhere bool) (*executor.Executor, *crashingSender) {
	sender := &crashingSender{fakeSender: &fakeSender{}, back: map[string]time.Time{}, downFor: 3 * time.Second}
	e := executor.New(executor.Config{
		Sender:          sender,
		Budget:          limiter.NewRetryBudget(limiter.RetryConfig{}),
		ShareSuspect:    func(r isolator.Record) { *shared = append(*shared, r) },
		ServedElsewhere: func(string) bool { return elsewhere },
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

// A caller sends a request that crashes servers again and again. It costs two
// servers, and others are served meanwhile.
func TestARequestThatCrashesServersIsConvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shared []isolator.Record
		e, sender := newCrashing(6, &shared, false)
		const repeats = 30
		for range repeats {
			require.Error(t, send(t, e, "/poison", true))
			require.NoError(t, send(t, e, "/other", true))
			time.Sleep(time.Second)
			e.Probe(context.Background())
		}
		require.Equal(t, 2, sender.deaths)
		require.Len(t, shared, 2)
		require.Equal(t, 2, shared[1].Crashes)
		err := send(t, e, "/poison", true)
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, pollencrank.ReasonCrashesServers, notRun.Reason)
		time.Sleep(isolator.DefaultBlockTTL)
		require.Error(t, send(t, e, "/poison", true))
		require.Greater(t, sender.deaths, 2, "a conviction expires")
	})
}

// A suspect does not run on the last server of its workload.
func TestTheLastServerIsKeptFromSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, elsewhere := range []bool{false, true} {
			var shared []isolator.Record
			e, sender := newCrashing(1, &shared, elsewhere)
			require.Error(t, send(t, e, "/poison", false))
			time.Sleep(10 * time.Second)
			e.Probe(context.Background())
			err := send(t, e, "/poison", false)
			if elsewhere {
				require.Equal(t, 2, sender.deaths)
				continue
			}
			var notRun *pollencrank.NotRunError
			require.ErrorAs(t, err, &notRun)
			require.Equal(t, pollencrank.ReasonSuspectedOfCrashing, notRun.Reason)
			require.Equal(t, 1, sender.deaths)
		}
	})
}

// A connection that breaks while its server lives makes no suspect.
func TestABrokenConnectionIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shared []isolator.Record
		e, sender := newCrashing(3, &shared, false)
		sender.downFor = 0
		for range 5 {
			require.Error(t, send(t, e, "/poison", false))
		}
		require.Empty(t, shared)
	})
}

// Suspects, innocent ones among them, run one at a time; one that is answered is
// a suspect no longer.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := isolator.New(isolator.Config{})
		running, most := 0, 0
		serve := func() (*pollencrank.Answer, error) {
			running++
			most = max(most, running)
			time.Sleep(time.Second)
			running--
			return ok()
		}
		sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": serve, "b": serve}}
		e := executor.New(executor.Config{Sender: sender, Budget: limiter.NewRetryBudget(limiter.RetryConfig{}), Isolator: held})
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
			held.RecordCrash(isolator.FingerprintOf(r, nil), time.Now())
		}
		var wait sync.WaitGroup
		started := time.Now()
		for i := range suspects {
			wait.Go(func() { require.NoError(t, send(t, e, string(rune('a'+i)), true)) })
		}
		wait.Wait()
		require.Equal(t, 1, most)
		require.Equal(t, suspects*time.Second, time.Since(started))
		require.True(t, held.IsEmpty())
	})
}
