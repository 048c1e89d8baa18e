package hoster_test

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/isolator"
)

// Guards against a sound request that stays blocked at one instance although another one has
// said that a server has answered it. A record without strikes says so; earlier builds ignore
// it.
func TestAnAnswerAtAnotherInstanceWithdrawsABlock(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	served := func() bool { status, _, _ := e.get(t, "/x/1"); return status == http.StatusOK }
	eventually(t, "served", served)
	fingerprint := isolator.FingerprintOf(&pollencrank.Request{Workload: "parts", Method: http.MethodGet, Host: "a.example", URI: "/x/1"}, nil)
	e.postSuspect(t, fingerprint, 2)
	_, text, _ := e.get(t, "/x/1")
	require.Contains(t, text, string(pollencrank.ReasonCrashesServers))
	e.postSuspect(t, fingerprint, 0)
	require.True(t, served())
}

// Guards against a request that crashes servers in their answers and is never held back,
// because it comes through another instance from one that reaches no server.
func TestARequestThatCrashesServersThroughAnotherInstanceIsRefused(t *testing.T) {
	f := newCutFleet(t, 6)
	f.setLinks(t, linkResets)
	f.awaitCut(t)
	isRefused := func(e *entry) bool {
		_, text, _ := e.get(t, crashPath)
		return strings.Contains(text, string(pollencrank.ReasonCrashesServers))
	}
	for _, e := range []*entry{f.cut, f.other} {
		eventually(t, "it is refused", func() bool { return isRefused(e) })
	}
	for range 10 {
		require.True(t, isRefused(f.cut))
		require.True(t, isRefused(f.other))
	}
}

// postSuspect sends an instance a record of a request, as another instance does.
func (e *entry) postSuspect(t *testing.T, f isolator.Fingerprint, strikes int) {
	t.Helper()
	body := fmt.Sprintf(`[{"fingerprint":%q,"strikes":%d,"until":%q}]`, hex.EncodeToString(f[:]), strikes, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
	response, err := http.Post("http://"+e.PeerAddress+"/suspects", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
