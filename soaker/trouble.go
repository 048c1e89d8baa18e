package soaker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// meanPause is the mean pause between two troubles; they may overlap.
	meanPause = 600 * time.Millisecond
	// shortestTrouble and longestTrouble bound how long one goes on.
	shortestTrouble = 300 * time.Millisecond
	longestTrouble  = 3500 * time.Millisecond
	// leastRunning is the number of instances that no signal touches at a time.
	leastRunning = 1
	serverWork   = 60 * time.Millisecond
	serverSlots  = 4
	knownObjects = 30
)

// backend is a backend server behind a proxy.
type backend struct {
	*imitator.Server
	id, service, domain string
	link                *proxy
	stop                chan struct{}
	stopOnce            sync.Once
	isGone              bool
}

// close ends the server at once.
func (b *backend) close() {
	b.stopOnce.Do(func() { close(b.stop) })
	b.Server.Close()
	b.link.close()
}

// addServer starts a server and its entry in the store.
func (s *soak) addServer(service, domain string) error {
	s.mu.Lock()
	s.counter++
	id := fmt.Sprintf("server-%d", s.counter)
	s.mu.Unlock()
	ip := s.ip(serverKind, 0)
	server, err := imitator.StartServer(imitator.ServerConfig{
		ID: id, Service: service, FailureDomain: domain, Slots: serverSlots, ServiceTime: serverWork, CachedObjects: knownObjects,
		OnRun: s.ledger.ran,
	}, ip)
	if err != nil {
		return err
	}
	link, err := startProxy(ip, server.Address())
	if err != nil {
		server.Close()
		return fmt.Errorf("link to %s: %w", id, err)
	}
	b := &backend{Server: server, id: id, service: service, domain: domain, link: link, stop: make(chan struct{})}
	go server.PublishEntry(s.store, link.address(), b.stop)
	s.mu.Lock()
	s.servers = append(s.servers, b)
	s.mu.Unlock()
	return nil
}

// trouble lets troubles come and go for the span of the run, and mends what is
// still broken at its end.
func (s *soak) trouble(ctx context.Context) {
	kinds := s.kinds()
	end := time.Now().Add(s.config.Duration)
	var going sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanPause))))
		kind := kinds[s.random.IntN(len(kinds))]
		span := shortestTrouble + time.Duration(s.random.Int64N(int64(longestTrouble-shortestTrouble)))
		choice := s.random.Uint64()
		s.mu.Lock()
		s.troubles[kind.name]++
		s.mu.Unlock()
		s.config.Log("%s for %s", kind.name, span.Round(time.Millisecond))
		going.Go(func() { kind.play(ctx, span, choice) })
	}
	going.Wait()
}

// kind is a kind of trouble. Its choice picks what is disturbed.
type kind struct {
	name string
	play func(ctx context.Context, span time.Duration, choice uint64)
}

func (s *soak) kinds() []kind {
	all := []kind{
		{"stop", s.plannedStop}, {"kill", s.kill}, {"freeze", s.freeze}, {"reload", s.reload},
		{"configure", s.changeConfiguration}, {"evacuate", s.evacuate},
		{"storeDown", s.storeTrouble(imitator.StoreFaults{IsUnavailable: true})},
		{"storeSilent", s.storeTrouble(imitator.StoreFaults{IsUnresponsive: true})},
		{"storeSlow", s.storeTrouble(imitator.StoreFaults{Delay: 200 * time.Millisecond})},
		{"storeLost", s.storeTrouble(imitator.StoreFaults{LostAnswerShare: 0.5, DelaysLostWrites: true})},
		{"storeForgets", s.storeForgets},
		{"cutFromStore", s.storeLink(linkState{DropsForward: true, DropsBackward: true})},
		{"deafToStore", s.storeLink(linkState{DropsBackward: true})},
		{"resetFromStore", s.resetStoreLink},
		{"serverSilent", s.serverLink(linkState{DropsForward: true, DropsBackward: true})},
		{"answersHeld", s.serverLink(linkState{DropsBackward: true})},
		{"serverFar", s.serverLink(linkState{Delay: 50 * time.Millisecond})},
		{"serverReset", s.resetServer}, {"answersLost", s.loseAnswers}, {"serverCrash", s.crashServer}, {"serverSlow", s.slowServer}, {"serverLeaves", s.serverLeaves},
	}
	if len(s.config.Only) == 0 {
		return s.swarm(all)
	}
	return slices.DeleteFunc(all, func(k kind) bool { return !slices.Contains(s.config.Only, k.name) })
}

