package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against an order that is answered by, or repeated after, an answer with no final status. What
// may be repeated goes to another server, and the server counts as failing.
func TestAnInvalidAnswerLeavesTheOutcomeOpen(t *testing.T) {
	for name, kind := range map[string]router.Kind{"lookup": router.Idempotent, "order": router.NonIdempotent} {
		t.Run(name, func(t *testing.T) {
			answer := func(conn net.Conn, _ int, id string) {
				_, _ = io.WriteString(conn, strings.Replace(completeAnswer(id, "none"), "200 OK", "000 OK", 1))
			}
			bad := []*rawServer{startRawServer(t, answer), startRawServer(t, answer)}
			s := newNetworkSystem(t, bad...)
			s.route.Kind = kind
			_, err := s.forwardRequest(t.Context(), "17")
			var unknown *pollencrank.OutcomeUnknownError
			require.ErrorAs(t, err, &unknown)
			require.Equal(t, pollencrank.ReasonAnswerInvalid, unknown.Reason)
			attempts, failing := 1, 0
			if kind == router.Idempotent {
				attempts = 2
			}
			require.EqualValues(t, attempts, bad[0].requests.Load()+bad[1].requests.Load())
			for i := range bad {
				if s.registrar.Find(fmt.Sprint("wire-", i)).Health(time.Now()).FailureShare > 0 {
					failing++
				}
			}
			require.Equal(t, attempts, failing)
		})
	}
}
