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

// Guards against an instance that cannot serve because the store is unavailable while it
// starts: it must bootstrap from a seed, be named in look-ups with the other instance,
// and replace the bootstrapped state when the store answers.
func TestAnInstanceStartsFromAnotherWhileTheStoreIsAway(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.startServer(t, "i-1", echo)
	s.evacuations.set("north-b", registrar.Evacuation{FailureDomain: "north-b"}, false)
	first := s.start(t, "entry-1", 1)
	eventually(t, "the first is ready", func() bool { return first.isReady(t) })

	unavailable := newStoreAt(s.servers.latest)
	gate := make(chan struct{})
	unavailable.servers.listable, unavailable.configurations.listable = gate, gate
	unavailable.evacuations.listable, unavailable.instances.listable = gate, gate
	unavailable.seeds = []string{"127.0.0.1:1", first.PeerAddress}
	second := unavailable.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	eventually(t, "the start is logged", func() bool { return second.log.has(recorder.EventBootstrapped) })
	status, body, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "/x/1", body)
	eventually(t, "the first is named by the second", func() bool { return strings.Contains(second.lookup(t), first.CallerAddress) })

	// The store's state then replaces the bootstrapped one.
	unavailable.configure(5, "/y/")
	close(gate)
	eventually(t, "the new route is served", func() bool {
		status, _, _ := second.get(t, "/y/1")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against a bootstrap that replaces newer state: a seed that has lost the store
// answers with an older configuration than the one that the store has returned.
func TestBootstrapFromAStaleInstanceDoesNotReplaceNewerState(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.startServer(t, "i-1", echo)
	stale := s.start(t, "entry-1", 1)
	eventually(t, "the stale instance is ready", func() bool { return stale.isReady(t) })

	s.failCalls()
	other := newStoreAt(s.servers.latest)
	other.configure(9, "/z/")
	other.servers.isBroken.Store(true)
	other.seeds = []string{stale.PeerAddress}
	second := other.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	eventually(t, "the start is logged", func() bool { return second.log.has(recorder.EventBootstrapped) })
	status, _, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusNotFound, status)
	other.servers.set("i-1", registrar.Server{}, true)
	other.servers.isBroken.Store(false)
	eventually(t, "the store's servers are in force", func() bool {
		status, _, _ := second.get(t, "/z/1")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against an overload of the seeds: when a large fleet starts together, the
// store's listings take long. The store does answer, so no instance may bootstrap from
// the few seeds.
func TestALongListingIsWaitedFor(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	first := s.start(t, "entry-1", 1)
	eventually(t, "the first is ready", func() bool { return first.isReady(t) })

	gate := make(chan struct{})
	s.servers.listable = gate
	s.seeds = []string{first.PeerAddress}
	second := s.start(t, "entry-2", 1)
	eventually(t, "the second has waited longer than for an unavailable store", func() bool { return second.lookup(t) == "" })
	close(gate)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	require.False(t, second.log.has(recorder.EventBootstrapped))
}

// Guards against look-ups that name an instance which does not serve yet: when all
// instances start together, an entry in the store does not show that its instance is up.
func TestLookupsAfterAStartOmitInstancesThatHaveNotAnswered(t *testing.T) {
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
	eventually(t, "the instance that is up is named", func() bool {
		named := second.lookup(t)
		require.NotContains(t, named, down.CallerAddress)
		return strings.Contains(named, up.CallerAddress)
	})
}
