package prober_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
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

// Guards against an instance of another failure domain that counts as dead for good, because
// it was probed by chance and is not probed again.
func TestADistantInstanceThatAnswersAgainLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{states: map[string]prober.State{}, probed: map[string]int{}}
		all := instances(12)
		all[11].FailureDomain = "south"
		for _, i := range all[:11] {
			f.states[i.ID] = prober.State{Incarnation: 1}
		}
		p := prober.New(prober.Config{
			Self: all[0].ID, Probe: f.probe, OnChange: f.changed, Log: slog.New(slog.DiscardHandler),
			OnVerdict: func(prober.Verdict) {},
		})
		p.SetInstances(all)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		time.Sleep(5 * time.Second)
		require.Equal(t, []prober.Dead{{Instance: all[11], Rank: 10}}, p.Dead())
		f.set(all[11].ID, prober.State{Incarnation: 1})
		time.Sleep(2 * time.Second)
		require.Empty(t, p.Dead())
		cancel()
		require.True(t, errors.Is(<-ended, context.Canceled))
	})
}

// Guards against an instance that counts as dead because it did not answer for a few
// milliseconds, in which several rounds of probes were woken.
func TestRoundsRightAfterEachOtherCountAsOneMiss(t *testing.T) {
	run(t, 4, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		f.kill(all[1].ID)
		for range 5 {
			p.Wake()
			time.Sleep(5 * time.Millisecond)
		}
		f.set(all[1].ID, prober.State{Incarnation: 1})
		time.Sleep(2 * time.Second)
		require.False(t, p.IsDead(all[1]))
		require.Empty(t, f.removedIDs())
	})
}

// Guards against a death that is noticed later because rounds were woken in between.
func TestWokenRoundsDoNotDelayADeath(t *testing.T) {
	run(t, 4, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		f.kill(all[1].ID)
		for range 10 {
			p.Wake()
			time.Sleep(275 * time.Millisecond)
		}
		require.True(t, p.IsDead(all[1]))
	})
}
