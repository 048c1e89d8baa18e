package replicator_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/replicator"
)

// drainDeadline is the shortest time, over all deployments, within which every
// instance must stop sending requests to a leaving server.
const drainDeadline = 2500 * time.Millisecond

// withFleet runs a test on a fleet that has been up for five seconds of virtual time.
func withFleet(t *testing.T, domains []int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(domains...)
		defer f.stop()
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

// requirePropagation writes to the store and requires that the write reaches all the
// given instances within drainDeadline.
func requirePropagation(t require.TestingT, f *fleet, nodes ...*node) {
	f.write()
	time.Sleep(drainDeadline)
	f.mu.Lock()
	want := len(f.written)
	f.mu.Unlock()
	for _, n := range nodes {
		require.Len(t, n.seenEvacuations(), want, n.ID)
	}
}

func watchers(f *fleet) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, n := range f.nodes {
		if n.watchScope == replicator.WatchAll && !n.isDown {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

func TestOneInstanceOfADomainWatchesTheStore(t *testing.T) {
	withFleet(t, []int{5, 3, 1}, func(t *testing.T, f *fleet) {
		require.Equal(t, []string{"a-1", "b-1", "c-1"}, watchers(f))
		requirePropagation(t, f, f.nodes...)
		before := f.callCount()
		time.Sleep(time.Minute)
		// Four watches of three seconds for each of three relays.
		require.LessOrEqual(t, f.callCount()-before, 3*4*21)
	})
}

// Guards against updates that stop when a relay fails. After any fault of a relay,
// all instances that can reach the store or another relay must get updates in time,
// and only few instances may keep watches of their own.
func TestUpdatesPropagateAfterARelayFault(t *testing.T) {
	for name, test := range map[string]struct {
		inject func(f *fleet, relay *node)
		// isRelayExcluded is whether the relay itself cannot get updates.
		isRelayExcluded bool
	}{
		"killed":            {func(_ *fleet, r *node) { r.kill() }, true},
		"frozen":            {func(f *fleet, r *node) { f.modify(func() { r.isFrozen = true }) }, true},
		"cut from store":    {func(f *fleet, r *node) { f.modify(func() { r.isCutFromStore = true }) }, false},
		"rejected by store": {func(f *fleet, r *node) { f.modify(func() { r.isRejected = true }) }, false},
		"cut from peers":    {func(f *fleet, r *node) { f.modify(func() { r.isCutFromPeers = true }) }, false},
		"restarted":         {func(_ *fleet, r *node) { r.restart() }, false},
		"stopped":           {func(_ *fleet, r *node) { r.current().Close() }, false},
		"killed with next":  {func(f *fleet, r *node) { r.kill(); f.nodes[1].kill() }, true},
		"frozen with next":  {func(f *fleet, r *node) { f.modify(func() { r.isFrozen, f.nodes[1].isFrozen = true, true }) }, true},
		"frozen, next dead": {func(f *fleet, r *node) { f.modify(func() { r.isFrozen = true }); f.nodes[1].kill() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []int{5, 3}, func(t *testing.T, f *fleet) {
				relay := f.nodes[0]
				test.inject(f, relay)
				expected := slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.isDown || n.isFrozen || (test.isRelayExcluded && n == relay) })
				requirePropagation(t, f, expected...)
				time.Sleep(10 * time.Second)
				requirePropagation(t, f, expected...)
				// A relay that runs but that no instance can follow watches as well.
				require.LessOrEqual(t, len(watchers(f)), 4)
			})
		})
	}
}

