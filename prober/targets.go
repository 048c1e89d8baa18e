package prober

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/pollencrank/pollencrank/namer"
)

const (
	// distantDeadProbes is the number of instances of the whole fleet that probe a dead one
	// in a round, besides its neighbours.
	distantDeadProbes = 16
	// furtherPerMiss is the number of further neighbours that are probed for each one that has
	// missed a probe lately, and maxFurther the largest number of them.
	furtherPerMiss = 2
	maxFurther     = 32
	// maxRechecks is the largest number of dead instances in a round that are probed again
	// because of rechecks.
	maxRechecks = 128
)

// target is an instance to probe.
type target struct {
	namer.Instance
	// isDistantDead says that the instance counts as dead and that others watch it.
	isDistantDead bool
}

// probeTargets returns the instances to probe: the next probedNeighbours after this
// instance in the ring that have answered their last probe, those before them that have
// not, at times further dead ones, which may have recovered, and one of another failure
// domain. Neighbours that have just begun to miss probes make it look further, so that many
// that fail together are noticed together.
func (p *Prober) probeTargets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []target
	rechecked := p.takeRechecks()
	answering, missing := 0, 0
	for _, i := range p.ring() {
		_, isDead := p.dead[i.ID]
		isWatched := answering < probedNeighbours+min(furtherPerMiss*missing, maxFurther)
		if isWatched || isDead && (rechecked[i.ID] || p.isDistantDeadDue()) {
			targets = append(targets, target{i, !isWatched})
		}
		switch {
		case isDead:
		case p.misses[i.ID].count > 0:
			missing++
		default:
			answering++
		}
	}
	return p.addDistantTarget(targets)
}

// recheckDead has each dead instance probed once more. One of them answers that has not started
// again: it was cut off from this instance, and the others may have been so too. The lock is held.
func (p *Prober) recheckDead() {
	for id := range p.dead {
		p.rechecks[id] = max(p.rechecks[id], 1)
	}
}

// takeRechecks returns the IDs of the instances to probe again in this round. The lock is held.
func (p *Prober) takeRechecks() map[string]bool {
	taken := map[string]bool{}
	for id, left := range p.rechecks {
		if len(taken) == maxRechecks {
			break
		}
		taken[id] = true
		p.rechecks[id] = left - 1
		if left == 1 {
			delete(p.rechecks, id)
		}
	}
	return taken
}

// isDistantDeadDue reports at random whether a dead instance that is not among the neighbours
// is probed in this round. About distantDeadProbes instances do so in each round, however
// large the fleet is. The lock is held.
func (p *Prober) isDistantDeadDue() bool {
	return rand.IntN(len(p.instances)) < distantDeadProbes
}

// startTargets returns further instances to probe at the start, at random: their answers say
// whether they have just started too.
func (p *Prober) startTargets() []namer.Instance {
	if p.config.ProbesMoreAtStart == nil || !p.config.ProbesMoreAtStart() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startRounds >= maxStartRounds || len(p.instances) == 0 {
		return nil
	}
	p.startRounds++
	var targets []namer.Instance
	for _, n := range rand.Perm(len(p.instances)) {
		if i := p.instances[n]; !p.startAnswered[i.ID] && i.ID != p.config.Self && len(targets) < maxStartTargets {
			targets = append(targets, i)
		}
	}
	return targets
}

// probeAtStart probes an instance once. A missing answer does not count: its neighbours
// count those.
func (p *Prober) probeAtStart(ctx context.Context, i namer.Instance) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// Probe passes on what the instance says of its start.
	_, err := p.config.Probe(probeCtx, i)
	if err != nil {
		p.config.Log.Debug("an instance does not answer after the start", slog.String("instance", i.ID), slog.Any("error", err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startAnswered[i.ID] = true
}

// addDistantTarget adds an instance of another failure domain, chosen at random in
// each round: what the whole domain of this instance has missed, such as changes of
// the store, shows only in answers from other domains. The lock is held.
func (p *Prober) addDistantTarget(targets []target) []target {
	isTarget := map[string]bool{}
	for _, i := range targets {
		isTarget[i.ID] = true
	}
	var distant []namer.Instance
	for _, i := range p.instances {
		if _, isDead := p.dead[i.ID]; i.FailureDomain != p.config.Domain && !isTarget[i.ID] && !isDead {
			distant = append(distant, i)
		}
	}
	if len(distant) == 0 {
		return targets
	}
	return append(targets, target{Instance: distant[rand.IntN(len(distant))]})
}
