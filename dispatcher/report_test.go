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
	"github.com/pollencrank/pollencrank/platform/wire"
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
		w.Header().Set(wire.HeaderLimit, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	require.True(t, pollencrank.IsNotRun(err))
	require.Empty(t, all)
	all, err = reports(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire.HeaderLimit, "1") })
	require.NoError(t, err)
	require.Len(t, all, 1)
}

// A pause is bounded, and nonsense asks for none: one server must not be lost for a day, or
// be sent requests without end because of a typing error.
func TestParsePause(t *testing.T) {
	for text, want := range map[string]dispatcher.Pause{
		"":        {},
		"0":       {},
		"2":       {For: 2 * time.Second},
		" 0.25 ":  {For: 250 * time.Millisecond},
		"86400":   {For: time.Minute},
		"1e300":   {For: time.Minute},
		"-1":      {IsMalformed: true},
		"NaN":     {IsMalformed: true},
		"soon":    {IsMalformed: true},
		"1,5":     {IsMalformed: true},
		"Fri, 04": {IsMalformed: true},
	} {
		header := http.Header{"Retry-After": {text}}
		require.Equal(t, want, dispatcher.ParsePause(http.StatusServiceUnavailable, header), "%q", text)
		require.Zero(t, dispatcher.ParsePause(http.StatusOK, header), "only a server that turned a request away pauses")
	}
}

// Guards against seconds without their fraction: the caller is told when to come back.
func TestARefusalCarriesThePause(t *testing.T) {
	before := time.Now()
	all, err := reports(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.Header().Set("Retry-After", "7.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.False(t, notRun.RetryAt.Before(before.Add(7500*time.Millisecond)))
	require.Equal(t, 7500*time.Millisecond, all[0].Pause.For)
}
