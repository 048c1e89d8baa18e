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

// enqueue passes an update on with the next messages, about once to each
// neighbour and to two members besides.
func (g *Gossiper) enqueue(m pollencrank.Instance) {
	const besides = 2
	sends := bits.Len(uint(g.groupSize)) + besides
	g.updates[m.ID] = &pending{instance: m, left: sends}
	if m.State != pollencrank.InstanceSuspect {
		// A suspicion concerns the group only and may soon be refuted.
		g.news[m.ID] = true
	}
}

// PendingUpdates returns the number of updates that are still to be passed on.
func (g *Gossiper) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.updates)
}

// takeUpdates returns the updates that were sent least often.
func (g *Gossiper) takeUpdates() []*peerpb.Member {
	if len(g.updates) == 0 {
		return nil
	}
	queue := make([]*pending, 0, len(g.updates))
	for _, p := range g.updates {
		queue = append(queue, p)
	}
	slices.SortFunc(queue, func(a, b *pending) int {
		if a.left != b.left {
			return b.left - a.left
		}
		return strings.Compare(a.instance.ID, b.instance.ID)
	})
	var members []*peerpb.Member
	for _, p := range queue[:min(maxUpdates, len(queue))] {
		members = append(members, ToMessage(p.instance))
		p.left--
		if p.left == 0 {
			delete(g.updates, p.instance.ID)
		}
	}
	return members
}

// spread tells every neighbour of news at once, and one member of each other
// failure domain if this instance is a relay. Everyone who learns of something
// does the same, so that news reaches every member that can be reached.
func (g *Gossiper) spread(ctx context.Context) {
	roster := g.Roster()
	self := g.Self()
	targets := roster.Neighbours(self)
	g.mu.Lock()
	news := g.takeNews()
	if roster.IsRelay(self) {
		for _, domain := range g.foreignDomains(roster) {
			if m, ok := g.foreignMember(roster, domain); ok {
				targets = append(targets, m)
			}
		}
	}
	g.mu.Unlock()
	if len(news) > 0 {
		g.sendAll(ctx, targets, news)
	}
}

// takeNews returns the updates that arrived since it was last called. The lock
// is held.
func (g *Gossiper) takeNews() []*peerpb.Member {
	ids := slices.Sorted(maps.Keys(g.news))
	var news []*peerpb.Member
	for _, id := range ids[:min(maxNews, len(ids))] {
		news = append(news, ToMessage(g.members[id]))
		delete(g.news, id)
	}
	if len(g.news) > 0 {
		g.kick()
	}
	return news
}

// kick has the news spread soon.
func (g *Gossiper) kick() {
	select {
	case g.kicked <- struct{}{}:
	default:
	}
}

func (g *Gossiper) sendAll(ctx context.Context, targets []pollencrank.Instance, news []*peerpb.Member) {
	var wait sync.WaitGroup
	for _, target := range targets {
		wait.Go(func() {
			request := g.newRequest(target.ID)
			request.Updates = append(request.Updates, news...)
			_ = g.exchange(ctx, target.PeerAddress, request)
		})
	}
	wait.Wait()
}

// Announce changes this instance's own state and tells its neighbours and the
// relays of other failure domains.
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
	news := g.takeNews()
	g.mu.Unlock()
	g.config.OnChange(roster)
	g.sendAll(ctx, targets, news)
}
