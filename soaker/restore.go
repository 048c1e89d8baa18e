package soaker

import (
	"context"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// restoreOutage is how long the store is away before it comes back from a copy.
	restoreOutage = 500 * time.Millisecond
	// maxRewriteDelay is the longest time after that until the operator and the servers
	// have written again what they wrote since the copy.
	maxRewriteDelay = 2 * time.Second
)

// restoreStore lets the store come back from a copy that is as old as span.
func (s *soak) restoreStore(ctx context.Context, span time.Duration, choice uint64) {
	earlier := s.store.Copy()
	sleep(ctx, span)
	rewriteDelay := time.Duration(choice % uint64(maxRewriteDelay))
	s.ledger.disturbances.add(time.Now().Add(restoreOutage + rewriteDelay + recoveryTime))
	s.store.InjectFaults(imitator.StoreFaults{IsUnavailable: true})
	sleep(ctx, restoreOutage)
	s.store.Restore(earlier)
	s.store.InjectFaults(imitator.StoreFaults{})
	sleep(ctx, rewriteDelay)
	s.rewrite()
	s.ledger.disturbances.add(time.Now().Add(recoveryTime))
}

// rewrite writes the state of the operator and of the servers into the store.
func (s *soak) rewrite() {
	s.rewriteConfiguration()
	s.mu.Lock()
	evacuated := s.evacuated
	servers := append([]*backend(nil), s.servers...)
	s.mu.Unlock()
	for _, domain := range s.domains {
		if domain == evacuated {
			continue
		}
		s.store.EndEvacuation(domain)
	}
	if evacuated != "" {
		if err := s.store.Evacuate(evacuated); err != nil {
			s.ledger.reportViolation("an evacuation is accepted", "%v", err)
		}
	}
	for _, b := range servers {
		if b.isClosed() {
			s.store.RemoveServer(b.id)
			continue
		}
		if err := s.store.PutServer(b.Server, b.link.address()); err != nil {
			s.ledger.reportViolation("an entry is accepted", "%v", err)
		}
	}
}

// rewriteConfiguration writes the newest version into the store again.
func (s *soak) rewriteConfiguration() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if err := s.writeConfiguration(version); err != nil {
		s.ledger.reportViolation("a configuration is accepted", "%v", err)
	}
}

// isClosed reports whether the server has stopped.
func (b *backend) isClosed() bool {
	select {
	case <-b.stop:
		return true
	default:
		return false
	}
}
