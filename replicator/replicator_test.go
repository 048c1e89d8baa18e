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

// drainBound is the shortest time in which a server that leaves must be left
// alone everywhere, on any deployment.
const drainBound = 2500 * time.Millisecond

// inWorld runs a test in a bubble of virtual time.
func inWorld(t *testing.T, domains []int, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(domains...)
		defer w.stop()
		time.Sleep(5 * time.Second)
		test(t, w)
	})
}

// requireNews writes something and requires that all the given instances know it
// in time.
func requireNews(t require.TestingT, w *world, nodes ...*node) {
	w.write()
	time.Sleep(drainBound)
	w.mu.Lock()
	want := len(w.written)
	w.mu.Unlock()
	for _, n := range nodes {
		require.Len(t, n.knows(), want, n.ID)
	}
}

func watchers(w *world) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, n := range w.nodes {
		if n.watching == replicator.WatchAll && !n.isDown {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

func TestOneInstanceOfADomainWatchesTheStore(t *testing.T) {
	inWorld(t, []int{5, 3, 1}, func(t *testing.T, w *world) {
		require.Equal(t, []string{"a-1", "b-1", "c-1"}, watchers(w))
		requireNews(t, w, w.nodes...)
		before := w.callCount()
		time.Sleep(time.Minute)
		// Four watches of three seconds for each of three relays.
		require.LessOrEqual(t, w.callCount()-before, 3*4*21)
	})
}

// Whatever happens to a relay, who is in touch with the store knows what is new in
// time, and nobody keeps watching for longer than needed.
func TestNewsOutliveTheRelay(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(w *world, relay *node)
		// others says that the relay itself is not in touch.
		othersOnly bool
	}{
		"killed":            {func(_ *world, r *node) { r.kill() }, true},
		"frozen":            {func(w *world, r *node) { w.with(func() { r.isFrozen = true }) }, true},
		"cut from store":    {func(w *world, r *node) { w.with(func() { r.isCutFromStore = true }) }, false},
		"turned away":       {func(w *world, r *node) { w.with(func() { r.isTurnedAway = true }) }, false},
		"cut from peers":    {func(w *world, r *node) { w.with(func() { r.isCutFromPeers = true }) }, false},
		"restarted":         {func(_ *world, r *node) { r.restart() }, false},
		"stopped":           {func(_ *world, r *node) { r.now().Close() }, false},
		"killed with next":  {func(w *world, r *node) { r.kill(); w.nodes[1].kill() }, true},
		"frozen with next":  {func(w *world, r *node) { w.with(func() { r.isFrozen, w.nodes[1].isFrozen = true, true }) }, true},
		"frozen, next dead": {func(w *world, r *node) { w.with(func() { r.isFrozen = true }); w.nodes[1].kill() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, []int{5, 3}, func(t *testing.T, w *world) {
				relay := w.nodes[0]
				test.happens(w, relay)
				in := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.isDown || n.isFrozen || (test.othersOnly && n == relay) })
				requireNews(t, w, in...)
				time.Sleep(10 * time.Second)
				requireNews(t, w, in...)
				// A relay that lives but that nobody can follow watches besides.
				require.LessOrEqual(t, len(watchers(w)), 4)
			})
		})
	}
}

