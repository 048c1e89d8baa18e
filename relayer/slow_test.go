package relayer_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/stager"
)

// Guards against one slow caller that takes the overlap of requests from all callers of a
// route: its answers are streamed only because it has not taken the earlier ones.
func TestAHeldBackAnswerSaysNothingOfItsRoute(t *testing.T) {
	for _, isHeldBack := range []bool{true, false} {
		share := stager.NewShare(1)
		var got *stager.Share
		table := newTable()
		r := relayer.New(relayer.Config{
			Table: func() *router.Table { return table }, Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
			Forwarder: forwardFunc(func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
				got = call.Share
				a := answer("streamed")
				a.IsHeldBack = isHeldBack
				return a, nil
			}),
		})
		incoming := httptest.NewRequestWithContext(stager.WithShare(t.Context(), share), http.MethodGet, "http://a.example/x/1", nil)
		r.ServeHTTP(httptest.NewRecorder(), incoming)
		require.Same(t, share, got)
		require.Equal(t, !isHeldBack, r.RunsAlone(incoming))
	}
}

func TestARequestIsRefusedForWantOfMemory(t *testing.T) {
	r := relayer.New(relayer.Config{Dialect: dialect{}, Log: slog.New(slog.DiscardHandler)})
	recorder := httptest.NewRecorder()
	r.RefuseFull(recorder, httptest.NewRequest(http.MethodGet, "http://a.example/x/1", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.NotEmpty(t, recorder.Header().Get("Retry-After"))
	require.Contains(t, recorder.Body.String(), string(pollencrank.ReasonBodiesFull))
}
