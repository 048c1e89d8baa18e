// Package prober notices instances that have died, so that look-ups do not name
// them.
//
// Each instance asks a few others, the next ones in a ring of all instances,
// whether they are alive. One that did not answer several times in a row is left
// out of this instance's own answers at once, and its entry is removed from the
// platform's store, which tells everybody. An instance that lives and finds its
// entry gone writes it again. The work of an instance does not grow with the
// fleet.
//
// # Usage
//
//	p := prober.New(prober.Config{Self: self, Ask: ask, OnDead: remove})
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
	// neighbours is the number of instances that one instance asks.
	neighbours = 8
	// interval is the pause between two questions to the same instance.
	interval = 900 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 700 * time.Millisecond
	// deadAfter is the number of unanswered questions in a row after which an
	// instance counts as dead.
	deadAfter = 3
)

// State is what an instance says of itself.
type State struct {
	Incarnation uint64
	// IsStopping says that the instance performs a planned stop.
	IsStopping bool
	// IsReady says that the instance can serve callers.
	IsReady bool
}

// isServing reports whether the state is that of an instance that callers may be
// sent to: the start that is known, or a later one that the store does not show
// yet.
func (s State) isServing(known namer.Instance) bool {
	return !s.IsStopping && (s.IsReady || s.Incarnation == known.Incarnation)
}

// Config is the configuration of a Prober.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Domain is its failure domain.
	Domain string
	// Probe asks an instance for its state.
	Probe func(ctx context.Context, instance namer.Instance) (State, error)
	// OnDead is told of instances that do not answer, or that stop.
	OnDead func(ctx context.Context, instance namer.Instance)
	// OnChange is told whenever the set of the dead has changed, when an instance
	// answers for the first time, and when it can serve callers or not any more.
	OnChange func()
	Log      *slog.Logger
}

// Prober asks instances whether they are alive.
type Prober struct {
	config Config

	mu        sync.Mutex
	instances []namer.Instance
	misses    map[string]int
	dead      map[string]uint64
	// answeredBy are the instances that have answered at least once, and whether
	// they could serve callers when they last did.
	answeredBy map[string]bool
	// firstSet wakes the loop when the instances are first known.
	firstSet chan struct{}
}

// New returns a Prober.
func New(config Config) *Prober {
	return &Prober{config: config, misses: map[string]int{}, dead: map[string]uint64{}, answeredBy: map[string]bool{}, firstSet: make(chan struct{}, 1)}
}

// SetInstances sets the instances of the fleet. A new incarnation of a dead
// instance is alive.
func (p *Prober) SetInstances(instances []namer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.instances) == 0 {
		p.wake()
	}
	p.instances = slices.Clone(instances)
	slices.SortFunc(p.instances, func(a, b namer.Instance) int { return strings.Compare(a.ID, b.ID) })
	known := map[string]bool{}
	for _, i := range instances {
		known[i.ID] = true
		if incarnation, dead := p.dead[i.ID]; dead && incarnation != i.Incarnation {
			delete(p.dead, i.ID)
			delete(p.misses, i.ID)
		}
	}
	for id := range p.misses {
		if !known[id] {
			delete(p.misses, id)
		}
	}
	for id := range p.dead {
		if !known[id] {
			delete(p.dead, id)
		}
	}
	for id := range p.answeredBy {
		if !known[id] {
			delete(p.answeredBy, id)
		}
	}
}

// wake begins a round of questions at once.
func (p *Prober) wake() {
	select {
	case p.firstSet <- struct{}{}:
	default:
	}
}

// HasAnswered reports whether an instance has answered at least once.
func (p *Prober) HasAnswered(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, hasAnswered := p.answeredBy[i.ID]
	return hasAnswered
}

// IsUnready reports whether an instance has said that it cannot serve callers.
func (p *Prober) IsUnready(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isReady, hasAnswered := p.answeredBy[i.ID]
	return hasAnswered && !isReady
}

// IsDead reports whether an incarnation of an instance counts as dead.
func (p *Prober) IsDead(i namer.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, dead := p.dead[i.ID]
	return dead && incarnation == i.Incarnation
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-p.firstSet:
		}
		for _, i := range p.next() {
			go p.ask(ctx, i)
		}
	}
}

// next returns the instances after this one in the ring: as many living ones as
// it watches, and the dead ones between them, which may have returned.
func (p *Prober) next() []namer.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	start, _ := slices.BinarySearchFunc(p.instances, p.config.Self, func(i namer.Instance, id string) int {
		return strings.Compare(i.ID, id)
	})
	var asked []namer.Instance
	living := 0
	for offset := range p.instances {
		i := p.instances[(start+offset)%len(p.instances)]
		if i.ID == p.config.Self {
			continue
		}
		if _, dead := p.dead[i.ID]; !dead {
			living++
		}
		asked = append(asked, i)
		if living >= neighbours {
			break
		}
	}
	return p.withDistant(asked)
}

// withDistant adds an instance of another failure domain, drawn anew each time:
// what a whole domain misses shows only elsewhere. The lock is held.
func (p *Prober) withDistant(asked []namer.Instance) []namer.Instance {
	isAsked := map[string]bool{}
	for _, i := range asked {
		isAsked[i.ID] = true
	}
	var distant []namer.Instance
	for _, i := range p.instances {
		if _, isDead := p.dead[i.ID]; i.FailureDomain != p.config.Domain && !isAsked[i.ID] && !isDead {
			distant = append(distant, i)
		}
	}
	if len(distant) == 0 {
		return asked
	}
	return append(asked, distant[rand.IntN(len(distant))])
}

func (p *Prober) ask(ctx context.Context, i namer.Instance) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := p.config.Probe(askCtx, i)
	if ctx.Err() != nil {
		return
	}
	if err == nil && state.isServing(i) {
		p.answered(i, state.IsReady)
		return
	}
	p.missed(ctx, i, err == nil && state.IsStopping)
}

func (p *Prober) answered(i namer.Instance, isReady bool) {
	p.mu.Lock()
	delete(p.misses, i.ID)
	_, wasDead := p.dead[i.ID]
	delete(p.dead, i.ID)
	wasReady, hasAnswered := p.answeredBy[i.ID]
	p.answeredBy[i.ID] = isReady
	p.mu.Unlock()
	if wasDead || !hasAnswered || wasReady != isReady {
		p.config.OnChange()
	}
}

// missed counts an unanswered question. An instance that says that it stops
// counts as gone at once.
func (p *Prober) missed(ctx context.Context, i namer.Instance, isStopping bool) {
	p.mu.Lock()
	p.misses[i.ID]++
	misses := p.misses[i.ID]
	incarnation, known := p.dead[i.ID]
	isNews := (misses >= deadAfter || isStopping) && (!known || incarnation != i.Incarnation)
	if isNews {
		p.dead[i.ID] = i.Incarnation
	}
	p.mu.Unlock()
	if !isNews {
		return
	}
	p.config.Log.Warn("an instance does not answer", recorder.EventInstanceGone.Attr(),
		slog.String("instance", i.ID), slog.Bool("stopping", isStopping), slog.Int("misses", misses))
	p.config.OnChange()
	p.config.OnDead(ctx, i)
}
