package replicator

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/router"
)

// inEra returns a position for tests.
func inEra(era, revision uint64) follower.Position {
	position, err := follower.NewPosition(era, revision)
	if err != nil {
		panic(err)
	}
	return position
}

// Guards against servers that get no requests after a drill, although they live: what an
// earlier copy of the store lacks may only not be written again yet.
func TestWhatAnEarlierCopyLacksHasTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, got := newTestReplica()
		old := []item{put("kept", 2, 1), put("returns", 8, 1), put("gone", 9, 1), put("removed", 9, 1)}
		require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: inEra(1, 9), Items: old}))
		require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: inEra(2, 4), Items: []item{put("kept", 2, 1)}}))
		require.Equal(t, map[string]int{"kept": 1, "returns": 1, "gone": 1, "removed": 1}, got.values)

		require.NoError(t, r.ApplyChange(change{After: inEra(2, 4), Position: inEra(2, 6), Items: []item{
			put("returns", 5, 2), {Name: "removed", Removed: true},
		}}))
		require.Equal(t, map[string]int{"kept": 1, "returns": 2, "gone": 1}, got.values)
		r.Expire(true, time.Now())
		require.Contains(t, got.values, "gone", "there is still time")

		time.Sleep(returnWindow)
		r.Expire(true, time.Now())
		require.Equal(t, map[string]int{"kept": 1, "returns": 2}, got.values)
		require.Len(t, r.Since(0).Items, 2, "an instance that starts does not get what is lost")
	})
}

// Guards against the end of that time while nothing can be written: the store is away again
// at once, or comes back from an earlier copy twice.
func TestTheTimeToReturnBeginsAnewWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, got := newTestReplica()
		require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: inEra(1, 9), Items: []item{put("a", 8, 1)}}))
		require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: inEra(2, 4)}))
		time.Sleep(returnWindow)
		r.Expire(false, time.Now())
		r.Expire(true, time.Now())
		require.Contains(t, got.values, "a", "the store was away")

		time.Sleep(returnWindow - time.Millisecond)
		require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: inEra(3, 2)}))
		time.Sleep(time.Second)
		r.Expire(true, time.Now())
		require.Contains(t, got.values, "a", "the store has come back twice")
		time.Sleep(returnWindow)
		r.Expire(true, time.Now())
		require.Empty(t, got.values)
	})
}

func configurationAt(position follower.Position, versions ...uint64) follower.Change[router.Configuration] {
	c := follower.Change[router.Configuration]{IsWhole: true, Position: position}
	for _, version := range versions {
		c.Items = append(c.Items, follower.Item[router.Configuration]{
			Name: configurationName, Revision: position, Value: router.Configuration{Version: version},
		})
	}
	return c
}

// Guards against a configuration that is handed on although a newer one was in force: the
// store has lost the newer one, and an instance that starts must not get the older one.
func TestACopyOfAnEarlierConfigurationReplacesNothing(t *testing.T) {
	for name, versions := range map[string][]uint64{"older": {8}, "none": nil} {
		t.Run(name, func(t *testing.T) {
			s, fed := newTestState(), newTestState()
			require.NoError(t, s.Configurations.ApplyChange(configurationAt(inEra(1, 9), 11)))
			require.NoError(t, s.Configurations.ApplyChange(configurationAt(inEra(2, 4), versions...)))
			require.EqualValues(t, 11, s.Cursor().Version)
			s.Expire(true, time.Now().Add(time.Hour))
			require.EqualValues(t, 11, s.Cursor().Version)
			update, _ := s.Since(Cursor{})
			require.NoError(t, fed.Apply(update))
			require.EqualValues(t, 11, fed.Cursor().Version)
			require.NoError(t, s.Configurations.ApplyChange(configurationAt(inEra(2, 5), 13)))
			require.EqualValues(t, 13, s.Cursor().Version)
		})
	}
}

// newEras returns the histories of a store that comes back from earlier copies.
func newEras(t *rapid.T) []*history {
	eras := []*history{newHistory(t)}
	for range rapid.IntRange(1, 2).Draw(t, "restores") {
		before := eras[len(eras)-1]
		kept := rapid.IntRange(2, len(before.states)-1).Draw(t, "kept")
		after := newHistory(t)
		next := &history{states: slices.Clone(before.states[:kept])}
		for _, e := range before.events {
			if int(e.Revision) < kept {
				next.events = append(next.events, e)
			}
		}
		for _, e := range after.events {
			if int(e.Revision) < kept {
				continue
			}
			state := maps.Clone(next.states[len(next.states)-1])
			delete(state, e.Name)
			if !e.Removed {
				state[e.Name] = e.Value
			}
			next.states = append(next.states, state)
			next.events = append(next.events, e)
		}
		eras = append(eras, next)
	}
	return eras
}

// withEra moves a change to an era.
func withEra(c change, era int) change {
	move := func(p follower.Position) follower.Position { return inEra(uint64(era), p.Revision()) }
	c.After, c.Position = move(c.After), move(c.Position)
	c.Items = slices.Clone(c.Items)
	for i := range c.Items {
		c.Items[i].Revision = move(c.Items[i].Revision)
	}
	return c
}

// Property: whatever pieces of whatever era arrive in whatever order, a copy never goes
// back, and once the time to return is over it equals the store at its position.
func TestACopyNeverGoesBackAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras := newEras(t)
		r, got := newTestReplica()
		fed, gotByFed := newTestReplica()
		before := follower.Position(0)
		for range rapid.IntRange(1, 40).Draw(t, "pieces") {
			era := rapid.IntRange(0, len(eras)-1).Draw(t, "era")
			h := eras[era]
			to := follower.Position(rapid.IntRange(1, len(h.states)-1).Draw(t, "to"))
			piece := h.whole(to)
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				piece = h.between(follower.Position(rapid.IntRange(1, int(to)).Draw(t, "after")), to)
			}
			if err := r.ApplyChange(withEra(piece, era)); err != nil {
				var gap *GapError
				require.ErrorAs(t, err, &gap)
			}
			position, isKnown := r.Position()
			require.GreaterOrEqual(t, position, before)
			before = position
			if !isKnown {
				continue
			}
			for name := range eras[position.Era()].states[position.Revision()] {
				require.Contains(t, got.values, name)
			}
			if rapid.Bool().Draw(t, "expire") {
				r.Expire(true, time.Now().Add(time.Hour))
				require.Equal(t, eras[position.Era()].states[position.Revision()], got.values)
			}
			if rapid.Bool().Draw(t, "feed") {
				cursor, _ := fed.Position()
				if update := r.Since(cursor); update != nil {
					require.NoError(t, fed.ApplyChange(*update))
				}
				fed.Expire(true, time.Now().Add(time.Hour))
				require.Equal(t, eras[position.Era()].states[position.Revision()], gotByFed.values)
			}
		}
	})
}
