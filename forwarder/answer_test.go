package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against an order that is answered as not run though a server has run it: the
// server's own status 503, without proof, was passed on, and callers take it for a promise.
func TestAStatusIsNoPromiseWithoutProof(t *testing.T) {
	for _, test := range []struct {
		status    int
		isPromise bool
	}{
		{http.StatusRequestTimeout, true}, {http.StatusMisdirectedRequest, true}, {http.StatusTooManyRequests, true},
		{http.StatusServiceUnavailable, true}, {http.StatusNotFound, false}, {http.StatusInternalServerError, false},
		{http.StatusGatewayTimeout, false},
	} {
		for _, kind := range []router.Kind{router.NonIdempotent, router.Upload, router.Idempotent} {
			t.Run(fmt.Sprint(test.status, kind), func(t *testing.T) {
				s := newSystem(t)
				s.route.Kind = kind
				s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
					a := soundAnswer(server, r)
					a.Status = test.status
					return a, nil
				}
				answer, err := s.forwardRequest(t.Context(), "17")
				if kind.MayRepeat() || !test.isPromise {
					require.NoError(t, err, "the server's answer is passed on")
					require.Equal(t, test.status, answer.Status)
					return
				}
				var unknown *pollencrank.OutcomeUnknownError
				require.ErrorAs(t, err, &unknown)
				require.Equal(t, pollencrank.ReasonRefusalUnproven, unknown.Reason)
				require.Len(t, s.sender.sent, 1, "the order may have run")
			})
		}
	}
}

// Guards against an answer that may still break off and is taken for one that is held, or the
// reverse.
func TestAnAnswerIsWholeIfItIsHeld(t *testing.T) {
	for length, isWhole := range map[int]bool{0: true, 1000: true, 2 << 20: false} {
		s := newSystem(t)
		s.sender.reply = func(server string, _ int, r *pollencrank.Request) (*pollencrank.Answer, error) {
			a := soundAnswer(server, r)
			a.ContentLength = int64(length)
			a.Body = io.NopCloser(bytes.NewReader(make([]byte, length)))
			return a, nil
		}
		answer, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
		require.Equal(t, isWhole, answer.IsWhole, "%d bytes", length)
		require.NoError(t, answer.Body.Close())
	}
}
