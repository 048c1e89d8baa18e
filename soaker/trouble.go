package soaker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// meanFaultPause is the mean pause between the starts of two faults; faults may
	// overlap.
	meanFaultPause = 600 * time.Millisecond
	// minFaultSpan and maxFaultSpan bound the duration of a fault.
	minFaultSpan = 300 * time.Millisecond
	maxFaultSpan = 3500 * time.Millisecond
	// minUnclaimed is the least number of instances that no fault claims at any time, so
	// that no signal disturbs them.
	minUnclaimed = 1
)

// injectFaults injects faults for the duration of the run, and waits at its end until
// all of them have been reversed.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := s.faultKinds()
	end := time.Now().Add(s.config.Duration)
	var running sync.WaitGroup
	if s.config.Older != "" {
		running.Go(func() { s.rollBuilds(ctx, end) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanFaultPause))))
		kind := kinds[s.random.IntN(len(kinds))]
		span := minFaultSpan + time.Duration(s.random.Int64N(int64(maxFaultSpan-minFaultSpan)))
		choice := s.random.Uint64()
		s.countFault(kind.name)
		s.config.Log("%s for %s", kind.name, span.Round(time.Millisecond))
		running.Go(func() { kind.inject(ctx, span, choice) })
	}
	running.Wait()
}

// faultKind is a kind of fault. The argument choice of inject is a random number that
// selects the target.
type faultKind struct {
	name   string
	inject func(ctx context.Context, span time.Duration, choice uint64)
}

func (s *soak) faultKinds() []faultKind {
	all := []faultKind{
		{"stop", s.plannedStop}, {"kill", s.kill}, {"freeze", s.freeze}, {"reload", s.reload},
		{"configure", s.changeConfiguration}, {"evacuate", s.evacuate},
		{"storeDown", s.storeFault(imitator.StoreFaults{IsUnavailable: true})},
		{"storeSilent", s.storeFault(imitator.StoreFaults{IsUnresponsive: true})},
		{"storeSlow", s.storeFault(imitator.StoreFaults{Delay: 200 * time.Millisecond})},
		{"storeLost", s.storeFault(imitator.StoreFaults{LostAnswerShare: 0.5, DelaysLostWrites: true})},
		{"storeForgets", s.discardStoreHistory}, {"storeRestored", s.restoreStore},
		{"cutFromStore", s.storeLinkFault(linkState{HoldsForward: true, HoldsBackward: true})},
		{"deafToStore", s.storeLinkFault(linkState{HoldsBackward: true})},
		{"resetFromStore", s.resetStoreLink},
		{"serverSilent", s.serverLinkFault(linkState{HoldsForward: true, HoldsBackward: true})},
		{"answersHeld", s.serverLinkFault(linkState{HoldsBackward: true})},
		{"serverFar", s.serverLinkFault(linkState{Delay: 50 * time.Millisecond})},
		{"serverReset", s.resetServer}, {"answersLost", s.loseAnswers}, {"serverCrash", s.crashServer}, {"serverSlow", s.slowServer}, {"serverLeaves", s.drainServer},
		{"serverLimited", s.limitServer},
		{"cutSilent", s.cutFromServers(serverCut{})}, {"cutReset", s.cutFromServers(serverCut{resets: true})},
		{"cutForNew", s.cutFromServers(serverCut{keepsOpen: true})},
		{"answersTwice", s.misbehave(imitator.Misbehaviour{Refused: 0.5, Repeated: 0.1})},
		{"failsAfterRun", s.misbehave(imitator.Misbehaviour{FailedAfterRun: 0.3})},
	}
	if s.config.needsTenants() {
		all = append(all, s.tenantFaultKinds()...)
	}
	if len(s.config.Only) == 0 {
		return s.chooseKinds(all)
	}
	all = append(all, s.namedKinds()...)
	return slices.DeleteFunc(all, func(k faultKind) bool { return !slices.Contains(s.config.Only, k.name) })
}

// answersResetKind is the kind of fault that needs callers with long uploads.
const answersResetKind = "answersReset"

// namedKinds returns the kinds that are injected only if they are named: with them among the
// others, each seed would draw other faults than it has drawn before.
func (s *soak) namedKinds() []faultKind {
	return []faultKind{
		{"invalidStatus", s.misbehave(imitator.Misbehaviour{WithoutStatus: 0.3})},
		{"malformedNames", s.misbehave(imitator.Misbehaviour{Misnamed: 0.3})},
		{"removedInOutage", s.removeInOutage}, {"killedUnreported", s.killUnreported},
		{"crashBeforeAnswer", s.poison(imitator.CrashBeforeAnswer)},
		{"crashInAnswer", s.poison(imitator.CrashInAnswer)},
		{"crashInLongAnswer", s.poison(imitator.CrashInLongAnswer)},
		{answersResetKind, s.misbehave(imitator.Misbehaviour{Reset: 0.7})},
	}
}

// Shares of runs in which a kind of fault occurs. Runs with few kinds reveal failures
// that a run with many faults hides: while the store is disturbed, no time bound is
// checked.
const (
	kindShare      = 0.6
	storeWideShare = 0.5
)

