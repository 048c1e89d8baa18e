package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/platform"
)

// reports sends one request to a server and returns what it reported.
func reports(t *testing.T, handle http.HandlerFunc) ([]dispatcher.Report, error) {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	var all []dispatcher.Report
	d := dispatcher.New(dispatcher.Config{
		Dialect:  platform.Dialect{},
		OnReport: func(_ dispatcher.Target, report dispatcher.Report) { all = append(all, report) },
	})
	t.Cleanup(d.Close)
	_, err := d.Send(t.Context(), dispatcher.Target{Name: "i-1", Address: strings.TrimPrefix(server.URL, "http://")},
		&pollencrank.Request{Method: http.MethodGet, URI: "/x", Deadline: time.Now().Add(time.Minute)})
	return all, err
}

// Guards against a server that is held to what another one says of itself: its address has
// been given to that one.
func TestAMisdirectedAnswerReportsNothing(t *testing.T) {
	all, err := reports(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Limit", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	require.True(t, pollencrank.IsNotRun(err))
	require.Empty(t, all)
	all, err = reports(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Server-Limit", "1") })
	require.NoError(t, err)
	require.Len(t, all, 1)
}
