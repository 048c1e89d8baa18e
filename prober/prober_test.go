package prober_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

// fleet is a fake of the other instances.
type fleet struct {
	mu      sync.Mutex
	states  map[string]prober.State
	probed  map[string]int
	removed []string
	changes int
}

func (f *fleet) probe(_ context.Context, i namer.Instance) (prober.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed[i.ID]++
	state, isAlive := f.states[i.ID]
	if !isAlive {
		return prober.State{}, errors.New("no answer")
	}
	return state, nil
}

// observed returns the number of instances that were probed, the instances that
// became dead, and the number of calls of OnChange.
func (f *fleet) observed() (probed int, removed []string, changes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.probed), slices.Clone(f.removed), f.changes
}

// forgetProbes forgets which instances were probed.
func (f *fleet) forgetProbes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.probed)
}

func (f *fleet) removedIDs() []string {
	_, removed, _ := f.observed()
	return removed
}

func (f *fleet) changed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes++
}

func (f *fleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.states, id)
}

func (f *fleet) set(id string, s prober.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = s
}

func instances(n int) []namer.Instance {
	var all []namer.Instance
	for i := range n {
		all = append(all, namer.Instance{ID: fmt.Sprintf("entry-%03d", i), Incarnation: 1})
	}
	return all
}

func run(t *testing.T, n int, test func(f *fleet, p *prober.Prober, all []namer.Instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{states: map[string]prober.State{}, probed: map[string]int{}}
		all := instances(n)
		for _, i := range all {
			f.states[i.ID] = prober.State{Incarnation: 1}
		}
		p := prober.New(prober.Config{
			Self:  all[0].ID,
			Probe: f.probe,
			OnVerdict: func(v prober.Verdict) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if v.IsDead {
					f.removed = append(f.removed, v.Instance)
				}
			},
			OnChange: f.changed,
			Log:      slog.New(slog.DiscardHandler),
		})
		p.SetInstances(all)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		test(f, p, all)
		cancel()
		<-done
		synctest.Wait()
	})
}

func TestADeadInstanceIsDetected(t *testing.T) {
	run(t, 4, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		require.Empty(t, f.removedIDs())
		f.kill(all[2].ID)
		time.Sleep(4 * time.Second)
		require.True(t, p.IsDead(all[2]))
		require.False(t, p.IsDead(all[1]))
		require.Equal(t, []string{all[2].ID}, f.removedIDs(), "OnVerdict is called once")

		restarted := all[2]
		restarted.Incarnation = 2
		f.set(restarted.ID, prober.State{Incarnation: 2})
		p.SetInstances([]namer.Instance{all[0], all[1], restarted, all[3]})
		require.False(t, p.IsDead(restarted))
		time.Sleep(5 * time.Second)
		require.False(t, p.IsDead(restarted))
	})
}

func TestAnInstanceThatMissesOneProbeIsNotDead(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		for range 5 {
			f.kill(all[1].ID)
			time.Sleep(1500 * time.Millisecond)
			f.set(all[1].ID, prober.State{Incarnation: 1})
			time.Sleep(2 * time.Second)
		}
		require.False(t, p.IsDead(all[1]))
		require.Empty(t, f.removedIDs())
	})
}

func TestAStoppingInstanceIsDeadAtOnce(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		f.set(all[1].ID, prober.State{Incarnation: 1, IsStopping: true})
		time.Sleep(time.Second)
		require.True(t, p.IsDead(all[1]))
	})
}

func TestAnInstanceThatAnswersAgainLives(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(time.Second)
		f.kill(all[1].ID)
		time.Sleep(5 * time.Second)
		require.True(t, p.IsDead(all[1]))
		f.set(all[1].ID, prober.State{Incarnation: 1})
		time.Sleep(2 * time.Second)
		require.False(t, p.IsDead(all[1]))
		_, _, changes := f.observed()
		require.Equal(t, 4, changes, "the first answers of both, a death, a recovery")
	})
}

// The number of probes must not grow with the fleet, and dead instances must not
// keep the live ones after them in the ring from being probed.
func TestAnInstanceProbesAFewOthers(t *testing.T) {
	run(t, 200, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		probed, _, _ := f.observed()
		require.Equal(t, 8, probed)
		for _, i := range all[1:9] {
			f.kill(i.ID)
		}
		time.Sleep(8 * time.Second)
		probed, removed, _ := f.observed()
		require.Len(t, removed, 8)
		// Two more for each that had just begun to miss probes.
		require.Equal(t, 8+8+2*8, probed)
		f.forgetProbes()
		time.Sleep(8 * time.Second)
		probed, _, _ = f.observed()
		require.LessOrEqual(t, probed, 16, "the dead and the next live ones again")
	})
}

// While the store is unavailable, its entries don't show that an instance has
// restarted. A probe that finds a later incarnation counts as answered only once
// that incarnation is ready.
func TestALaterStartThatIsReadyLives(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		f.kill(all[1].ID)
		time.Sleep(5 * time.Second)
		f.set(all[1].ID, prober.State{Incarnation: 2})
		time.Sleep(2 * time.Second)
		require.True(t, p.IsDead(all[1]), "it cannot serve callers yet")
		f.set(all[1].ID, prober.State{Incarnation: 2, IsReady: true})
		time.Sleep(2 * time.Second)
		require.False(t, p.IsDead(all[1]))
	})
}

// Guards against a live instance that look-ups leave out for good: it was not ready when it was
// last probed, and has come to be the neighbour of others only.
func TestAnInstanceThatIsNotProbedAnyMoreIsNotUnready(t *testing.T) {
	run(t, 30, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		unready := all[20]
		f.set(unready.ID, prober.State{Incarnation: 1})
		p.SetInstances([]namer.Instance{all[0], unready})
		time.Sleep(2 * time.Second)
		require.True(t, p.IsUnready(unready))
		p.SetInstances(all)
		f.set(unready.ID, prober.State{Incarnation: 1, IsReady: true})
		_, _, before := f.observed()
		time.Sleep(6 * time.Second)
		require.False(t, p.IsUnready(unready))
		_, _, after := f.observed()
		require.Greater(t, after, before, "look-ups are told")
	})
}
