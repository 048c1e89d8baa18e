package rerouter_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/rerouter"
)

// sendToOlder sends an order through an instance that answers as an older build did.
func sendToOlder(t *testing.T, file string) (*pollencrank.Answer, error) {
	t.Helper()
	written, err := os.ReadFile(filepath.Join("testdata", "answers-cea7f45", file))
	require.NoError(t, err)
	listener, err := standin.Listen(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = conn.Write(written)
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := rerouter.New(rerouter.Config{
		Self: namer.Instance{ID: "entry-1", Region: "north"},
		Peers: func() []namer.Instance {
			return []namer.Instance{{ID: "entry-2", Region: "north", PeerAddress: listener.Addr().String()}}
		},
		IsCutOff: func(string) bool { return false },
		Dialect:  platform.Dialect{}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(r.Close)
	const id = "46f3f9480b56137b"
	newRequest := func() *pollencrank.Request {
		return &pollencrank.Request{ID: id, Method: http.MethodPost, Host: "a.example", URI: "/x/1",
			Header: http.Header{wire.HeaderAttempt: {id}}, Deadline: time.Now().Add(time.Minute)}
	}
	return r.Send(t.Context(), rerouter.Request{Request: newRequest(), NewBody: newRequest, IsAllowed: anyRegion, Hop: rerouter.Hop{MaxAttempts: 1}})
}

// Guards against answers of an older build that are taken for those to another request while
// the instances are replaced one by one. The files hold what the build cea7f45 wrote.
func TestAnswersOfAnOlderInstanceAreUnderstood(t *testing.T) {
	_, err := sendToOlder(t, "notRun.txt")
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, pollencrank.ReasonCutOff, notRun.Reason)

	_, err = sendToOlder(t, "unknown.txt")
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, pollencrank.ReasonDeadlinePassed, unknown.Reason)

	answer, err := sendToOlder(t, "served.txt")
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, "whole", string(body))
	require.True(t, answer.IsGenuine)
}
