package runner_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
)

// An entry serves a caller of another region once it has an allowance for the link
// between the regions, and refuses the caller until then.
func TestForeignCallersNeedAnAllowance(t *testing.T) {
	f := newTwoRegions(t)
	f.accept(1, func(c *pollencrank.Configuration) {
		c.Links = []pollencrank.Link{{From: "north", To: "south", LimitMegabitsPerSec: 100}}
	})
	south := f.entries["south-1-a"]
	f.eventually("the configuration with the link is in force", func() bool { return south.Generation() >= 2 })
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
