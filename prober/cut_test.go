package prober_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

// A quarter of those that are probed must be silent.
func TestAnInstanceThatMissesManyMayBeCutOff(t *testing.T) {
	run(t, 9, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(2 * time.Second)
		require.False(t, p.MayBeIsolated())
		f.kill(all[1].ID)
		time.Sleep(time.Second)
		require.False(t, p.MayBeIsolated())
		f.kill(all[2].ID)
		time.Sleep(time.Second)
		require.True(t, p.MayBeIsolated())
	})
}

// After the start all instances are asked, up to a number, but only where that is wanted.
func TestAfterTheStartOthersThanTheNeighboursAreProbed(t *testing.T) {
	for _, isWanted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{states: map[string]prober.State{}, probed: map[string]int{}}
			all := instances(60)
			for _, i := range all {
				f.states[i.ID] = prober.State{Incarnation: 1}
			}
			p := prober.New(prober.Config{
				Self: all[0].ID, Probe: f.probe, ProbesMoreAtStart: func() bool { return isWanted },
				OnChange: f.changed, Log: slog.New(slog.DiscardHandler),
			})
			p.SetInstances(all)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			require.Error(t, p.Run(ctx))
			probed, _, _ := f.observed()
			require.Equal(t, isWanted, probed == 59, probed)
		})
	}
}
