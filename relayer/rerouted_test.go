package relayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// rerouted returns a request that another instance sends on, under a version of the
// configuration.
func rerouted(t *testing.T, path, version string) *http.Request {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example"+path, nil)
	for name, value := range map[string]string{
		"Pollencrank-Rerouted": "2", "Pollencrank-Version": version, "Pollencrank-Remaining": "300ms", "Pollencrank-Counted": "true", "Other": "kept",
	} {
		r.Header.Set(name, value)
	}
	return r
}

func serveRerouted(r *relayer.Relayer, request *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.ServeRerouted(w, request)
	return w
}

func TestAReroutedRequestIsServedWithWhatIsLeft(t *testing.T) {
	var got *forwarder.Call
	r, _ := start(t, newTable(), func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
		got = call
		return answer("whole"), nil
	})
	w := serveRerouted(r, rerouted(t, "/x/1", "7"))
	require.Equal(t, "whole", w.Body.String())
	require.Equal(t, 2, got.Hop.MaxAttempts)
	require.True(t, got.Hop.IsCounted)
	require.LessOrEqual(t, time.Until(got.Request.Deadline), 300*time.Millisecond)
	require.Equal(t, http.Header{"Other": {"kept"}}, got.Request.Header, "no server sees the headers between instances")
}

func TestWhatBecameOfAReroutedRequestIsSaid(t *testing.T) {
	for name, test := range map[string]struct {
		version, path, outcome string
		err                    error
	}{
		"a later configuration": {version: "8", path: "/x/1", outcome: "notRun"},
		"no route":              {version: "7", path: "/y", outcome: "notRun"},
		"refused":               {version: "6", path: "/x/1", outcome: "notRun", err: pollencrank.NotRun(pollencrank.ReasonQueueFull, "full")},
		"unknown":               {version: "7", path: "/x/1", outcome: "unknown", err: pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "lost")},
		"malformed":             {version: "x", path: "/x/1", outcome: "notRun"},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := start(t, newTable(), func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
				require.Error(t, test.err, "the request must not run")
				return nil, test.err
			})
			w := serveRerouted(r, rerouted(t, test.path, test.version))
			require.Equal(t, test.outcome, w.Header().Get("Pollencrank-Outcome"))
			require.NotEmpty(t, w.Header().Get("Pollencrank-Reason"))
		})
	}
}

// Guards against a caller that gets 404 for a route that is there: an instance with an earlier
// configuration must say that, not that it knows no route.
func TestAReroutedRequestOfALaterConfigurationIsNotLookedUp(t *testing.T) {
	r, _ := start(t, newTable(), func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
		t.Error("the request must not run")
		return nil, nil
	})
	for _, path := range []string{"/x/1", "/new/1"} {
		w := serveRerouted(r, rerouted(t, path, "8"))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, string(pollencrank.ReasonNotReady), w.Header().Get("Pollencrank-Reason"))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	}
}

// Guards against instances that drown in the requests of others: less urgent requests leave
// room to more urgent ones.
func TestRequestsOfOtherInstancesAreLimitedByRank(t *testing.T) {
	table := router.NewTable(router.Configuration{Version: 7, Routes: []router.Route{
		{Name: "urgent", Host: "a.example", PathPrefix: "/urgent/", Priority: 0},
		{Name: "less", Host: "a.example", PathPrefix: "/less/", Priority: 3},
	}})
	release := make(chan struct{})
	r, _ := start(t, table, func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
		<-release
		return answer("whole"), nil
	})
	var calls sync.WaitGroup
	// send sends requests of which some are held by their servers, and waits until all others
	// are refused.
	send := func(path string, count, held int) {
		refused := make(chan struct{}, count)
		for range count {
			calls.Go(func() {
				if w := serveRerouted(r, rerouted(t, path, "7")); w.Code != http.StatusOK {
					refused <- struct{}{}
				}
			})
		}
		for range count - held {
			<-refused
		}
	}
	send("/less/", 100, 64)
	send("/urgent/", 300, 192)
	close(release)
	calls.Wait()
}
