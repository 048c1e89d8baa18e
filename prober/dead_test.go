package prober_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

// Guards against instances that all act on a death at once: each knows how many live ones
// come before it.
func TestTheRankOfADeathIsTheNumberOfLiveInstancesBefore(t *testing.T) {
	run(t, 20, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		require.Empty(t, p.Dead())
		for _, n := range []int{1, 4, 5} {
			f.kill(all[n].ID)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, []prober.Dead{{Instance: all[1], Rank: 0}, {Instance: all[4], Rank: 2}, {Instance: all[5], Rank: 2}}, p.Dead())

		p.SetInstances(append(all[:4:4], all[5:]...))
		require.Equal(t, []prober.Dead{{Instance: all[1], Rank: 0}, {Instance: all[5], Rank: 2}}, p.Dead(), "one is not listed any more")
		f.set(all[5].ID, prober.State{Incarnation: 1})
		time.Sleep(time.Second)
		require.Equal(t, []prober.Dead{{Instance: all[1], Rank: 0}}, p.Dead(), "one answers again")
	})
}
