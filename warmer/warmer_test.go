package warmer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/warmer"
)

// start is any moment.
var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func fleet(n int) (map[string]*warmer.Warmer, []string) {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("entry-%d", i))
	}
	all := map[string]*warmer.Warmer{}
	for _, id := range ids {
		all[id] = warmer.New(id)
		all[id].SetInstances(ids)
	}
	return all, ids
}

// flood asks every instance for every millisecond of a span and returns the most
// requests in any second.
func flood(all map[string]*warmer.Warmer, perSecond float64, span time.Duration) int {
	var sent []time.Time
	for at := time.Duration(0); at < span; at += time.Millisecond {
		for _, w := range all {
			if w.Take("server", perSecond, start.Add(at)) {
				sent = append(sent, start.Add(at))
			}
		}
	}
	most := 0
	for i := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later.Sub(sent[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The bound of the deployments is 1.5 times the rate plus 5.
func TestAllInstancesTogetherKeepTheRate(t *testing.T) {
	for _, instances := range []int{1, 2, 8, 61} {
		all, _ := fleet(instances)
		const perSecond = 6
		most := flood(all, perSecond, 5*time.Second)
		require.LessOrEqual(t, most, perSecond*3/2+5, "%d instances", instances)
		require.GreaterOrEqual(t, most, 1)
	}
}

func TestRateHoldsWhileInstancesDisagree(t *testing.T) {
	all, ids := fleet(8)
	i := 0
	for _, w := range all {
		// Each of them misses another one.
		w.SetInstances(append(append([]string{}, ids[:i]...), ids[i+1:]...))
		i++
	}
	require.LessOrEqual(t, flood(all, 6, 5*time.Second), 6*3/2+5)
}

// All instances start anew after a power loss, and servers are cold then.
func TestAnInstanceThatKnowsNobodySendsNothing(t *testing.T) {
	w := warmer.New("entry-1")
	require.False(t, w.Take("server", 6, start))
	w.SetInstances([]string{"entry-1"})
	require.True(t, w.Take("server", 6, start.Add(time.Second)))
}

func TestAServerHasASender(t *testing.T) {
	all, _ := fleet(8)
	for server := range 50 {
		senders := 0
		for _, w := range all {
			if w.Take(fmt.Sprint(server), 6, start) {
				senders++
			}
		}
		require.Equal(t, 2, senders)
	}
}

func TestAnInstanceThatLeavesIsReplaced(t *testing.T) {
	all, ids := fleet(8)
	for server := range 20 {
		name := fmt.Sprint(server)
		for _, id := range ids {
			if !all[id].Take(name, 6, start) {
				continue
			}
			var left []string
			for _, other := range ids {
				if other != id {
					left = append(left, other)
				}
			}
			senders := 0
			for _, other := range left {
				all[other].SetInstances(left)
				if all[other].Take(name, 6, start.Add(time.Second)) {
					senders++
				}
			}
			require.Equal(t, 2, senders)
			for _, other := range left {
				all[other].SetInstances(ids)
			}
			break
		}
	}
}
