package hoster_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
)

// startWithWitness starts an instance beside a dead one and one of another failure domain, which
// says whether it reaches the dead one.
func (s *platformStore) startWithWitness(t *testing.T, deadID string, isReached bool) *entry {
	t.Helper()
	witness := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/state":
			_, _ = io.WriteString(w, `{"incarnation":"1","isReady":true}`)
		case r.URL.Path == "/reaches" && r.URL.Query().Get("instance") == deadID:
			_, _ = fmt.Fprintf(w, `{"isReached":%t}`, isReached)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(witness.Close)
	closed := listen(t)
	closed.Close()
	for id, address := range map[string]string{deadID: closed.Addr().String(), "entry-witness": strings.TrimPrefix(witness.URL, "http://")} {
		require.NoError(t, s.Put(instancesKind, id, wire.Instance{
			CallerAddress: address, PeerAddress: address, FailureDomain: "south-a", Region: "north", Incarnation: 1,
		}))
	}
	return s.startRegistered(t, "entry-1")
}

// Guards against a cut between two instances, or two failure domains, that takes live instances
// out of the look-ups of all others too.
func TestAnInstanceThatOthersReachKeepsItsEntry(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	e := s.startWithWitness(t, "entry-cut", true)
	eventually(t, "others are asked", func() bool { return e.log.has(recorder.EventRemovalRefuted) })
	require.True(t, s.Has(instancesKind, "entry-cut"))
}

// Guards against an entry that stays because others are believed although they do not reach its
// instance either.
func TestAnInstanceThatNobodyReachesLosesItsEntry(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	e := s.startWithWitness(t, "entry-dead", false)
	eventually(t, "removed", func() bool { return !s.Has(instancesKind, "entry-dead") })
	require.False(t, e.log.has(recorder.EventRemovalRefuted))
}

// Guards against an instance that vouches for one which has ended, or which it does not know.
func TestAnInstanceSaysWhomItReaches(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	asked, other := s.startRegistered(t, "entry-1"), s.startRegistered(t, "entry-2")
	eventually(t, "look-ups name both", func() bool { return named(t, asked, other) })
	isReached := func(id string) bool {
		response, err := http.Get("http://" + asked.PeerAddress + "/reaches?instance=" + id)
		require.NoError(t, err)
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return strings.TrimSpace(string(answer)) == `{"isReached":true}`
	}
	require.True(t, isReached("entry-2"))
	require.True(t, isReached("entry-1"))
	require.False(t, isReached("entry-3"))
	other.stop()
	<-other.done
	require.False(t, isReached("entry-2"))
}
