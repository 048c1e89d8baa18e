package executor_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/limiter"
)

// fakeSender answers requests by a function per server, and health probes from a map.
type fakeSender struct {
	mu      sync.Mutex
	sent    []string
	bodies  []string
	servers map[string]func() (*pollencrank.Answer, error)
	health  map[string]dispatcher.Health
}

var _ executor.Sender = (*fakeSender)(nil)

func (f *fakeSender) Send(_ context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	body := ""
	if request.Body != nil {
		read, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "%v", err)
		}
		body = string(read)
	}
	f.mu.Lock()
	f.sent = append(f.sent, target.Name)
	f.bodies = append(f.bodies, body)
	f.mu.Unlock()
	return f.servers[target.Name]()
}

func (f *fakeSender) Probe(_ context.Context, target dispatcher.Target) (dispatcher.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.health[target.Name]; ok {
		return h, nil
	}
	return dispatcher.Health{OK: true}, nil
}

func (f *fakeSender) Warm(ctx context.Context, target dispatcher.Target, _ int) (dispatcher.Health, error) {
	return f.Probe(ctx, target)
}

func (f *fakeSender) Keep([]dispatcher.Target) {}

func ok() (*pollencrank.Answer, error) {
	return &pollencrank.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func status(code int) func() (*pollencrank.Answer, error) {
	return func() (*pollencrank.Answer, error) {
		return &pollencrank.Answer{Status: code, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
}

func shed() (*pollencrank.Answer, error) {
	return nil, pollencrank.NotRun(pollencrank.ReasonAllShed, "shed")
}

func serverFailed() (*pollencrank.Answer, error) {
	return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "died")
}

// newExecutor returns an executor that owns servers a, b, c, ... with 2 slots each.
func newExecutor(sender *fakeSender, budget *limiter.RetryBudget, count int) *executor.Executor {
	e := executor.New(executor.Config{Sender: sender, Budget: budget})
	var servers []pollencrank.Server
	for i := range count {
		servers = append(servers, pollencrank.Server{Name: string(rune('a' + i)), Workload: "w", Slots: 2})
	}
	e.Assign(executor.Assignment{
		Workloads: []pollencrank.Workload{{Name: "w"}},
		Servers:   servers,
		Preset:    pollencrank.Preset{RetryShare: 0, ForeignShare: 1},
	})
	e.Probe(context.Background())
	return e
}

// finish reads an answer to its end.
func finish(t *testing.T, answer *pollencrank.Answer) {
	t.Helper()
	_, err := io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
}

func request(idempotent bool, body string) *pollencrank.Request {
	r := &pollencrank.Request{Workload: "w", Idempotent: idempotent, Deadline: time.Now().Add(time.Minute)}
	if body != "" {
		r.Body, r.ContentLength = strings.NewReader(body), int64(len(body))
	}
	return r
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		first      func() (*pollencrank.Answer, error)
		wantSent   int
		wantServed bool
		wantNotRun bool
	}{
		{"an idempotent request is retried after a failure", true, serverFailed, 2, true, false},
		{"a non-idempotent request is not retried after a failure", false, serverFailed, 1, false, false},
		{"a non-idempotent request is retried after it was shed", false, shed, 2, true, false},
		{"an idempotent request is retried after it was shed", true, shed, 2, true, false},
		{"an answer with an error status is not retried", false, status(500), 1, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": c.first, "b": ok}}
			e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 2)
			answer, err := e.Execute(context.Background(), request(c.idempotent, "the body"))
			require.Len(t, sender.sent, c.wantSent)
			for _, body := range sender.bodies {
				require.Equal(t, "the body", body)
			}
			if c.wantServed {
				require.NoError(t, err)
				finish(t, answer)
			} else {
				require.Equal(t, c.wantNotRun, pollencrank.IsNotRun(err))
			}
		})
	}
}

// A server needs time to notice that a request was cancelled, and may still run the
// request until then. When its slot was reused at once, the demonstration found a server
// with one request more than slots.
func TestTheSlotOfAnAbandonedRequestIsNotReusedAtOnce(t *testing.T) {
	cases := map[string]func(*testing.T, *executor.Executor){
		"failed with unknown outcome": func(t *testing.T, e *executor.Executor) {
			_, err := e.Execute(context.Background(), request(false, ""))
			require.Error(t, err)
		},
		"answer abandoned": func(t *testing.T, e *executor.Executor) {
			answer, err := e.Execute(context.Background(), request(false, ""))
			require.NoError(t, err)
			require.NoError(t, answer.Body.Close())
		},
	}
	for name, abandon := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				respond := ok
				if name != "answer abandoned" {
					respond = serverFailed
				}
				e := newExecutor(&fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": respond}},
					limiter.NewRetryBudget(limiter.RetryConfig{}), 1)
				abandon(t, e)
				require.Equal(t, 1, e.Load("w").Busy)
				time.Sleep(time.Second)
				require.Zero(t, e.Load("w").Busy)
			})
		})
	}
}