// Shares of runs in which a kind of trouble occurs. Runs with few kinds show what
// the many troubles of others hide: while the store is disturbed, no time bound
// holds.
const (
	kindShare      = 0.6
	storeWideShare = 0.5
)

// swarm chooses the kinds of this run.
func (s *soak) swarm(all []kind) []kind {
	if s.random == nil {
		return all
	}
	hasStoreWide := s.random.Float64() < storeWideShare
	var chosen []kind
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

// FaultNames returns the names of all troubles.
func FaultNames() []string {
	var names []string
	for _, k := range (&soak{}).kinds() {
		names = append(names, k.name)
	}
	return names
}

func (s *soak) instance(choice uint64) *process {
	return s.instances[choice%uint64(len(s.instances))]
}

// claim takes an instance for a signal. It reports false if it is taken already,
// or if too few others would be left.
func (s *soak) claim(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, i := range s.instances {
		if !i.isTaken {
			free++
		}
	}
	if p.isTaken || free <= leastRunning {
		return false
	}
	p.isTaken = true
	return true
}

func (s *soak) giveBack(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.isTaken = false
}

// plannedStop stops an instance as the platform does, and starts it again.
func (s *soak) plannedStop(ctx context.Context, span time.Duration, choice uint64) {
	p := s.instance(choice)
	if !s.claim(p) {
		return
	}
	defer s.giveBack(p)
	p.beginStop()
	p.signal(syscall.SIGTERM)
	if !p.awaitExit(exitLimit) {
		s.ledger.report("a planned stop ends in time", "%s still runs %s after SIGTERM", p.id, exitLimit)
		p.signal(syscall.SIGKILL)
		p.awaitExit(exitLimit)
	} else if status := p.exitStatus(); status != 0 {
		s.ledger.report("a planned stop ends without a failure", "%s ended with status %d", p.id, status)
	}
	s.startAgain(ctx, p, span)
}

func (s *soak) startAgain(ctx context.Context, p *process, after time.Duration) {
	sleep(ctx, after)
	p.disturbances.add(time.Now().Add(contactTime))
	if err := p.start(); err != nil {
		s.ledger.report("an instance starts", "%s: %v", p.id, err)
	}
}

func (s *soak) kill(ctx context.Context, span time.Duration, choice uint64) {
	p := s.instance(choice)
	if !s.claim(p) {
		return
	}
	defer s.giveBack(p)
	p.disturbances.add(time.Now().Add(span + contactTime))
	p.signal(syscall.SIGKILL)
	p.awaitExit(exitLimit)
	s.startAgain(ctx, p, span)
}

// freeze suspends an instance for a while.
func (s *soak) freeze(ctx context.Context, span time.Duration, choice uint64) {
	p := s.instance(choice)
	if !s.claim(p) {
		return
	}
	defer s.giveBack(p)
	p.disturbances.add(time.Now().Add(span + contactTime))
	p.signal(syscall.SIGSTOP)
	sleep(ctx, span)
	p.signal(syscall.SIGCONT)
	p.disturbances.add(time.Now().Add(contactTime))
}

func (s *soak) reload(_ context.Context, _ time.Duration, choice uint64) {
	p := s.instance(choice)
	if !s.claim(p) {
		return
	}
	defer s.giveBack(p)
	p.signal(syscall.SIGHUP)
}

func (s *soak) changeConfiguration(context.Context, time.Duration, uint64) {
	if err := s.configure(); err != nil {
		s.ledger.report("a configuration is accepted", "%v", err)
	}
}

// evacuate empties a failure domain for at least as long as the bound, so that it
// is checked.
func (s *soak) evacuate(ctx context.Context, span time.Duration, choice uint64) {
	domain := s.domains[choice%uint64(len(s.domains))]
	if !s.claimDomain(domain) {
		return
	}
	defer s.releaseDomain()
	if err := s.store.Evacuate(domain); err != nil {
		s.ledger.report("an evacuation is accepted", "%v", err)
		return
	}
	var emptied []string
	for _, b := range s.serversIn(domain) {
		emptied = append(emptied, b.id)
		s.ledger.forbid(b.id, evacuationBound)
	}
	sleep(ctx, evacuationBound+span)
	for _, id := range emptied {
		s.ledger.allow(id)
	}
	s.store.EndEvacuation(domain)
}

func (s *soak) storeTrouble(trouble imitator.StoreFaults) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, _ uint64) {
		s.ledger.disturbances.add(time.Now().Add(span + contactTime))
		s.store.InjectFaults(trouble)
		sleep(ctx, span)
		s.store.InjectFaults(imitator.StoreFaults{})
		s.ledger.disturbances.add(time.Now().Add(contactTime))
	}
}

