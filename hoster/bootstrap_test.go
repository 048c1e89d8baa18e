package hoster_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

// The store is away while an instance starts: another one tells it what it needs
// to serve, and the others find that it serves.
func TestAnInstanceStartsFromAnotherWhileTheStoreIsAway(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.backend(t, "i-1", echo)
	s.evacuations.set("north-b", registrar.Evacuation{FailureDomain: "north-b"}, false)
	first := s.start(t, "entry-1", 1)
	eventually(t, "the first is ready", func() bool { return first.isReady(t) })

	away := newStoreAt(s.servers.latest)
	gate := make(chan struct{})
	away.servers.listable, away.configurations.listable = gate, gate
	away.evacuations.listable, away.instances.listable = gate, gate
	away.seeds = []string{"127.0.0.1:1", first.PeerAddress}
	second := away.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	require.True(t, second.log.has(recorder.EventBootstrapped))
	status, body, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "/x/1", body)
	eventually(t, "the other is named", func() bool { return strings.Contains(second.lookup(t), first.CallerAddress) })

	// What the store says then replaces what the other said.
	away.configure(5, "/y/")
	close(gate)
	eventually(t, "the new route is served", func() bool {
		status, _, _ := second.get(t, "/y/1")
		return status == http.StatusServiceUnavailable
	})
}

// An older configuration of another instance does not replace that of the store.
func TestAStaleInstanceDoesNotTakeAnythingBack(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.backend(t, "i-1", echo)
	stale := s.start(t, "entry-1", 1)
	eventually(t, "the stale one is ready", func() bool { return stale.isReady(t) })

	s.breakOff()
	other := newStoreAt(s.servers.latest)
	other.configure(9, "/z/")
	other.servers.isBroken.Store(true)
	other.seeds = []string{stale.PeerAddress}
	second := other.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	require.True(t, second.log.has(recorder.EventBootstrapped))
	status, _, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusNotFound, status)
	other.servers.set("i-1", registrar.Server{}, true)
	other.servers.isBroken.Store(false)
	eventually(t, "the store's servers are in force", func() bool {
		status, _, _ := second.get(t, "/z/1")
		return status == http.StatusServiceUnavailable
	})
}

// A large fleet starts together and the store's listings take long: it answers, so
// nobody asks the few seeds for everything.
func TestALongListingIsWaitedFor(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	first := s.start(t, "entry-1", 1)
	eventually(t, "the first is ready", func() bool { return first.isReady(t) })

	gate := make(chan struct{})
	s.servers.listable = gate
	s.seeds = []string{first.PeerAddress}
	second := s.start(t, "entry-2", 1)
	eventually(t, "the second has waited longer than for a store that is away", func() bool { return second.lookup(t) == "" })
	close(gate)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	require.False(t, second.log.has(recorder.EventBootstrapped))
}

// All instances start together: an entry of the store is no sign that its
// instance is up already.
func TestAnInstanceThatHasJustStartedNamesNoneThatHasNotAnsweredIt(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	down := namer.Instance{
		ID: "entry-9", Incarnation: 1, FailureDomain: "north-a", Region: "north",
		CallerAddress: "127.0.0.1:9", PeerAddress: "127.0.0.1:9",
	}
	s.instances.set(down.ID, down, false)
	up := s.start(t, "entry-1", 1)
	eventually(t, "registered", func() bool { return s.instances.has("entry-1") })
	second := s.start(t, "entry-2", 1)
	eventually(t, "the one that is up is named", func() bool {
		named := second.lookup(t)
		require.NotContains(t, named, down.CallerAddress)
		return strings.Contains(named, up.CallerAddress)
	})
}
