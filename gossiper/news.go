package gossiper

import (
	"context"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// enqueue queues an update for the next messages to other members: about one for
// each neighbour and two more. The lock is held.
func (g *Gossiper) enqueue(m pollencrank.Instance) {
	const extraSends = 2
	sends := bits.Len(uint(g.groupSize)) + extraSends
	g.updates[m.ID] = &queuedUpdate{instance: m, sendsLeft: sends}
	if m.State != pollencrank.InstanceSuspect {
		// A suspicion matters only to the group and may soon be refuted, so it
		// is not pushed.
		g.unpushed[m.ID] = true
	}
}

// PendingUpdates returns the number of updates that are still queued for other
// members.
func (g *Gossiper) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.updates)
}

// takeUpdates returns the updates with the most sends left, at most maxUpdates, and
// counts them as sent once more. The lock is held.
func (g *Gossiper) takeUpdates() []*peerpb.Member {
	if len(g.updates) == 0 {
		return nil
	}
	queue := make([]*queuedUpdate, 0, len(g.updates))
	for _, p := range g.updates {
		queue = append(queue, p)
	}
	slices.SortFunc(queue, func(a, b *queuedUpdate) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.instance.ID, b.instance.ID)
	})
	var members []*peerpb.Member
	for _, p := range queue[:min(maxUpdates, len(queue))] {
		members = append(members, ToMessage(p.instance))
		p.sendsLeft--
		if p.sendsLeft == 0 {
			delete(g.updates, p.instance.ID)
		}
	}
	return members
}

// pushUpdates sends new updates to every neighbour without waiting for the next
// heartbeat, and to one member of each other failure domain if this instance is a
// relay. Each receiver pushes the updates that are new to it in the same way, so
// that they reach every member that is reachable.
func (g *Gossiper) pushUpdates(ctx context.Context) {
	roster := g.Roster()
	self := g.Self()
	targets := roster.Neighbours(self)
	g.mu.Lock()
	updates := g.takeUnpushed()
	if roster.IsRelay(self) {
		for _, domain := range g.foreignDomains(roster) {
			if m, ok := g.foreignMember(roster, domain); ok {
				targets = append(targets, m)
			}
		}
	}
	g.mu.Unlock()
	if len(updates) > 0 {
		g.sendAll(ctx, targets, updates)
	}
}

// takeUnpushed returns the updates that have not been pushed yet, at most
// maxPushedUpdates, and requests another push for the rest. The lock is held.
func (g *Gossiper) takeUnpushed() []*peerpb.Member {
	ids := slices.Sorted(maps.Keys(g.unpushed))
	var updates []*peerpb.Member
	for _, id := range ids[:min(maxPushedUpdates, len(ids))] {
		updates = append(updates, ToMessage(g.members[id]))
		delete(g.unpushed, id)
	}
	if len(g.unpushed) > 0 {
		g.requestPush()
	}
	return updates
}

// requestPush makes Run push new updates after pushDelay.
func (g *Gossiper) requestPush() {
	select {
	case g.pushRequests <- struct{}{}:
	default:
	}
}

// sendAll sends a heartbeat with updates to all targets.
func (g *Gossiper) sendAll(ctx context.Context, targets []pollencrank.Instance, updates []*peerpb.Member) {
	var wait sync.WaitGroup
	for _, target := range targets {
		wait.Go(func() {
			request := g.newRequest(target.ID)
			request.Updates = append(request.Updates, updates...)
			_ = g.exchange(ctx, target.PeerAddress, request)
		})
	}
	wait.Wait()
}

// Announce changes the state of this instance and sends the change to its
// neighbours and to the relays of the other failure domains.
func (g *Gossiper) Announce(ctx context.Context, state pollencrank.InstanceState) {
	g.mu.Lock()
	g.self.State = state
	g.self.StateChanged = time.Now()
	g.members[g.self.ID] = g.self
	g.enqueue(g.self)
	roster := g.publish(true)
	self := g.self
	targets := roster.Neighbours(self)
	for _, domain := range g.foreignDomains(roster) {
		targets = append(targets, roster.Relays(domain)...)
	}
	updates := g.takeUnpushed()
	g.mu.Unlock()
	g.config.OnChange(roster)
	g.sendAll(ctx, targets, updates)
}
