package persister_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/persister"
)

// answeringStore returns a client of a store that answers each call with the given text and
// then ends the connection.
func answeringStore(t *testing.T, answer string, end func(*net.TCPConn)) *persister.HTTP {
	t.Helper()
	listener, err := standin.Listen(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: "http://" + listener.Addr().String()})
	require.NoError(t, err)
	return client
}

// Guards against a value that is longer than the store says, because the name of the length
// holds a blank.
func TestAnAnswerWithAMalformedNameIsNoValue(t *testing.T) {
	for _, length := range []string{"Content-Length : 3", "Content Length: 3"} {
		client := answeringStore(t, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nConnection: close\r\n"+length+"\r\n\r\n[] and more", standin.EndInOrder)
		var malformed *pollencrank.FieldNameError
		_, err := client.Get(t.Context(), "config/head")
		var unavailable *persister.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.ErrorAs(t, unavailable.Cause, &malformed)
		_, err = client.Put(t.Context(), "config/head", []byte("one"), 1)
		var unknown *persister.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		require.ErrorAs(t, unknown.Cause, &malformed)
		_, err = client.List(t.Context(), "config/")
		require.ErrorAs(t, err, &unavailable)
		require.ErrorAs(t, unavailable.Cause, &malformed)
	}
}

// A value whose connection is reset is not taken for whole: calls that read one send no body, so
// that no write can be told of the reset.
func TestAnAnswerThatIsResetIsNoValue(t *testing.T) {
	const resets = 50
	client := answeringStore(t, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\npart", standin.Reset)
	for range resets {
		_, err := client.Get(t.Context(), "config/head")
		var unavailable *persister.UnavailableError
		require.ErrorAs(t, err, &unavailable)
	}
}
