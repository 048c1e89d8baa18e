package coordinator_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/coordinator"
	"github.com/pollencrank/pollencrank/deduplicator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/scheduler"
)

// fakeEntries simulates an entry and its two peers. Each records the requests
// that it gets and answers with the result of its function.
type fakeEntries struct {
	mu      sync.Mutex
	calls   []string
	bodies  []string
	answers map[string]func() (*pollencrank.Answer, error)
}

func (e *fakeEntries) run(id string, request *pollencrank.Request) (*pollencrank.Answer, error) {
	body := ""
	if request.Body != nil {
		read, _ := io.ReadAll(request.Body)
		body = string(read)
	}
	e.mu.Lock()
	e.calls = append(e.calls, id)
	e.bodies = append(e.bodies, body)
	e.mu.Unlock()
	return e.answers[id]()
}

func (e *fakeEntries) Forward(_ context.Context, address string, request *pollencrank.Request, _ func(*peerpb.Load)) (*pollencrank.Answer, error) {
	return e.run(address, request)
}

func served() (*pollencrank.Answer, error) {
	return &pollencrank.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func refused(reason pollencrank.Reason) func() (*pollencrank.Answer, error) {
	return func() (*pollencrank.Answer, error) { return nil, pollencrank.NotRun(reason, "refused") }
}

func unknown() (*pollencrank.Answer, error) {
	return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonPeerFailed, "broke")
}

// newCoordinator returns the coordinator of entry a, whose own servers have the
// given number of slots. The servers of its peers b and c have 4 each.
func newCoordinator(e *fakeEntries, slots int) *coordinator.Coordinator {
	b := balancer.New(balancer.Config{Self: "a", Local: func(string) scheduler.Load { return scheduler.Load{Slots: slots} }})
	var owners []balancer.Owner
	for _, id := range []string{"b", "c"} {
		owners = append(owners, balancer.Owner{Instance: pollencrank.Instance{ID: id, PeerAddress: id}, Workload: "w", Slots: 4})
	}
	b.SetOwners(owners)
	return coordinator.New(coordinator.Config{
		Self:  "a",
		Local: pollencrank.ExecutorFunc(func(_ context.Context, r *pollencrank.Request) (*pollencrank.Answer, error) { return e.run("a", r) }),
		Claimer: deduplicator.New(deduplicator.Config{Self: "a", Members: func() []pollencrank.Instance {
			return []pollencrank.Instance{{ID: "a", StateChanged: time.Now().Add(-time.Hour)}}
		}}),
		Chooser: b, Forwarder: e, Budget: limiter.NewRetryBudget(limiter.RetryConfig{}),
	})
}

func newRequest(idempotent bool, key string) *pollencrank.Request {
	return &pollencrank.Request{Workload: "w", Idempotent: idempotent, Key: key, Deadline: time.Now().Add(time.Minute),
		Body: strings.NewReader("two crates"), ContentLength: 10}
}

func TestEntriesThatARequestIsSentTo(t *testing.T) {
	cases := []struct {
		name       string
		slots      int
		idempotent bool
		first      func() (*pollencrank.Answer, error)
		calls      int
		served     bool
	}{
		{"local entry with a free slot", 4, true, served, 1, true},
		{"peer if the local entry has no slots", 0, true, served, 1, true},
		{"another entry if the servers have another owner", 4, false, refused(pollencrank.ReasonNoServer), 2, true},
		{"another entry if the queue is full", 4, false, refused(pollencrank.ReasonQueueFull), 2, true},
		{"no other entry after the deadline", 4, true, refused(pollencrank.ReasonDeadlinePassed), 1, false},
		{"another entry if an idempotent request failed", 4, true, unknown, 2, true},
		{"no other entry if a non-idempotent request failed", 4, false, unknown, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": c.first, "b": served, "c": served}}
			answer, err := newCoordinator(e, c.slots).Execute(context.Background(), newRequest(c.idempotent, ""))
			require.Len(t, e.calls, c.calls)
			for _, body := range e.bodies {
				require.Equal(t, "two crates", body)
			}
			require.Equal(t, c.served, err == nil)
			if err == nil {
				require.NoError(t, answer.Body.Close())
			}
		})
	}
}

func TestNoEntryIsTriedTwice(t *testing.T) {
	full := refused(pollencrank.ReasonQueueFull)
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": full, "b": full, "c": full}}
	_, err := newCoordinator(e, 4).Execute(context.Background(), newRequest(true, ""))
	require.True(t, pollencrank.IsNotRun(err))
	require.ElementsMatch(t, []string{"a", "b", "c"}, e.calls)
}

