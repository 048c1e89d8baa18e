package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/scheduler"
)

func newBalancer(local scheduler.Load, peers ...string) *balancer.Balancer {
	b := balancer.New(balancer.Config{Self: "a", Local: func(string) scheduler.Load { return local }})
	owners := []balancer.Owner{{Instance: pollencrank.Instance{ID: "a"}, Workload: "w", Slots: 4}}
	for _, id := range peers {
		owners = append(owners, balancer.Owner{Instance: pollencrank.Instance{ID: id}, Workload: "w", Slots: 4})
	}
	b.SetOwners(owners)
	return b
}

func load(busy, waiting uint32) *peerpb.Load {
	return &peerpb.Load{Workloads: []*peerpb.WorkloadLoad{{Workload: "w", Slots: 4, Busy: busy, Waiting: waiting}}}
}

func chosenEntry(t *testing.T, b *balancer.Balancer, tried ...string) string {
	t.Helper()
	choice, ok := b.Choose("w", tried)
	if !ok {
		return ""
	}
	choice.Done()
	if choice.Peer == nil {
		return "a"
	}
	return choice.Peer.ID
}

func TestChoose(t *testing.T) {
	now := time.Now()
	free := scheduler.Load{Slots: 4, Busy: 3}
	full := scheduler.Load{Slots: 4, Busy: 4, Waiting: 4}
	require.Equal(t, "a", chosenEntry(t, newBalancer(free, "b")), "a free local slot is preferred")
	require.Equal(t, "b", chosenEntry(t, newBalancer(full, "b")), "without a free local slot, a less busy entry is chosen")
	require.Equal(t, "b", chosenEntry(t, newBalancer(free, "b"), "a"), "an entry that has been tried is left out")
	require.Empty(t, chosenEntry(t, newBalancer(scheduler.Load{}), "a"))
	require.Equal(t, "a", chosenEntry(t, newBalancer(full)), "without other entries, the request queues locally")
	b := newBalancer(full, "b")
	b.Report("b", load(4, 8), now)
	require.Equal(t, "a", chosenEntry(t, b), "a request is not forwarded to a busier entry")
	b.Report("b", load(4, 8), now.Add(-time.Minute))
	require.Equal(t, "b", chosenEntry(t, b), "an old report has less weight")
}

// Requests forwarded since the last report count as load, so that a burst is
// spread instead of going to one entry that has reported itself idle.
func TestABurstIsSpreadOverEntries(t *testing.T) {
	b := newBalancer(scheduler.Load{}, "b", "c")
	b.Report("b", load(0, 0), time.Now())
	b.Report("c", load(0, 0), time.Now())
	counts := map[string]int{}
	for range 40 {
		choice, ok := b.Choose("w", nil)
		require.True(t, ok)
		counts[choice.Peer.ID]++
	}
	require.InDelta(t, 20, counts["b"], 8)
}