// Guards against a failure domain that gets no updates while the store rejects all
// its instances. It must get them from instances of another domain.
func TestADomainThatTheStoreRejectsGetsUpdatesFromOtherDomains(t *testing.T) {
	withFleet(t, []int{3, 3}, func(t *testing.T, f *fleet) {
		f.modify(func() {
			for _, n := range f.nodes[:3] {
				n.isRejected = true
			}
		})
		time.Sleep(5 * time.Second)
		requirePropagation(t, f, f.nodes...)
		f.modify(func() {
			for _, n := range f.nodes[:3] {
				n.isRejected = false
			}
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-1", "b-1"}, watchers(f))
	})
}

// All instances watch an unavailable store, because it may answer any of them first.
// Guards against an outage that is not detected, and against extra watches that
// remain after the store is available again.
func TestAStoreOutageIsDetectedAndCleared(t *testing.T) {
	withFleet(t, []int{4, 2}, func(t *testing.T, f *fleet) {
		f.modify(func() { f.isStoreUnavailable = true })
		time.Sleep(8 * time.Second)
		for _, n := range f.nodes {
			require.True(t, n.current().IsStoreUnavailable(), n.ID)
		}
		f.modify(func() { f.isStoreUnavailable = false })
		requirePropagation(t, f, f.nodes...)
		for _, n := range f.nodes {
			require.False(t, n.current().IsStoreUnavailable(), n.ID)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-1", "b-1"}, watchers(f))
	})
}

func TestAnInstanceThatStartsWithoutTheStoreBootstrapsFromItsSeeds(t *testing.T) {
	withFleet(t, []int{1, 1, 1}, func(t *testing.T, f *fleet) {
		requirePropagation(t, f, f.nodes...)
		f.modify(func() { f.isStoreUnavailable = true })
		f.nodes[0].restart()
		time.Sleep(drainDeadline)
		require.Len(t, f.nodes[0].seenEvacuations(), 1)
		require.True(t, f.nodes[0].current().state.IsLoaded())
	})
}

// Guards against a relay that confirms stale state after its machine was suspended.
// It has missed the changes in between, although by its clock the store answered
// only just now. It must not confirm its state until the store answers again.
func TestAResumedRelayDoesNotConfirmStaleState(t *testing.T) {
	withFleet(t, []int{2}, func(t *testing.T, f *fleet) {
		relay := f.nodes[0]
		f.modify(func() { relay.isCutFromStore = true; relay.suspended += 5 * time.Second })
		f.write()
		time.Sleep(300 * time.Millisecond)
		update, _ := relay.current().Since(replicator.Cursor{})
		require.True(t, update.ConfirmedAt.Before(time.Now().Add(-200*time.Millisecond)))
		f.modify(func() { relay.isCutFromStore = false })
		requirePropagation(t, f, f.nodes...)
	})
}

// Guards against a starting instance that waits long for an unresponsive relay: it
// cannot serve callers until its state is loaded.
func TestAStartingInstanceDoesNotWaitForAnUnresponsiveRelay(t *testing.T) {
	withFleet(t, []int{3}, func(t *testing.T, f *fleet) {
		f.modify(func() { f.nodes[0].isFrozen = true })
		f.nodes[1].restart()
		time.Sleep(time.Second)
		require.True(t, f.nodes[1].current().state.IsLoaded())
	})
}

// All instances lose power and most of them start again together. Guards against
// instances that wait for relays that did not come back, and against a store that
// all instances keep watching.
func TestAFleetThatStartsTogether(t *testing.T) {
	withFleet(t, []int{6, 6}, func(t *testing.T, f *fleet) {
		requirePropagation(t, f, f.nodes...)
		for _, n := range f.nodes {
			n.kill()
		}
		restarted := slices.Concat(f.nodes[2:6], f.nodes[6:])
		for _, n := range restarted {
			n.start()
		}
		time.Sleep(drainDeadline)
		for _, n := range restarted {
			require.Len(t, n.seenEvacuations(), 1, n.ID)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-3", "b-1"}, watchers(f))
	})
}

// fault is a fault of an instance or of the store, or a write to the store.
type fault struct {
	node  int
	kind  int
	pause time.Duration
}

func (x fault) inject(f *fleet) {
	n := f.nodes[x.node%len(f.nodes)]
	switch x.kind {
	case 0:
		n.restart()
	case 1:
		f.modify(func() { n.isFrozen = !n.isFrozen })
	case 2:
		f.modify(func() { n.isCutFromStore = !n.isCutFromStore })
	case 3:
		f.modify(func() { n.isCutFromPeers = !n.isCutFromPeers })
	case 4:
		f.modify(func() { n.isRejected = !n.isRejected })
	case 5:
		f.modify(func() { f.isStoreUnavailable = !f.isStoreUnavailable })
	default:
		f.write()
	}
	time.Sleep(x.pause)
}

// Guards against an instance that reverts to an older configuration without a
// restart, through any mix of kills, freezes, network cuts and outages. Once all
// faults are over, every instance must be up to date in time.
func TestNoInstanceRevertsToAnOlderConfiguration(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		domains := []int{rapid.IntRange(1, 4).Draw(r, "a"), rapid.IntRange(1, 3).Draw(r, "b")}
		faults := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				node:  rapid.IntRange(0, 6).Draw(r, "node"),
				kind:  rapid.IntRange(0, 8).Draw(r, "kind"),
				pause: time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond,
			}
		}), 1, 12).Draw(r, "faults")
		ok := t.Run("", func(t *testing.T) {
			withFleet(t, domains, func(t *testing.T, f *fleet) {
				for _, x := range faults {
					x.inject(f)
				}
				f.modify(func() {
					f.isStoreUnavailable = false
					for _, n := range f.nodes {
						n.isFrozen, n.isCutFromStore, n.isCutFromPeers, n.isRejected = false, false, false, false
					}
				})
				time.Sleep(5 * time.Second)
				requirePropagation(t, f, f.nodes...)
				for _, n := range f.nodes {
					require.True(t, slices.IsSorted(n.versions), "%s: %v", n.ID, n.versions)
				}
			})
		})
		require.True(r, ok)
	})
}