// chooseKinds chooses a random subset of the kinds for this run, as in swarm testing.
func (s *soak) chooseKinds(all []faultKind) []faultKind {
	if s.random == nil {
		return all
	}
	hasStoreWide := s.random.Float64() < storeWideShare
	var chosen []faultKind
	for _, k := range all {
		isStoreWide := strings.HasPrefix(k.name, "store")
		if s.random.Float64() < kindShare && (hasStoreWide || !isStoreWide) {
			chosen = append(chosen, k)
		}
	}
	if len(chosen) == 0 {
		return all
	}
	return chosen
}

// FaultNames returns the names of all kinds of fault.
func FaultNames() []string {
	var names []string
	all := &soak{config: Config{Tenants: true}}
	for _, k := range append(all.faultKinds(), all.namedKinds()...) {
		names = append(names, k.name)
	}
	return names
}

func (s *soak) pickInstance(choice uint64) *process {
	return s.instances[choice%uint64(len(s.instances))]
}

// claimInstance claims an instance for a signal. It reports false if the instance is
// claimed already, or if too few unclaimed instances would be left.
func (s *soak) claimInstance(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, i := range s.instances {
		if !i.isClaimed {
			free++
		}
	}
	if p.isClaimed || free <= minUnclaimed {
		return false
	}
	p.isClaimed = true
	s.ledger.excuseLimits()
	return true
}

func (s *soak) releaseInstance(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.isClaimed = false
}

// plannedStop stops an instance with SIGTERM as the platform does, and restarts it.
func (s *soak) plannedStop(ctx context.Context, span time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	s.stopAsPlanned(p)
	s.restart(ctx, p, span)
}

// stopAsPlanned stops an instance with SIGTERM and waits for its end.
func (s *soak) stopAsPlanned(p *process) {
	p.markStopStart()
	p.signal(syscall.SIGTERM)
	if !p.awaitExit(exitTimeout) {
		s.ledger.reportViolation("a planned stop ends in time", "%s still runs %s after SIGTERM", p.id, exitTimeout)
		p.signal(syscall.SIGKILL)
		p.awaitExit(exitTimeout)
		return
	}
	if status := p.exitStatus(); status != 0 {
		s.ledger.reportViolation("a planned stop ends without a failure", "%s ended with status %d", p.id, status)
	}
}

func (s *soak) restart(ctx context.Context, p *process, delay time.Duration) {
	sleep(ctx, delay)
	p.disturbances.add(time.Now().Add(recoveryTime))
	if err := p.start(); err != nil {
		s.ledger.reportViolation("an instance starts", "%s: %v", p.id, err)
	}
}

func (s *soak) kill(ctx context.Context, span time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	p.disturbances.add(time.Now().Add(span + recoveryTime))
	p.signal(syscall.SIGKILL)
	p.awaitExit(exitTimeout)
	s.restart(ctx, p, span)
}

// freeze suspends an instance for a while.
func (s *soak) freeze(ctx context.Context, span time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	p.disturbances.add(time.Now().Add(span + recoveryTime))
	p.signal(syscall.SIGSTOP)
	sleep(ctx, span)
	p.signal(syscall.SIGCONT)
	p.disturbances.add(time.Now().Add(recoveryTime))
}

func (s *soak) reload(_ context.Context, _ time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	p.signal(syscall.SIGHUP)
}

func (s *soak) changeConfiguration(context.Context, time.Duration, uint64) {
	if err := s.configure(); err != nil {
		s.ledger.reportViolation("a configuration is accepted", "%v", err)
	}
}

// evacuate evacuates a failure domain for longer than the bound, so that the bound is
// checked.
func (s *soak) evacuate(ctx context.Context, span time.Duration, choice uint64) {
	domain := s.domains[choice%uint64(len(s.domains))]
	if !s.claimDomain(domain) {
		return
	}
	defer s.releaseDomain()
	if err := s.store.Evacuate(domain); err != nil {
		s.ledger.reportViolation("an evacuation is accepted", "%v", err)
		return
	}
	var evacuated []string
	for _, b := range s.serversIn(domain) {
		evacuated = append(evacuated, b.id)
		s.ledger.forbid(b.id, evacuationBound)
	}
	sleep(ctx, evacuationBound+span)
	for _, id := range evacuated {
		s.ledger.allow(id)
	}
	s.store.EndEvacuation(domain)
}

func (s *soak) storeFault(faults imitator.StoreFaults) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, _ uint64) {
		s.ledger.disturbances.add(time.Now().Add(span + recoveryTime))
		s.store.InjectFaults(faults)
		sleep(ctx, span)
		s.store.InjectFaults(imitator.StoreFaults{})
		s.ledger.disturbances.add(time.Now().Add(recoveryTime))
	}
}

func (s *soak) discardStoreHistory(context.Context, time.Duration, uint64) {
	s.ledger.disturbances.add(time.Now().Add(recoveryTime))
	s.store.DiscardHistory()
}

func (s *soak) storeLinkFault(state linkState) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		p := s.pickInstance(choice)
		s.ledger.excuseLimits()
		p.disturbances.add(time.Now().Add(span + recoveryTime))
		p.store.setState(state)
		sleep(ctx, span)
		p.store.setState(linkState{})
		p.disturbances.add(time.Now().Add(recoveryTime))
	}
}

func (s *soak) resetStoreLink(_ context.Context, _ time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	p.disturbances.add(time.Now().Add(recoveryTime))
	p.store.reset()
}

func (s *soak) claimDomain(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated != "" {
		return false
	}
	s.evacuated = domain
	return true
}

func (s *soak) releaseDomain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = ""
}
