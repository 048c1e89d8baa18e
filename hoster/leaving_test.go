package hoster_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
)

// Guards against requests to a server that has said in an answer that it leaves: the store
// may not say so for a long time. The answer itself is passed on.
func TestAServerThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	var arrivals atomic.Int64
	s.startServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set(wire.HeaderLeaving, "1")
		echo(w, r)
	})
	e := s.start(t, "entry-1", 1)
	eventually(t, "served once", func() bool { status, _, _ := e.get(t, "/x/1"); return status == 200 })
	require.True(t, e.log.has(recorder.EventServerLeaving))
	for range 20 {
		status, _, _ := e.get(t, "/x/2")
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
	require.EqualValues(t, 1, arrivals.Load())
}

// Guards against requests to a server that has asked for a pause.
func TestAServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	var arrivals atomic.Int64
	s.startServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) == 1 {
			echo(w, r)
			return
		}
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	e := s.start(t, "entry-1", 1)
	eventually(t, "served once", func() bool { status, _, _ := e.get(t, "/x/1"); return status == 200 })
	for range 20 {
		status, _, header := e.get(t, "/x/2")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	require.EqualValues(t, 2, arrivals.Load())
	require.True(t, e.log.has(recorder.EventServerPaused))
}