// An entry that fails may have run the request, so a refusal by the next entry
// doesn't mean that the request did not run.
func TestARefusalAfterAnUnknownOutcomeStaysUnknown(t *testing.T) {
	full := refused(pollencrank.ReasonQueueFull)
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": unknown, "b": full, "c": full}}
	_, err := newCoordinator(e, 4).Execute(context.Background(), newRequest(true, ""))
	require.Error(t, err)
	require.False(t, pollencrank.IsNotRun(err))
}

func readBody(t *testing.T, answer *pollencrank.Answer) string {
	t.Helper()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return string(body)
}

func TestARepeatedRequestGetsTheRecordedAnswer(t *testing.T) {
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": served}}
	c := newCoordinator(e, 4)
	for i := range 3 {
		answer, err := c.Execute(context.Background(), newRequest(false, "k"))
		require.NoError(t, err)
		require.Equal(t, "done", readBody(t, answer))
		require.Equal(t, i > 0, answer.Header.Get(coordinator.HeaderRepeated) == "true")
	}
	require.Equal(t, []string{"a"}, e.calls)
}

func TestAKeyForAnotherRequestIsRefused(t *testing.T) {
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": served}}
	c := newCoordinator(e, 4)
	answer, err := c.Execute(context.Background(), newRequest(false, "k"))
	require.NoError(t, err)
	readBody(t, answer)
	changes := map[string]func(*pollencrank.Request){
		"body":   func(r *pollencrank.Request) { r.Body = strings.NewReader("one crate ") },
		"path":   func(r *pollencrank.Request) { r.URI = "/other" },
		"caller": func(r *pollencrank.Request) { r.Caller = "198.51.100.1" },
	}
	for name, change := range changes {
		r := newRequest(false, "k")
		change(r)
		_, err = c.Execute(context.Background(), r)
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun, name)
		require.Equal(t, pollencrank.ReasonKeyReused, notRun.Reason, name)
	}
}

func TestARequestThatDidNotRunMayBeRepeated(t *testing.T) {
	full := refused(pollencrank.ReasonQueueFull)
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": full, "b": full, "c": full}}
	c := newCoordinator(e, 4)
	_, err := c.Execute(context.Background(), newRequest(false, "k"))
	require.True(t, pollencrank.IsNotRun(err))
	e.answers["a"] = served
	answer, err := c.Execute(context.Background(), newRequest(false, "k"))
	require.NoError(t, err)
	require.Equal(t, "done", readBody(t, answer))
}

func TestARequestThatMayHaveRunIsNeverRunAgain(t *testing.T) {
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": unknown}}
	c := newCoordinator(e, 4)
	for range 3 {
		_, err := c.Execute(context.Background(), newRequest(false, "k"))
		require.Error(t, err)
		require.False(t, pollencrank.IsNotRun(err))
	}
	require.Len(t, e.calls, 1)
}

// Repeats that arrive while the first request runs wait for its answer.
func TestParallelRepeatsOfARequestRunOnce(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": func() (*pollencrank.Answer, error) {
		close(started)
		<-release
		return served()
	}}}
	c := newCoordinator(e, 4)
	results := make(chan string, 8)
	for range cap(results) {
		go func() {
			answer, err := c.Execute(context.Background(), newRequest(false, "k"))
			if err != nil {
				results <- err.Error()
				return
			}
			body, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			results <- string(body)
		}()
	}
	<-started
	close(release)
	for range cap(results) {
		require.Equal(t, "done", <-results)
	}
	require.Len(t, e.calls, 1)
}

// A request whose caller disconnects before it has read the answer has run, so a
// repeat must not run it again.
func TestARequestWhoseAnswerWasNotReadIsNotRunAgain(t *testing.T) {
	e := &fakeEntries{answers: map[string]func() (*pollencrank.Answer, error){"a": served}}
	c := newCoordinator(e, 4)
	answer, err := c.Execute(context.Background(), newRequest(false, "k"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	_, err = c.Execute(context.Background(), newRequest(false, "k"))
	var outcome *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &outcome, fmt.Sprint(err))
	require.Equal(t, pollencrank.ReasonAlreadyRun, outcome.Reason)
	require.Len(t, e.calls, 1)
}
