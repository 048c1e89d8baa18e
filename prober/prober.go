// Package prober detects instances that have failed, so that answers to look-ups
// leave them out.
//
// Each instance probes a few others: the next ones in a ring of all instances. An
// instance that misses several probes in a row counts as dead. The prober's own
// instance leaves the dead instance out of its answers at once and removes its
// entry from the platform's store, through which all other instances learn of it.
// An instance that is alive and finds its entry removed writes it again. The
// number of probes per instance does not grow with the fleet.
//
// # Usage
//
//	p := prober.New(prober.Config{Self: self, Probe: probe, OnDead: remove})
//	p.SetInstances(instances)
//	err := p.Run(ctx)
package prober

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// probedNeighbours is the number of live instances after itself in the ring that
	// an instance probes.
	probedNeighbours = 8
	// probeInterval is the time between two probes of the same instance.
	probeInterval = 900 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 700 * time.Millisecond
	// maxStartRounds is the number of rounds after the first instances are set in which others
	// than the neighbours are probed too, and maxStartTargets the largest number of them in
	// a round.
	maxStartRounds  = 4
	maxStartTargets = 64
	// resultMemory is how long the result of a probe counts for MayBeIsolated, and maxFailedShare
	// the share of failed ones from which on it reports true.
	resultMemory   = 4 * time.Second
	maxFailedShare = 0.25
	// unreadyMemory is how long an instance counts as not ready after it last said so.
	unreadyMemory = 4 * time.Second
	// deadAfterMisses is the number of consecutive failed probes after which an
	// instance counts as dead. Of those that begin within minMissInterval only the first
	// counts.
	deadAfterMisses = 3
	minMissInterval = probeInterval / 2
)

// State is the answer of an instance to a probe.
type State struct {
	Incarnation uint64
	// IsStopping reports that the instance performs a planned stop.
	IsStopping bool
	// IsReady reports that the instance can serve callers.
	IsReady bool
}

// isServing reports whether look-ups may name the instance that sent the state. It
// must not be stopping, and either has the incarnation in the store or is ready: a
// later incarnation may not be in the store yet.
func (s State) isServing(listed namer.Instance) bool {
	return !s.IsStopping && (s.IsReady || s.Incarnation == listed.Incarnation)
}

// Config is the configuration of a Prober.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Domain is the failure domain of this instance.
	Domain string
	// Probe requests the state of an instance.
	Probe func(ctx context.Context, instance namer.Instance) (State, error)
	// OnDead is called for each instance that stops or that has become dead.
	OnDead func(ctx context.Context, instance namer.Instance)
	// ProbesMoreAtStart, if set, reports whether others than the neighbours are probed too at
	// the start.
	ProbesMoreAtStart func() bool
	// OnChange is called when the set of dead instances changes, when an instance
	// answers for the first time, and when its readiness changes.
	OnChange func()
	Log      *slog.Logger
}

// Prober probes other instances and keeps track of those that count as dead.
type Prober struct {
	config Config

	mu        sync.Mutex
	instances []namer.Instance
	misses    map[string]misses
	dead      map[string]uint64
	// readyByID holds the instances that have answered at least once, with their
	// readiness.
	readyByID map[string]readiness
	// startRounds counts the rounds of probes at the start, up to maxStartRounds, and
	// startAnswered holds the instances that have answered them.
	startRounds   int
	startAnswered map[string]bool
	// results holds the last result of the probes of each instance.
	results map[string]result
	// wakeup starts a round of probes when the first instances are set.
	wakeup chan struct{}
}

// readiness is whether an instance can serve callers, and when it last said so.
type readiness struct {
	isReady bool
	saidAt  time.Time
}

// misses are the failed probes of an instance since its last answer.
type misses struct {
	count int
	// lastBeganAt is when the last one that counts began.
	lastBeganAt time.Time
}

// New returns a Prober.
func New(config Config) *Prober {
	return &Prober{config: config, misses: map[string]misses{}, dead: map[string]uint64{}, readyByID: map[string]readiness{}, startAnswered: map[string]bool{}, results: map[string]result{}, wakeup: make(chan struct{}, 1)}
}

// SetInstances sets the instances of the fleet. A new incarnation of a dead
// instance counts as alive.
func (p *Prober) SetInstances(instances []namer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.instances) == 0 {
		p.wake()
	}
	p.instances = slices.Clone(instances)
	slices.SortFunc(p.instances, func(a, b namer.Instance) int { return strings.Compare(a.ID, b.ID) })
	isListed := map[string]bool{}
	for _, i := range instances {
		isListed[i.ID] = true
		if incarnation, dead := p.dead[i.ID]; dead && incarnation != i.Incarnation {
			delete(p.dead, i.ID)
			delete(p.misses, i.ID)
		}
	}
	for id := range p.misses {
		if !isListed[id] {
			delete(p.misses, id)
		}
	}
	for id := range p.results {
		if !isListed[id] {
			delete(p.results, id)
		}
	}
	for id := range p.dead {
		if !isListed[id] {
			delete(p.dead, id)
		}
	}
	for id := range p.readyByID {
		if !isListed[id] {
			delete(p.readyByID, id)
		}
	}
}

// Wake starts a round of probes at once.
func (p *Prober) Wake() { p.wake() }

// wake starts a round of probes at once.
func (p *Prober) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// HasAnswered reports whether an instance has answered at least once.
func (p *Prober) HasAnswered(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, hasAnswered := p.readyByID[i.ID]
	return hasAnswered
}

// IsUnready reports whether an instance has lately said that it cannot serve callers.
func (p *Prober) IsUnready(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready, hasAnswered := p.readyByID[i.ID]
	return hasAnswered && !ready.isReady
}

