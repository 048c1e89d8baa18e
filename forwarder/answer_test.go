package forwarder_test

import (
	"fmt"
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
