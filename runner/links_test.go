package runner_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
)

// Callers of another region are served once the entry has an allowance for the
// link, and refused without one.
func TestForeignCallersNeedAnAllowance(t *testing.T) {
	f := newTwoRegions(t)
	f.accept(1, func(c *pollencrank.Configuration) {
		c.Links = []pollencrank.Link{{From: "north", To: "south", LimitMegabitsPerSec: 100}}
	})
	south := f.entries["south-1-a"]
	f.eventually("the link is known", func() bool { return south.Generation() >= 2 })
	caller := f.newCaller()
	defer caller.Close()
	outcomes := map[standin.Outcome]int{}
	f.eventually("a caller near the north is served in the south", func() bool {
		result := caller.SendTo(context.Background(), south.Instance().CallerAddress, standin.Call{Method: "GET", Path: "/lookup/1", Attempt: "a"})
		outcomes[result.Outcome]++
		return result.Outcome == standin.Served
	})
	require.Zero(t, outcomes[standin.Corrupted])
	require.Zero(t, outcomes[standin.Unknown])
}