// The store turns a whole failure domain away: it goes on through others.
func TestADomainThatTheStoreTurnsAwayLearnsFromOthers(t *testing.T) {
	inWorld(t, []int{3, 3}, func(t *testing.T, w *world) {
		w.with(func() {
			for _, n := range w.nodes[:3] {
				n.isTurnedAway = true
			}
		})
		time.Sleep(5 * time.Second)
		requireNews(t, w, w.nodes...)
		w.with(func() {
			for _, n := range w.nodes[:3] {
				n.isTurnedAway = false
			}
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-1", "b-1"}, watchers(w))
	})
}

// All watch a store that is away, because it may answer any of them first. When it
// is back, they do not any more.
func TestAnOutageOfTheStoreIsNoticedAndForgotten(t *testing.T) {
	inWorld(t, []int{4, 2}, func(t *testing.T, w *world) {
		w.with(func() { w.isAway = true })
		time.Sleep(8 * time.Second)
		for _, n := range w.nodes {
			require.True(t, n.now().IsStoreUnavailable(), n.ID)
		}
		w.with(func() { w.isAway = false })
		requireNews(t, w, w.nodes...)
		for _, n := range w.nodes {
			require.False(t, n.now().IsStoreUnavailable(), n.ID)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-1", "b-1"}, watchers(w))
	})
}

func TestAnInstanceThatStartsWithoutTheStoreAsksItsSeeds(t *testing.T) {
	inWorld(t, []int{1, 1, 1}, func(t *testing.T, w *world) {
		requireNews(t, w, w.nodes...)
		w.with(func() { w.isAway = true })
		w.nodes[0].restart()
		time.Sleep(drainBound)
		require.Len(t, w.nodes[0].knows(), 1)
		require.True(t, w.nodes[0].now().state.IsLoaded())
	})
}

// A relay that was suspended knows nothing of the meantime, although its clock says
// that it has just heard of the store: it does not say so until the store has
// answered it again.
func TestARelayThatWakesDoesNotVouchForOldNews(t *testing.T) {
	inWorld(t, []int{2}, func(t *testing.T, w *world) {
		relay := w.nodes[0]
		w.with(func() { relay.isCutFromStore = true; relay.suspended += 5 * time.Second })
		w.write()
		time.Sleep(300 * time.Millisecond)
		news, _ := relay.now().Since(replicator.Cursor{})
		require.True(t, news.ConfirmedAt.Before(time.Now().Add(-200*time.Millisecond)))
		w.with(func() { relay.isCutFromStore = false })
		requireNews(t, w, w.nodes...)
	})
}

// The relay of an instance that starts may be dark: it does not wait for it for
// long, because it can serve nobody meanwhile.
func TestAnInstanceThatStartsDoesNotWaitForADarkRelay(t *testing.T) {
	inWorld(t, []int{3}, func(t *testing.T, w *world) {
		w.with(func() { w.nodes[0].isFrozen = true })
		w.nodes[1].restart()
		time.Sleep(time.Second)
		require.True(t, w.nodes[1].now().state.IsLoaded())
	})
}

// All lose power and start together, while some do not come back: who lives knows
// everything soon, and the store is not asked by all for long.
func TestAFleetThatStartsTogether(t *testing.T) {
	inWorld(t, []int{6, 6}, func(t *testing.T, w *world) {
		requireNews(t, w, w.nodes...)
		for _, n := range w.nodes {
			n.kill()
		}
		living := slices.Concat(w.nodes[2:6], w.nodes[6:])
		for _, n := range living {
			n.start()
		}
		time.Sleep(drainBound)
		for _, n := range living {
			require.Len(t, n.knows(), 1, n.ID)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a-3", "b-1"}, watchers(w))
	})
}

// trouble is something that happens to an instance, or to the store.
type trouble struct {
	node  int
	kind  int
	pause time.Duration
}

func (x trouble) happen(w *world) {
	n := w.nodes[x.node%len(w.nodes)]
	switch x.kind {
	case 0:
		n.restart()
	case 1:
		w.with(func() { n.isFrozen = !n.isFrozen })
	case 2:
		w.with(func() { n.isCutFromStore = !n.isCutFromStore })
	case 3:
		w.with(func() { n.isCutFromPeers = !n.isCutFromPeers })
	case 4:
		w.with(func() { n.isTurnedAway = !n.isTurnedAway })
	case 5:
		w.with(func() { w.isAway = !w.isAway })
	default:
		w.write()
	}
	time.Sleep(x.pause)
}

// Through any mix of kills, freezes, cuts and outages no instance goes back to an
// older configuration within one life, and once all is well again everybody knows
// everything in time.
func TestNobodyGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		domains := []int{rapid.IntRange(1, 4).Draw(r, "a"), rapid.IntRange(1, 3).Draw(r, "b")}
		troubles := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) trouble {
			return trouble{
				node:  rapid.IntRange(0, 6).Draw(r, "node"),
				kind:  rapid.IntRange(0, 8).Draw(r, "kind"),
				pause: time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond,
			}
		}), 1, 12).Draw(r, "troubles")
		ok := t.Run("", func(t *testing.T) {
			inWorld(t, domains, func(t *testing.T, w *world) {
				for _, x := range troubles {
					x.happen(w)
				}
				w.with(func() {
					w.isAway = false
					for _, n := range w.nodes {
						n.isFrozen, n.isCutFromStore, n.isCutFromPeers, n.isTurnedAway = false, false, false, false
					}
				})
				time.Sleep(5 * time.Second)
				requireNews(t, w, w.nodes...)
				for _, n := range w.nodes {
					require.True(t, slices.IsSorted(n.versions), "%s: %v", n.ID, n.versions)
				}
			})
		})
		require.True(r, ok)
	})
}
