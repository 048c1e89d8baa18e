package soaker

import (
	"context"
	"time"
)

const (
	// limitWindow is the span in which the requests to a server with a rate limit are
	// counted, and limitGrace the time after its naming in which they are not.
	limitWindow = 4 * time.Second
	limitGrace  = 4 * time.Second
	// limitFactor and limitSlack are what is allowed beyond the limit.
	limitFactor = 1.5
	limitSlack  = 5
	// maxLimit is the largest limit that a server names, in requests a second.
	maxLimit = 8
)

// namedLimit is the rate limit of a server and what has arrived there.
type namedLimit struct {
	perSecond float64
	namedAt   time.Time
	arrivals  []time.Time
}

// limitServer makes a server name a rate limit for a while.
func (s *soak) limitServer(ctx context.Context, span time.Duration, choice uint64) {
	b := s.pickServer(choice)
	perSecond := float64(choice % maxLimit)
	if !s.ledger.limit(b.id, perSecond) {
		return
	}
	b.NameLimit(perSecond)
	sleep(ctx, limitGrace+limitWindow+span)
	s.ledger.endLimit(b.id)
	b.EndLimit()
}

// limit records that a server names a rate limit. It reports false if it does already.
func (l *ledger) limit(server string, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits[server] != nil {
		return false
	}
	l.limits[server] = &namedLimit{perSecond: perSecond, namedAt: time.Now()}
	return true
}

func (l *ledger) endLimit(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, server)
}

// excuseLimits records that an instance is restarted, frozen or cut off. Limits that were
// named before are no longer checked, because the instance may not know them.
func (l *ledger) excuseLimits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitsExcusedAt = time.Now()
}

// recordArrival checks the rate of the requests to a server that names a limit.
func (l *ledger) recordArrival(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	named := l.limits[server]
	if named == nil || now.Sub(named.namedAt) < limitGrace || l.limitsExcusedAt.After(named.namedAt.Add(-limitGrace)) {
		return
	}
	named.arrivals = append(named.arrivals, now)
	for now.Sub(named.arrivals[0]) >= limitWindow {
		named.arrivals = named.arrivals[1:]
	}
	if allowed := limitFactor*named.perSecond*limitWindow.Seconds() + limitSlack; float64(len(named.arrivals)) > allowed {
		l.addViolation("a server's limit holds for all instances together", "%s names %v a second and got %d requests in %s",
			server, named.perSecond, len(named.arrivals), limitWindow)
	}
}
