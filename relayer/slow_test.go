package relayer_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/recorder"
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
				a.IsOverCallerShare = isHeldBack
				return a, nil
			}),
		})
		incoming := httptest.NewRequestWithContext(stager.WithShare(t.Context(), share), http.MethodGet, "http://a.example/x/1", nil)
		r.ServeHTTP(httptest.NewRecorder(), incoming)
		require.Same(t, share, got)
		require.Equal(t, !isHeldBack, r.RunsAlone(incoming))
	}
}

// Guards against answers that are lost after their requests have run, because one before them
// is streamed beyond the caller's share and breaks off.
func TestAConnectionRunsAloneUntilAHeldBackAnswerHasDrained(t *testing.T) {
	share, table := stager.NewShare(1), newTable()
	other := httptest.NewRequestWithContext(stager.WithShare(t.Context(), stager.NewShare(1)), http.MethodGet, "http://a.example/x/1", nil)
	incoming := httptest.NewRequestWithContext(stager.WithShare(t.Context(), share), http.MethodGet, "http://a.example/x/1", nil)
	var r *relayer.Relayer
	reads := 0
	r = relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
		Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
			a := answer("streamed")
			a.IsOverCallerShare = true
			a.Body = io.NopCloser(readFunc(func([]byte) (int, error) {
				reads++
				require.True(t, r.RunsAlone(incoming))
				require.False(t, r.RunsAlone(other))
				return 0, io.EOF
			}))
			return a, nil
		}),
	})
	r.ServeHTTP(httptest.NewRecorder(), incoming)
	require.Equal(t, 1, reads)
	require.False(t, r.RunsAlone(incoming))
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against an exchange that is aborted without a line in the log.
func TestAnAnswerWithoutAFinalStatusIsLogged(t *testing.T) {
	var lines strings.Builder
	table := newTable()
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Dialect: dialect{}, Log: slog.New(slog.NewTextHandler(&lines, nil)),
		Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
			a := answer("odd")
			a.Status = 600
			return a, nil
		}),
	})
	require.Panics(t, func() {
		r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://a.example/x/1", nil))
	})
	require.Contains(t, lines.String(), recorder.EventAnswerInvalid.String())
}

func TestARequestIsRefusedForWantOfMemory(t *testing.T) {
	r := relayer.New(relayer.Config{Dialect: dialect{}, Log: slog.New(slog.DiscardHandler)})
	recorder := httptest.NewRecorder()
	r.RefuseFull(recorder, httptest.NewRequest(http.MethodGet, "http://a.example/x/1", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.NotEmpty(t, recorder.Header().Get("Retry-After"))
	require.Contains(t, recorder.Body.String(), string(pollencrank.ReasonBodiesFull))
}

// Guards against a server that is said to have broken off its answer, when the caller took
// nothing of it.
func TestAnUnreadAnswerIsNotCalledTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines strings.Builder
		log := slog.New(slog.NewTextHandler(&lines, nil))
		table := newTable()
		r := relayer.New(relayer.Config{
			Table: func() *router.Table { return table }, Dialect: dialect{}, Log: log,
			Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
				return answer(strings.Repeat("x", 100_000)), nil
			}),
		})
		near, caller := net.Pipe()
		callers := pipes{make(chan net.Conn, 1)}
		callers.accepted <- near
		close(callers.accepted)
		server := pipeliner.New(pipeliner.Config{Handler: r, Log: log})
		go func() { _ = server.Serve(callers) }()
		_, err := io.WriteString(caller, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Contains(t, lines.String(), recorder.EventCallerUnread.String())
		require.NotContains(t, lines.String(), recorder.EventAnswerTruncated.String())
	})
}
