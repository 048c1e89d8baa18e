package soaker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	serviceTime   = 60 * time.Millisecond
	serverSlots   = 4
	cachedObjects = 30
)

// backend is a backend server behind a proxy.
type backend struct {
	*imitator.Server
	id, service, domain string
	link                *proxy
	stop                chan struct{}
	stopOnce            sync.Once
	hasLeft             bool
}

// close stops the server without waiting for requests.
func (b *backend) close() {
	b.stopOnce.Do(func() { close(b.stop) })
	b.Server.Close()
	b.link.close()
}

// addServer starts a server and its entry in the store.
func (s *soak) addServer(service, domain string) error {
	s.mu.Lock()
	s.serversStarted++
	id := fmt.Sprintf("server-%d", s.serversStarted)
	s.mu.Unlock()
	ip := s.ip(serverKind, 0)
	server, err := imitator.StartServer(imitator.ServerConfig{
		ID: id, Service: service, FailureDomain: domain, Slots: serverSlots, ServiceTime: serviceTime, CachedObjects: cachedObjects,
		OnRun: s.ledger.recordRun, OnArrival: s.ledger.recordArrival,
		CrashOf: crashOf, OnCrash: s.crashed,
	}, ip)
	if err != nil {
		return err
	}
	link, err := startOwnedProxy(ip, server.Address(), s.ownerOfConnection, s.cuts)
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

// pickServer returns a server that has not left.
func (s *soak) pickServer(choice uint64) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []*backend
	for _, b := range s.servers {
		if !b.hasLeft {
			remaining = append(remaining, b)
		}
	}
	return remaining[choice%uint64(len(remaining))]
}

func (s *soak) serversIn(domain string) []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*backend
	for _, b := range s.servers {
		if b.domain == domain && !b.hasLeft {
			found = append(found, b)
		}
	}
	return found
}

func (s *soak) serverLinkFault(state linkState) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		b := s.pickServer(choice)
		s.ledger.disturbLink(b.id, time.Now().Add(span+recoveryTime))
		b.link.setState(state)
		sleep(ctx, span)
		b.link.setState(linkState{})
		s.ledger.disturbLink(b.id, time.Now().Add(recoveryTime))
	}
}

// resetServer resets the connections to a server repeatedly.
func (s *soak) resetServer(ctx context.Context, span time.Duration, choice uint64) {
	const pause = 50 * time.Millisecond
	b := s.pickServer(choice)
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		b.link.reset()
		sleep(ctx, pause)
	}
}

// loseAnswers makes a server run requests and drop a share of the answers.
func (s *soak) loseAnswers(ctx context.Context, span time.Duration, choice uint64) {
	const share = 0.3
	b := s.pickServer(choice)
	b.LoseAnswers(share)
	sleep(ctx, span)
	b.LoseAnswers(0)
}

// misbehave returns a fault in which a server misbehaves for a while.
func (s *soak) misbehave(m imitator.Misbehaviour) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		b := s.pickServer(choice)
		b.Misbehave(m)
		sleep(ctx, span)
		b.Misbehave(imitator.Misbehaviour{})
	}
}

func (s *soak) slowServer(ctx context.Context, span time.Duration, choice uint64) {
	const factor = 5
	b := s.pickServer(choice)
	b.SetSlowdown(factor)
	sleep(ctx, span)
	b.SetSlowdown(1)
}

// crashServer stops a server without notice. Its entry is removed from the store after a
// delay, and another server replaces it.
func (s *soak) crashServer(ctx context.Context, span time.Duration, choice uint64) {
	b := s.pickServer(choice)
	if !s.retire(b) {
		return
	}
	b.close()
	sleep(ctx, span)
	s.store.RemoveServer(b.id)
	s.replaceServer(b)
}

// drainServer makes a server report that it is draining, serve for a while, and stop.
func (s *soak) drainServer(ctx context.Context, span time.Duration, choice uint64) {
	b := s.pickServer(choice)
	if !s.retire(b) {
		return
	}
	s.replaceServer(b)
	b.Drain()
	if err := s.store.PutServer(b.Server, b.link.address()); err != nil {
		s.ledger.reportViolation("an entry is accepted", "%v", err)
	}
	s.ledger.forbid(b.id, drainBound)
	sleep(ctx, drainBound+span)
	s.store.RemoveServer(b.id)
	b.close()
}

// retire removes a server from those that faults choose from. It reports false if
// another fault has done so already.
func (s *soak) retire(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.hasLeft {
		return false
	}
	b.hasLeft = true
	return true
}

func (s *soak) replaceServer(b *backend) {
	if err := s.addServer(b.service, b.domain); err != nil {
		s.ledger.reportViolation("a server starts", "%v", err)
	}
}
