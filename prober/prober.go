// Package prober detects instances that have failed, so that answers to look-ups
// leave them out.
//
// Each instance probes a few others: the next ones in a ring of all instances. An
// instance that misses several probes in a row counts as dead. The prober's own
// instance leaves the dead instance out of its answers at once, tells others, and
// removes its entry from the platform's store. The number of probes per instance does
// not grow with the fleet.
//
// Others learn of the death from each other as well as from the store. The verdict of
// another instance is only a reason to probe: a probe without an answer confirms it, and
// an answer refutes it. The same holds for the verdict that an instance is not dead any
// more.
//
// A dead instance that answers, and has not started again, was cut off, or the prober's own
// instance was. All that count as dead are then probed once more, so that an instance that
// was cut off from many soon names them again.
//
// # Usage
//
//	p := prober.New(prober.Config{Self: self, Probe: probe, OnVerdict: tell})
//	p.SetInstances(instances)
//	err := p.Run(ctx)
//	p.Receive("entry-2", verdicts)
package prober

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/namer"
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
	// OnVerdict is called when an instance has become dead, and when a dead one lives again.
	OnVerdict func(v Verdict)
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
	// checkedAt is when an instance was last probed because of another's verdict.
	checkedAt map[string]time.Time
	// rechecks is how often a dead instance is still probed again: after one probe only has
	// confirmed the verdict of another instance, and after another dead one has answered.
	rechecks map[string]int
	// disputes are the instances to probe because of another's verdict.
	disputes chan dispute
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
	return &Prober{
		config:        config,
		misses:        map[string]misses{},
		dead:          map[string]uint64{},
		readyByID:     map[string]readiness{},
		startAnswered: map[string]bool{},
		results:       map[string]result{},
		checkedAt:     map[string]time.Time{},
		rechecks:      map[string]int{},
		disputes:      make(chan dispute, maxDisputes),
		wakeup:        make(chan struct{}, 1),
	}
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
			delete(p.rechecks, i.ID)
		}
	}
	keepListed(p.misses, isListed)
	keepListed(p.results, isListed)
	keepListed(p.dead, isListed)
	keepListed(p.readyByID, isListed)
	keepListed(p.checkedAt, isListed)
	keepListed(p.rechecks, isListed)
}

// keepListed removes what is known of instances that are not listed.
func keepListed[V any](known map[string]V, isListed map[string]bool) {
	maps.DeleteFunc(known, func(id string, _ V) bool { return !isListed[id] })
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
	return p.isDead(i)
}

// Dead is an instance that counts as dead.
type Dead struct {
	namer.Instance
	// Rank is the number of live instances between this instance and the dead one in the
	// ring.
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
		if !p.isDead(i) {
			live++
			continue
		}
		dead = append(dead, Dead{Instance: i, Rank: live})
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
		case d := <-p.disputes:
			probes.Go(func() { p.check(ctx, d) })
			continue
		case <-ticker.C:
		case <-p.wakeup:
		}
		p.forgetUnready(time.Now())
		for _, t := range p.probeTargets() {
			probes.Go(func() { p.probe(ctx, t) })
		}
		for _, i := range p.startTargets() {
			probes.Go(func() { p.probeAtStart(ctx, i) })
		}
	}
}
