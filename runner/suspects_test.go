package runner_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
)

func (f *fleet) crashes() int64 {
	total := int64(0)
	for _, b := range f.backends {
		total += b.Crashes()
	}
	return total
}

// A caller sends a request that crashes each server that runs it, repeatedly and
// to every entry, during load. The entries share the crashes and block the
// request after at most three.
func TestARequestThatCrashesServersIsBlocked(t *testing.T) {
	f := newFleet(t, 12)
	f.startAll(3)
	l := f.startLoad(6)
	f.waitForRuns(200)
	poison := f.newCaller()
	defer poison.Close()
	const repeats = 30
	for i := range repeats {
		for id, e := range f.entries {
			result := poison.SendTo(context.Background(), e.Instance().CallerAddress,
				standin.Call{Method: "GET", Path: "/lookup/poison", Attempt: fmt.Sprintf("poison-%s-%d", id, i)})
			require.NotEqual(t, standin.Served, result.Outcome)
		}
		f.waitForRuns(20)
	}
	result := poison.SendTo(context.Background(), f.entries["entry-1"].Instance().CallerAddress,
		standin.Call{Method: "GET", Path: "/lookup/poison", Attempt: "poison-last"})
	require.Equal(t, standin.NotRun, result.Outcome)
	require.Equal(t, string(pollencrank.ReasonCrashesServers), string(result.Reason))
	l.finish(f)
	// The requirement is at most three crashes.
	require.LessOrEqual(t, f.crashes(), int64(3))
	require.NotZero(t, f.crashes())
}