func (s *soak) storeForgets(context.Context, time.Duration, uint64) {
	s.ledger.disturbances.add(time.Now().Add(contactTime))
	s.store.DiscardHistory()
}

func (s *soak) storeLink(state linkState) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		p := s.instance(choice)
		p.disturbances.add(time.Now().Add(span + contactTime))
		p.store.set(state)
		sleep(ctx, span)
		p.store.set(linkState{})
		p.disturbances.add(time.Now().Add(contactTime))
	}
}

func (s *soak) resetStoreLink(_ context.Context, _ time.Duration, choice uint64) {
	p := s.instance(choice)
	p.disturbances.add(time.Now().Add(contactTime))
	p.store.reset()
}

// server returns a server that has not left.
func (s *soak) server(choice uint64) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var living []*backend
	for _, b := range s.servers {
		if !b.isGone {
			living = append(living, b)
		}
	}
	return living[choice%uint64(len(living))]
}

func (s *soak) serversIn(domain string) []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []*backend
	for _, b := range s.servers {
		if b.domain == domain && !b.isGone {
			in = append(in, b)
		}
	}
	return in
}

func (s *soak) serverLink(state linkState) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		b := s.server(choice)
		s.ledger.disturbLink(b.id, time.Now().Add(span+contactTime))
		b.link.set(state)
		sleep(ctx, span)
		b.link.set(linkState{})
		s.ledger.disturbLink(b.id, time.Now().Add(contactTime))
	}
}

// resetServer resets the connections to a server again and again.
func (s *soak) resetServer(ctx context.Context, span time.Duration, choice uint64) {
	const pause = 50 * time.Millisecond
	b := s.server(choice)
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		b.link.reset()
		sleep(ctx, pause)
	}
}

// loseAnswers lets a server work and not answer.
func (s *soak) loseAnswers(ctx context.Context, span time.Duration, choice uint64) {
	const share = 0.3
	b := s.server(choice)
	b.LoseAnswers(share)
	sleep(ctx, span)
	b.LoseAnswers(0)
}

func (s *soak) slowServer(ctx context.Context, span time.Duration, choice uint64) {
	const factor = 5
	b := s.server(choice)
	b.SetSlowdown(factor)
	sleep(ctx, span)
	b.SetSlowdown(1)
}

// crashServer ends a server without a word. Its entry lapses, and another one
// takes its place.
func (s *soak) crashServer(ctx context.Context, span time.Duration, choice uint64) {
	b := s.server(choice)
	if !s.retire(b) {
		return
	}
	b.close()
	sleep(ctx, span)
	s.store.RemoveServer(b.id)
	s.replaceServer(b)
}

// serverLeaves lets a server tell that it leaves, serve for a while, and end.
func (s *soak) serverLeaves(ctx context.Context, span time.Duration, choice uint64) {
	b := s.server(choice)
	if !s.retire(b) {
		return
	}
	s.replaceServer(b)
	b.Drain()
	if err := s.store.PutServer(b.Server, b.link.address()); err != nil {
		s.ledger.report("an entry is accepted", "%v", err)
	}
	s.ledger.forbid(b.id, drainBound)
	sleep(ctx, drainBound+span)
	s.store.RemoveServer(b.id)
	b.close()
}

// retire takes a server out of those that troubles choose from. It reports false
// if another trouble did already.
func (s *soak) retire(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.isGone {
		return false
	}
	b.isGone = true
	return true
}

func (s *soak) replaceServer(b *backend) {
	if err := s.addServer(b.service, b.domain); err != nil {
		s.ledger.report("a server starts", "%v", err)
	}
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
