package replicator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/follower"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

type item = follower.Item[int]
type change = follower.Change[int]

// mapHandler is a handler that keeps the current values.
type mapHandler struct{ values map[string]int }

func (r *mapHandler) Reset(items []item) {
	r.values = map[string]int{}
	r.Apply(items)
}

func (r *mapHandler) Apply(items []item) {
	for _, i := range items {
		if i.Removed {
			delete(r.values, i.Name)
			continue
		}
		r.values[i.Name] = i.Value
	}
}

func newTestReplica() (*Replica[int], *mapHandler) {
	r := &mapHandler{values: map[string]int{}}
	return newReplica("test", r, newNotifier()), r
}

func put(name string, revision follower.Position, value int) item {
	return item{Name: name, Revision: revision, Value: value}
}

func TestAChangeWithAGapIsRejected(t *testing.T) {
	r, got := newTestReplica()
	var gap *GapError
	require.ErrorAs(t, r.ApplyChange(change{After: 3, Position: 5, Items: []item{put("a", 4, 1)}}), &gap)
	require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: 5, Items: []item{put("a", 4, 1)}}))
	require.ErrorAs(t, r.ApplyChange(change{After: 6, Position: 7, Items: []item{put("b", 7, 1)}}), &gap)
	require.NoError(t, r.ApplyChange(change{After: 5, Position: 7, Items: []item{put("b", 7, 1)}}))
	require.Equal(t, map[string]int{"a": 1, "b": 1}, got.values)
}

func TestOlderChangesAreIgnored(t *testing.T) {
	r, got := newTestReplica()
	require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: 9, Items: []item{put("a", 8, 2)}}))
	require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: 5, Items: []item{put("a", 4, 1), put("left", 2, 1)}}))
	require.NoError(t, r.ApplyChange(change{After: 3, Position: 9, Items: []item{put("a", 4, 1)}}))
	require.Equal(t, map[string]int{"a": 2}, got.values)
	position, isKnown := r.Position()
	require.True(t, isKnown)
	require.EqualValues(t, 9, position)
}

func TestAFollowerBeyondTheLogGetsTheWholeCollection(t *testing.T) {
	r, _ := newTestReplica()
	require.NoError(t, r.ApplyChange(change{IsWhole: true, Position: 1}))
	for i := follower.Position(1); i <= maxLogged+10; i++ {
		require.NoError(t, r.ApplyChange(change{After: i, Position: i + 1, Items: []item{put("a", i+1, int(i))}}))
	}
	require.True(t, r.Since(5).IsWhole)
	recent := r.Since(maxLogged)
	require.False(t, recent.IsWhole)
	require.Equal(t, []item{put("a", maxLogged+11, maxLogged+10)}, recent.Items)
	require.Nil(t, r.Since(maxLogged+11))
	require.True(t, r.Since(0).IsWhole, "a follower without a position")
}

// history is the sequence of all changes of a store.
type history struct {
	// states holds the values at each revision, events the change to each.
	states []map[string]int
	events []item
}

func newHistory(t *rapid.T) *history {
	h := &history{states: []map[string]int{{}, {}}}
	for revision := follower.Position(2); revision < 30; revision++ {
		name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
		next := map[string]int{}
		for k, v := range h.states[len(h.states)-1] {
			next[k] = v
		}
		event := put(name, revision, int(revision))
		if rapid.Bool().Draw(t, "removed") {
			delete(next, name)
			event = item{Name: name, Revision: revision, Removed: true}
		} else {
			next[name] = int(revision)
		}
		h.states = append(h.states, next)
		h.events = append(h.events, event)
	}
	return h
}

func (h *history) whole(position follower.Position) change {
	c := change{IsWhole: true, Position: position}
	for name, value := range h.states[position] {
		c.Items = append(c.Items, put(name, follower.Position(value), value))
	}
	return c
}

func (h *history) between(after, position follower.Position) change {
	c := change{After: after, Position: position}
	for _, e := range h.events {
		if e.Revision > after && e.Revision <= position {
			c.Items = append(c.Items, e)
		}
	}
	return c
}

// Guards against replicas that diverge from the store when pieces of its history
// arrive late, repeatedly or overlapping. A replica must always equal the store at
// the replica's position, and the position must never decrease. The same holds for
// a second replica that is updated from the first one.
func TestAReplicaMatchesTheStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		last := follower.Position(len(h.states) - 1)
		r, got := newTestReplica()
		fed, gotByFed := newTestReplica()
		before := follower.Position(0)
		for range rapid.IntRange(1, 40).Draw(t, "pieces") {
			to := follower.Position(rapid.IntRange(1, int(last)).Draw(t, "to"))
			piece := h.whole(to)
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				piece = h.between(follower.Position(rapid.IntRange(1, int(to)).Draw(t, "after")), to)
			}
			err := r.ApplyChange(piece)
			position, isKnown := r.Position()
			require.GreaterOrEqual(t, position, before)
			before = position
			if err != nil {
				var gap *GapError
				require.ErrorAs(t, err, &gap)
			}
			if !isKnown {
				continue
			}
			require.Equal(t, h.states[position], got.values)
			if rapid.Bool().Draw(t, "feed") {
				cursor, _ := fed.Position()
				if update := r.Since(cursor); update != nil {
					require.NoError(t, fed.ApplyChange(*update))
				}
				require.Equal(t, got.values, gotByFed.values)
			}
		}
	})
}
