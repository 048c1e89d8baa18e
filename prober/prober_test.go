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

// fleet is a stand-in of the other instances.
type fleet struct {
	mu      sync.Mutex
	states  map[string]prober.State
	asked   map[string]int
	removed []string
	changes int
}

func (f *fleet) Ask(_ context.Context, i namer.Instance) (prober.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[i.ID]++
	state, lives := f.states[i.ID]
	if !lives {
		return prober.State{}, errors.New("no answer")
	}
	return state, nil
}

// seen returns the instances that were asked, those that were told dead, and how
// often the set of the dead changed.
func (f *fleet) seen() (asked int, removed []string, changes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.asked), slices.Clone(f.removed), f.changes
}

func (f *fleet) removedIDs() []string {
	_, removed, _ := f.seen()
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
		f := &fleet{states: map[string]prober.State{}, asked: map[string]int{}}
		all := instances(n)
		for _, i := range all {
			f.states[i.ID] = prober.State{Incarnation: 1}
		}
		p := prober.New(prober.Config{
			Self:  all[0].ID,
			Probe: f.Ask,
			OnDead: func(_ context.Context, i namer.Instance) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.removed = append(f.removed, i.ID)
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

func TestADeadInstanceIsNoticed(t *testing.T) {
	run(t, 4, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		require.Empty(t, f.removedIDs())
		f.kill(all[2].ID)
		time.Sleep(4 * time.Second)
		require.True(t, p.IsDead(all[2]))
		require.False(t, p.IsDead(all[1]))
		require.Equal(t, []string{all[2].ID}, f.removedIDs(), "told once")

		reborn := all[2]
		reborn.Incarnation = 2
		f.set(reborn.ID, prober.State{Incarnation: 2})
		p.SetInstances([]namer.Instance{all[0], all[1], reborn, all[3]})
		require.False(t, p.IsDead(reborn))
		time.Sleep(5 * time.Second)
		require.False(t, p.IsDead(reborn))
	})
}

func TestOneLostAnswerIsNoDeath(t *testing.T) {
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

func TestAStoppingInstanceIsGoneAtOnce(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		f.set(all[1].ID, prober.State{Incarnation: 1, IsStopping: true})
		time.Sleep(time.Second)
		require.True(t, p.IsDead(all[1]))
	})
}

func TestAnInstanceThatAnswersAgainLives(t *testing.T) {
	run(t, 3, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		f.kill(all[1].ID)
		time.Sleep(5 * time.Second)
		require.True(t, p.IsDead(all[1]))
		f.set(all[1].ID, prober.State{Incarnation: 1})
		time.Sleep(2 * time.Second)
		require.False(t, p.IsDead(all[1]))
		_, _, changes := f.seen()
		require.Equal(t, 3, changes, "the other's first answer, a death, a return")
	})
}

// The work of an instance does not grow with the fleet, and the dead do not hide
// the living.
func TestAnInstanceAsksAFewOthers(t *testing.T) {
	run(t, 200, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		time.Sleep(10 * time.Second)
		asked, _, _ := f.seen()
		require.Equal(t, 8, asked)
		for _, i := range all[1:9] {
			f.kill(i.ID)
		}
		time.Sleep(8 * time.Second)
		asked, removed, _ := f.seen()
		require.Len(t, removed, 8)
		require.Equal(t, 16, asked)
	})
}

// While the store is away it does not show that an instance has started again.
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
