package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

// A caller that sends its body too slowly receives a refusal at the request's
// deadline, and its connection is closed.
func TestASlowBodyEndsAtTheDeadline(t *testing.T) {
	address := start(t, func(ctx context.Context, r *pollencrank.Request) (*pollencrank.Answer, error) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "%v", err)
		}
		return respond("ok")
	}, nil)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /catalogue/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nPollencrank-Timeout-Ms: 50\r\n\r\nabc")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	requireRefusal(t, response, string(body), receiver.OutcomeUnknown, pollencrank.ReasonMalformed)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Without these limits, a caller that never finishes its headers would hold a
// connection and memory without bound.
func TestTheServerForCallersHasTimeoutsAndLimits(t *testing.T) {
	server := receiver.NewServer(nil, nil)
	require.NotZero(t, server.ReadHeaderTimeout)
	require.NotZero(t, server.IdleTimeout)
	require.NotZero(t, server.MaxHeaderBytes)
}
