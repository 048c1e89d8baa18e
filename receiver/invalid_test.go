package receiver_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

// Guards against a status that net/http takes for interim and follows by a 200 of its own.
func TestNoFinalStatusIsNotAnswered(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600} {
		address := start(t, func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
			answer, err := respond("done")
			answer.Status = status
			return answer, err
		}, nil)
		response, err := http.Get("http://" + address + "/catalogue/1")
		if err == nil {
			response.Body.Close()
		}
		require.Error(t, err, "status %d", status)
		require.NotContains(t, err.Error(), "refused", "the server listens")
	}
}

// Guards against a trailer of a server that changes the caller's connection or the framing of
// its answers.
func TestATrailerNamesNothingOfTheConnection(t *testing.T) {
	address := start(t, func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
		answer, err := respond("done")
		answer.ContentLength = -1
		answer.Trailer = http.Header{
			"Connection": {"close"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"gzip"}, "Content-Length": {"9"}, "Host": {"b"}, receiver.HeaderOutcome: {"not-run"}, "X-Sum": {"7"},
		}
		return answer, err
	}, nil)
	response, err := http.Get("http://" + address + "/catalogue/1")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	require.Equal(t, http.Header{"X-Sum": {"7"}}, response.Trailer)
}
