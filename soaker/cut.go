package soaker

import (
	"context"
	"net/http"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// cutBound is the time after which callers of an instance that is cut off from all
	// servers are served like others.
	cutBound = 4 * time.Second
	// minCutAttempts is the least number of attempts that are compared.
	minCutAttempts = 20
)

// serverCut is how an instance is cut off from all servers. New connections carry no data.
type serverCut struct {
	// keepsOpen lets open connections work on, and resets resets them. Otherwise they carry no
	// data either.
	keepsOpen, resets bool
}

// cutComparison compares the attempts at a cut-off instance with those at the others.
type cutComparison struct {
	instance  *process
	from      time.Time
	cut, rest Counts
}

// cutFromServers cuts an instance off from all servers, for longer than the bound.
func (s *soak) cutFromServers(cut serverCut) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, span time.Duration, choice uint64) {
		p := s.pickInstance(choice)
		if !s.ledger.beginCut(p) {
			return
		}
		s.setServerCut(p, &cut)
		sleep(ctx, cutBound+span)
		s.ledger.endCut()
		s.setServerCut(p, nil)
		p.rerouting.add(time.Now().Add(recoveryTime))
	}
}

// setServerCut cuts an instance off from all servers, also from those that are added
// later, or restores its links.
func (s *soak) setServerCut(p *process, cut *serverCut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts.set(p.id, cut)
	if cut == nil || !cut.resets {
		return
	}
	for _, b := range s.servers {
		b.link.resetOwner(p.id)
	}
}

// ownerOfConnection returns the ID of the instance that has opened a connection to a
// server.
func (s *soak) ownerOfConnection(conn connection) string {
	pids := map[int]string{}
	var all []int
	for _, p := range s.instances {
		pid := p.processID()
		pids[pid] = p.id
		all = append(all, pid)
	}
	return pids[ownerOf(conn.RemoteAddr(), conn.LocalAddr(), all)]
}

// beginCut begins to compare an instance that is cut off. It reports false if another one
// is cut off.
func (l *ledger) beginCut(p *process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.comparison != nil {
		return false
	}
	l.comparison = &cutComparison{instance: p, from: time.Now().Add(cutBound)}
	p.rerouting.add(time.Now().Add(time.Hour))
	return true
}

// countInCut counts an attempt that has ended. The caller holds the lock.
func (l *ledger) countInCut(s *sentAttempt, reply imitator.Reply) {
	c := l.comparison
	if c == nil || s.sentAt.Before(c.from) {
		return
	}
	counts := &c.rest
	if s.instance == c.instance {
		counts = &c.cut
	}
	counts.Attempts++
	if reply.Err == nil && reply.Status == http.StatusOK {
		counts.Served++
	}
}

// endCut ends the comparison and checks it, unless a disturbance touched the time that was
// compared.
func (l *ledger) endCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.comparison
	l.comparison = nil
	if c.cut.Attempts < minCutAttempts || c.rest.Attempts < minCutAttempts || l.isDisturbedSince(c.from) {
		return
	}
	share := float64(c.cut.Served) / float64(c.cut.Attempts)
	usual := float64(c.rest.Served) / float64(c.rest.Attempts)
	if share < usual*2/3 {
		l.addViolation("callers of an instance without links to servers are served", "%s: %d of %d, elsewhere %d of %d",
			c.instance.id, c.cut.Served, c.cut.Attempts, c.rest.Served, c.rest.Attempts)
	}
}

// isDisturbedSince reports whether a disturbance of any instance touched the time since a
// moment. The caller holds the lock.
func (l *ledger) isDisturbedSince(from time.Time) bool {
	all := []*disturbances{&l.disturbances}
	for _, p := range l.instances {
		all = append(all, &p.disturbances)
	}
	for _, d := range all {
		for _, span := range d.list() {
			if span.until.After(from) {
				return true
			}
		}
	}
	return false
}
