package hoster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
)

// Guards against a message that makes an instance use tokens that nobody granted.
func FuzzQuotaMessages(f *testing.F) {
	f.Add([]byte(`{"tenant":"tenant-1","count":3}`))
	f.Add([]byte(`{"granted":2,"retryAfterMs":1e308}`))
	f.Add([]byte(`{"granted":-1,"retryAfterMs":-1}`))
	f.Fuzz(func(t *testing.T, message []byte) {
		if request, err := readQuotaRequest(bytes.NewReader(message)); err == nil {
			require.Positive(t, request.Count)
			require.NotEmpty(t, request.Tenant)
		}
		var answer quotaAnswer
		if json.Unmarshal(message, &answer) != nil {
			return
		}
		const count = 3
		if loan, err := answer.decode(count); err == nil {
			require.LessOrEqual(t, loan.Granted, count)
			require.GreaterOrEqual(t, loan.Granted, 0)
			require.GreaterOrEqual(t, loan.RetryAfter, time.Duration(0))
			require.LessOrEqual(t, loan.RetryAfter, maxRetryAfter)
		}
	})
}

// An instance of an older build answers that it knows no such path: it grants nothing.
func TestAnOlderBuildGrantsNoTokens(t *testing.T) {
	older := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(older.Close)
	h := &Hoster{peers: newPeerClient()}
	h.roster = &roster{h: h}
	peer := namer.Instance{ID: "entry-2", PeerAddress: older.Listener.Addr().String()}
	h.roster.serving.Store(&[]namer.Instance{peer})
	_, err := quotaLender{h}.Borrow(t.Context(), "entry-2", "tenant-1", 1)
	require.ErrorContains(t, err, "404")
	_, err = quotaLender{h}.Borrow(t.Context(), "entry-3", "tenant-1", 1)
	require.ErrorContains(t, err, "gone")
}