func TestASlotIsReleasedAtOnceAfterACertainEnd(t *testing.T) {
	for name, respond := range map[string]func() (*pollencrank.Answer, error){"served": ok, "shed": shed} {
		e := newExecutor(&fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": respond}},
			limiter.NewRetryBudget(limiter.RetryConfig{}), 1)
		answer, err := e.Execute(context.Background(), request(false, ""))
		if err == nil {
			finish(t, answer)
		}
		require.Zero(t, e.Load("w").Busy, name)
	}
}

// If the first attempt may have run the request, the refusal of the second attempt must
// not give the request the outcome "not run": the caller would send it again.
func TestARefusedRetryDoesNotMakeARequestNotRun(t *testing.T) {
	sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": serverFailed, "b": shed}}
	e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 2)
	_, err := e.Execute(context.Background(), request(true, ""))
	require.Len(t, sender.sent, 3)
	require.Error(t, err)
	require.False(t, pollencrank.IsNotRun(err))
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": shed, "b": shed}}
	budget := limiter.NewRetryBudget(limiter.RetryConfig{})
	e := newExecutor(sender, budget, 2)
	const requests = 100
	for range requests {
		_, err := e.Execute(context.Background(), request(true, ""))
		require.True(t, pollencrank.IsNotRun(err))
	}
	const burst = 10
	require.Len(t, sender.sent, requests+burst)
}

func TestABodyTooLargeToBufferIsNotSentAgain(t *testing.T) {
	sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": shed, "b": ok}}
	e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 2)
	_, err := e.Execute(context.Background(), request(true, strings.Repeat("x", 100<<10)))
	require.True(t, pollencrank.IsNotRun(err))
	require.Len(t, sender.sent, 1)
}

// A server that answers fast with errors has free slots more often than the others, and
// must not get more requests for that reason. At most half of the servers are ejected; this test
// does not cover that limit.
func TestAFailingServerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": status(500), "b": ok, "c": ok}}
		e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 3)
		for range 30 {
			answer, err := e.Execute(context.Background(), request(true, ""))
			require.NoError(t, err)
			finish(t, answer)
		}
		failed := 0
		for _, name := range sender.sent {
			if name == "a" {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 3)
	})
}

func TestALeavingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{
			servers: map[string]func() (*pollencrank.Answer, error){"a": ok, "b": ok},
			health:  map[string]dispatcher.Health{},
		}
		e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 2)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = e.Run(ctx) }()
		sender.mu.Lock()
		sender.health["a"] = dispatcher.Health{OK: true, Leaving: true}
		sender.mu.Unlock()
		// A leaving server must get no new requests from 2 s after it first reports so.
		time.Sleep(2 * time.Second)
		for range 10 {
			answer, err := e.Execute(context.Background(), request(true, ""))
			require.NoError(t, err)
			finish(t, answer)
		}
		require.NotContains(t, sender.sent, "a")
		cancel()
	})
}

func TestAServerGetsNoRequestsBeforeItsConnectionsAreWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": ok}}
		e := executor.New(executor.Config{Sender: sender, Budget: limiter.NewRetryBudget(limiter.RetryConfig{})})
		e.Assign(executor.Assignment{
			Workloads: []pollencrank.Workload{{Name: "w"}},
			Servers:   []pollencrank.Server{{Name: "a", Workload: "w", Slots: 2}},
		})
		_, err := e.Execute(context.Background(), request(true, ""))
		require.True(t, pollencrank.IsNotRun(err))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = e.Run(ctx) }()
		synctest.Wait()
		answer, err := e.Execute(context.Background(), request(true, ""))
		require.NoError(t, err, "the server is ready after the first probes")
		finish(t, answer)
		cancel()
	})
}

func TestWithdrawnServersGetNoNewRequests(t *testing.T) {
	sender := &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": ok, "b": ok}}
	e := newExecutor(sender, limiter.NewRetryBudget(limiter.RetryConfig{}), 2)
	held, err := e.Execute(context.Background(), request(true, ""))
	require.NoError(t, err)
	first := sender.sent[0]
	e.Withdraw([]string{first})
	require.Equal(t, 1, e.InFlight(first), "requests in flight continue")
	for range 4 {
		answer, err := e.Execute(context.Background(), request(true, ""))
		require.NoError(t, err)
		finish(t, answer)
	}
	require.NotContains(t, sender.sent[1:], first)
	finish(t, held)
	require.Zero(t, e.InFlight(first))
}

func TestAnUnknownWorkloadIsNotRun(t *testing.T) {
	e := newExecutor(&fakeSender{}, limiter.NewRetryBudget(limiter.RetryConfig{}), 1)
	r := request(true, "")
	r.Workload = "other"
	_, err := e.Execute(context.Background(), r)
	require.True(t, pollencrank.IsNotRun(err), fmt.Sprint(err))
}
