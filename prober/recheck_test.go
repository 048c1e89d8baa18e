package prober_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

const (
	probeInterval = 900 * time.Millisecond
	// batch is the number of verdicts that are told at once.
	batch = 50
)

// believeDead kills instances and lets the prober learn of it from another one, until it does
// not probe them again because of that.
func believeDead(t *testing.T, f *fleet, p *prober.Prober, dead []namer.Instance) {
	t.Helper()
	for n, i := range dead {
		f.kill(i.ID)
		p.Receive("entry-001", []prober.Verdict{{Instance: i.ID, Incarnation: 1, IsDead: true}})
		if n%batch == 0 {
			synctest.Wait()
		}
	}
	// Half a round more, so that what follows does not meet the start of one.
	time.Sleep(10*probeInterval + probeInterval/2)
	require.Len(t, p.Dead(), len(dead))
}

// tellAlive lets the prober learn from another instance that one lives.
func tellAlive(f *fleet, p *prober.Prober, i namer.Instance, incarnation uint64) {
	f.set(i.ID, prober.State{Incarnation: incarnation, IsReady: true})
	p.Receive("entry-001", []prober.Verdict{{Instance: i.ID, Incarnation: incarnation}})
	synctest.Wait()
}

// Guards against live instances that one which was cut off leaves out for long: it probed the
// distant ones at random only, after one of them had answered already.
func TestAnInstanceThatWasCutOffFindsAllOthersAgain(t *testing.T) {
	run(t, 300, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		dead := all[200:]
		believeDead(t, f, p, dead)
		for _, i := range dead {
			f.set(i.ID, prober.State{Incarnation: 1})
		}
		tellAlive(f, p, dead[0], 1)
		time.Sleep(probeInterval)
		require.Empty(t, p.Dead())
	})
}

// Guards against a burst of probes of all that are dead: a round has a limited number.
func TestDeadInstancesAreProbedAgainInSeveralRounds(t *testing.T) {
	const (
		count = 200
		// limit is that of a round, and chance a bound of those that are probed by chance.
		limit, chance = 128, 32
	)
	run(t, 300, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		dead := all[300-count:]
		believeDead(t, f, p, dead)
		tellAlive(f, p, dead[0], 1)
		f.forgetProbes()
		time.Sleep(probeInterval)
		require.LessOrEqual(t, probedOf(f, dead), limit+chance)
		require.GreaterOrEqual(t, probedOf(f, dead), limit)
		time.Sleep(probeInterval)
		require.GreaterOrEqual(t, probedOf(f, dead), count-1)
	})
}

// Guards against a power loss in which each machine that starts again has all others probed.
func TestAnInstanceThatHasStartedAgainHasNoOthersProbed(t *testing.T) {
	run(t, 300, func(f *fleet, p *prober.Prober, all []namer.Instance) {
		dead := all[200:]
		believeDead(t, f, p, dead)
		tellAlive(f, p, dead[0], 2)
		require.Len(t, p.Dead(), len(dead)-1)
		f.forgetProbes()
		time.Sleep(probeInterval)
		require.Less(t, probedOf(f, dead), len(dead)/2)
	})
}

// probedOf returns how many of the instances have been probed.
func probedOf(f *fleet, of []namer.Instance) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, i := range of {
		if f.probed[i.ID] > 0 {
			count++
		}
	}
	return count
}