// IsDead reports whether an incarnation of an instance counts as dead.
func (p *Prober) IsDead(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, dead := p.dead[i.ID]
	return dead && incarnation == i.Incarnation
}

// Dead is an instance that counts as dead.
type Dead struct {
	namer.Instance
	// Rank is the number of live instances between this instance and the dead one in the
	// ring, up to the number of neighbours that are probed.
	Rank int
}

// Dead returns the instances of the fleet that count as dead, in the order of the ring.
func (p *Prober) Dead() []Dead {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.dead) == 0 {
		return nil
	}
	var dead []Dead
	live := 0
	for _, i := range p.ring() {
		if incarnation, isDead := p.dead[i.ID]; !isDead || incarnation != i.Incarnation {
			live++
			continue
		}
		dead = append(dead, Dead{Instance: i, Rank: min(live, probedNeighbours)})
	}
	return dead
}

// ring returns the other instances in the order in which they follow this one in the
// ring. The lock is held.
func (p *Prober) ring() []namer.Instance {
	start, isListed := slices.BinarySearchFunc(p.instances, p.config.Self, func(i namer.Instance, id string) int {
		return strings.Compare(i.ID, id)
	})
	after := start
	if isListed {
		after++
	}
	return slices.Concat(p.instances[after:], p.instances[:start])
}

// Run probes periodically until ctx ends. It returns after its last probe has ended.
func (p *Prober) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-p.wakeup:
		}
		p.forgetUnready(time.Now())
		for _, i := range p.probeTargets() {
			probes.Go(func() { p.probe(ctx, i) })
		}
		for _, i := range p.startTargets() {
			probes.Go(func() { p.probeAtStart(ctx, i) })
		}
	}
}

// probeTargets returns the instances to probe: the next probedNeighbours live ones after
// this instance in the ring, all dead ones, which may have recovered, and one of another
// failure domain.
func (p *Prober) probeTargets() []namer.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []namer.Instance
	live := 0
	for _, i := range p.ring() {
		_, isDead := p.dead[i.ID]
		if !isDead {
			live++
		}
		if isDead || live <= probedNeighbours {
			targets = append(targets, i)
		}
	}
	return p.addDistantTarget(targets)
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
func (p *Prober) addDistantTarget(targets []namer.Instance) []namer.Instance {
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
	return append(targets, distant[rand.IntN(len(distant))])
}

func (p *Prober) probe(ctx context.Context, i namer.Instance) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	beganAt := time.Now()
	state, err := p.config.Probe(probeCtx, i)
	if ctx.Err() != nil {
		return
	}
	p.recordResult(i, err == nil)
	if err == nil && state.isServing(i) {
		p.recordAnswer(i, state.IsReady)
		return
	}
	p.recordMiss(ctx, i, beganAt, err == nil && state.IsStopping)
}

// result is whether the last probe of an instance was answered, and when it ended.
type result struct {
	isAnswered bool
	at         time.Time
}

func (p *Prober) recordResult(i namer.Instance, isAnswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[i.ID] = result{isAnswered: isAnswered, at: time.Now()}
}

// MayBeIsolated reports whether so many of the instances that were probed lately have not
// answered that this one may be isolated, alone or together with the others.
func (p *Prober) MayBeIsolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed, failed := 0, 0
	for _, r := range p.results {
		if time.Since(r.at) > resultMemory {
			continue
		}
		probed++
		if !r.isAnswered {
			failed++
		}
	}
	return failed > 0 && float64(failed) >= maxFailedShare*float64(probed)
}

func (p *Prober) recordAnswer(i namer.Instance, isReady bool) {
	p.mu.Lock()
	delete(p.misses, i.ID)
	_, wasDead := p.dead[i.ID]
	delete(p.dead, i.ID)
	before, hasAnswered := p.readyByID[i.ID]
	p.readyByID[i.ID] = readiness{isReady, time.Now()}
	p.mu.Unlock()
	if wasDead || !hasAnswered || before.isReady != isReady {
		p.config.OnChange()
	}
}

// forgetUnready takes instances for ready again that said otherwise and were not probed since
// for a while: they may have come to be neighbours of others only.
func (p *Prober) forgetUnready(now time.Time) {
	p.mu.Lock()
	hasChanged := false
	for id, r := range p.readyByID {
		if _, isDead := p.dead[id]; !isDead && !r.isReady && now.Sub(r.saidAt) >= unreadyMemory {
			p.readyByID[id] = readiness{true, now}
			hasChanged = true
		}
	}
	p.mu.Unlock()
	if hasChanged {
		p.config.OnChange()
	}
}

// recordMiss counts a failed probe. Rounds can be woken one right after the other; their
// probes tell no more than one. An instance that reports that it is stopping counts as dead
// at once.
func (p *Prober) recordMiss(ctx context.Context, i namer.Instance, beganAt time.Time, isStopping bool) {
	p.mu.Lock()
	missed := p.misses[i.ID]
	if missed.count == 0 || beganAt.Sub(missed.lastBeganAt) >= minMissInterval {
		missed = misses{missed.count + 1, beganAt}
		p.misses[i.ID] = missed
	}
	incarnation, wasDead := p.dead[i.ID]
	isNewlyDead := (missed.count >= deadAfterMisses || isStopping) && (!wasDead || incarnation != i.Incarnation)
	if isNewlyDead {
		p.dead[i.ID] = i.Incarnation
	}
	p.mu.Unlock()
	if !isNewlyDead {
		return
	}
	p.config.Log.Warn("an instance counts as dead: it is stopping or does not answer probes", recorder.EventInstanceUnreachable.Attr(),
		slog.String("instance", i.ID), slog.Bool("stopping", isStopping), slog.Int("misses", missed.count))
	p.config.OnChange()
	p.config.OnDead(ctx, i)
}
