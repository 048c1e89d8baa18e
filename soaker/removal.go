package soaker

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// removalBound is the time after the end of an instance after which no look-up names it.
	removalBound = 7 * time.Second
	// removalCheckSpan is how long look-ups are checked from then on while the fleet is not
	// disturbed. Disturbances delay them up to maxRemovalCheck after the end.
	removalCheckSpan = 2 * time.Second
	maxRemovalCheck  = 20 * time.Second
	// removalPollInterval is the interval of these look-ups.
	removalPollInterval = 250 * time.Millisecond
	// removalOutage is how long the store is away at least.
	removalOutage = 1500 * time.Millisecond
	// ringNeighbours is the number of instances that notice the end of one by themselves.
	ringNeighbours = 8
)

// removeInOutage ends an instance while the store is away, and checks that the others stop
// naming it when the store is back. It starts the instance again after that.
func (s *soak) removeInOutage(ctx context.Context, span time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	backAt := time.Now().Add(removalOutage + span)
	s.ledger.disturbances.add(backAt.Add(recoveryTime))
	s.store.InjectFaults(outageOf(choice))
	sleep(ctx, removalOutage/2)
	p.disturbances.add(backAt.Add(maxRemovalCheck + recoveryTime))
	if isAnnounced := choice>>32%2 == 0; isAnnounced {
		s.stopAsPlanned(p)
	} else {
		p.signal(syscall.SIGKILL)
		p.awaitExit(exitTimeout)
	}
	endedAt := time.Now()
	sleep(ctx, time.Until(backAt))
	s.store.InjectFaults(imitator.StoreFaults{})
	s.ledger.disturbances.add(time.Now().Add(recoveryTime))
	s.checkRemoval(ctx, p, endedAt)
	s.restart(ctx, p, 0)
}

// killUnreported kills an instance whose neighbours in the ring are cut off from the store, and
// checks that the others, which are not disturbed, stop naming it.
func (s *soak) killUnreported(ctx context.Context, _ time.Duration, choice uint64) {
	p := s.pickInstance(choice)
	if !s.unreported.TryLock() {
		return
	}
	defer s.unreported.Unlock()
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	neighbours := s.ringBefore(p, ringNeighbours)
	for _, n := range neighbours {
		n.disturbances.add(time.Now().Add(maxRemovalCheck + removalCheckSpan + recoveryTime))
		n.store.setState(linkState{HoldsForward: true, HoldsBackward: true})
	}
	p.disturbances.add(time.Now().Add(maxRemovalCheck + removalCheckSpan + recoveryTime))
	p.signal(syscall.SIGKILL)
	p.awaitExit(exitTimeout)
	s.checkRemoval(ctx, p, time.Now())
	for _, n := range neighbours {
		n.store.setState(linkState{})
	}
	s.restart(ctx, p, 0)
}

// ringBefore returns the n instances before one in the ring, which is in the order of IDs.
func (s *soak) ringBefore(p *process, n int) []*process {
	ring := slices.Clone(s.instances)
	slices.SortFunc(ring, func(a, b *process) int { return cmp.Compare(a.id, b.id) })
	own := slices.Index(ring, p)
	before := slices.Concat(ring[own+1:], ring[:own])
	return before[max(0, len(before)-n):]
}

// outageOf returns an outage: the store refuses calls, or does not answer them.
func outageOf(choice uint64) imitator.StoreFaults {
	if choice>>33%2 == 0 {
		return imitator.StoreFaults{IsUnavailable: true}
	}
	return imitator.StoreFaults{IsUnresponsive: true}
}

// checkRemoval checks that look-ups do not name an instance that has ended, from removalBound
// after its end on and for a while, and logs when the last one did. The answers of instances
// that are disturbed do not count.
func (s *soak) checkRemoval(ctx context.Context, ended *process, endedAt time.Time) {
	client := &http.Client{Timeout: dialTimeout}
	defer client.CloseIdleConnections()
	until := endedAt.Add(removalBound + removalCheckSpan)
	var lastNamed time.Duration
	for ctx.Err() == nil && time.Now().Before(until) {
		now := time.Now()
		extended := now.Add(removalCheckSpan)
		if s.ledger.disturbances.covers(now) && until.Before(endedAt.Add(maxRemovalCheck)) && until.Before(extended) {
			until = extended
		}
		for _, asked := range s.instances {
			askedAt := time.Now()
			if asked == ended || s.ledger.disturbances.covers(askedAt) || asked.disturbances.covers(askedAt) {
				continue
			}
			if !s.names(ctx, client, asked, ended) {
				continue
			}
			lastNamed = askedAt.Sub(endedAt).Round(time.Millisecond)
			if lastNamed > removalBound {
				s.ledger.reportViolation("a removed instance is not named", "%s names %s, which ended %s before", asked.id, ended.id, lastNamed)
				return
			}
		}
		sleep(ctx, removalPollInterval)
	}
	s.config.Log("an undisturbed instance last named %s %s after its end", ended.id, lastNamed)
}

// names reports whether the answer of an instance to a look-up names another one.
func (s *soak) names(ctx context.Context, client *http.Client, asked, other *process) bool {
	addresses, err := imitator.Lookup(ctx, client, imitator.LookupURL(asked.ip, s.regionOf[other.domain], other.domain))
	if err != nil {
		return false
	}
	return slices.ContainsFunc(addresses, func(address string) bool {
		host, _, err := net.SplitHostPort(address)
		return err == nil && host == other.ip
	})
}
