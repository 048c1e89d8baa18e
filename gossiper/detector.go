package gossiper

import (
	"context"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// heartbeat sends a heartbeat to a member of the group. It suspects the member if
// neither the heartbeat nor an indirect probe is answered.
func (g *Gossiper) heartbeat(ctx context.Context, target pollencrank.Instance) {
	if g.exchange(ctx, target.PeerAddress, g.newRequest(target.ID)) == nil {
		return
	}
	if g.probeIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	g.suspect(target)
}

// probeIndirectly has random members of the group probe the target and reports
// whether one of them reached it.
func (g *Gossiper) probeIndirectly(ctx context.Context, target pollencrank.Instance) bool {
	proxies := slices.DeleteFunc(g.Roster().Group(g.Self()), func(m pollencrank.Instance) bool {
		return m.ID == target.ID || m.State != pollencrank.InstanceAlive
	})
	g.mu.Lock()
	g.random.Shuffle(len(proxies), func(i, j int) { proxies[i], proxies[j] = proxies[j], proxies[i] })
	g.mu.Unlock()
	reached := make(chan bool, indirectProbes)
	proxies = proxies[:min(indirectProbes, len(proxies))]
	for _, proxy := range proxies {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*g.config.Timeout)
			defer cancel()
			request := &peerpb.ProbeRequest{Target: target.ID, Address: target.PeerAddress}
			response, err := g.config.Peer.Probe(ctx, proxy.PeerAddress, request)
			reached <- err == nil && response.Reached
		}()
	}
	for range proxies {
		if <-reached {
			return true
		}
	}
	return false
}

// HandleProbe sends a heartbeat to the target of an indirect probe and reports
// whether it was answered.
func (g *Gossiper) HandleProbe(ctx context.Context, request *peerpb.ProbeRequest) *peerpb.ProbeResponse {
	err := g.exchange(ctx, request.Address, g.newRequest(request.Target))
	return &peerpb.ProbeResponse{Reached: err == nil}
}

// declareReplaced declares a member dead because another instance answers at its
// peer address.
func (g *Gossiper) declareReplaced(id string) {
	g.setState(id, pollencrank.InstanceDead)
}

// suspect marks a member as suspect if it is alive and still has the incarnation of
// target. A member that announced that it is leaving is marked as left instead.
func (g *Gossiper) suspect(target pollencrank.Instance) {
	g.mu.Lock()
	known, ok := g.members[target.ID]
	current := ok && known.Incarnation == target.Incarnation && known.State == pollencrank.InstanceAlive
	leaving := ok && known.State == pollencrank.InstanceLeaving
	g.mu.Unlock()
	if current {
		g.setState(target.ID, pollencrank.InstanceSuspect)
	}
	if leaving {
		g.setState(target.ID, pollencrank.InstanceLeft)
	}
}

// setState raises the state of a member and queues the update for other members.
func (g *Gossiper) setState(id string, state pollencrank.InstanceState) {
	g.mu.Lock()
	m, ok := g.members[id]
	if !ok || m.State >= state || id == g.self.ID {
		g.mu.Unlock()
		return
	}
	m.State = state
	m.StateChanged = time.Now()
	g.members[id] = m
	g.enqueue(m)
	g.logMember(m)
	roster := g.publish(true)
	g.mu.Unlock()
	g.config.OnChange(roster)
}

// expire declares members of the group dead that have been suspect for the suspicion
// period, if this instance has received a message or an answer of the store in that time. It
// also removes old tombstones.
func (g *Gossiper) expire(now time.Time) {
	g.mu.Lock()
	group := map[string]bool{}
	for _, m := range g.roster.Load().Group(g.self) {
		group[m.ID] = true
	}
	changed := false
	for id, m := range g.members {
		age := now.Sub(m.StateChanged)
		switch {
		case group[id] && m.State == pollencrank.InstanceSuspect && age >= g.config.Suspicion && g.hadContactSince(m.StateChanged):
			m.State = pollencrank.InstanceDead
			m.StateChanged = now
			g.members[id] = m
			g.enqueue(m)
			g.logMember(m)
			changed = true
		case !m.State.CanAnswer() && age >= tombstoneLifetime:
			delete(g.members, id)
			delete(g.updates, id)
			delete(g.unpushed, id)
			changed = true
		}
	}
	roster := g.publish(changed)
	g.mu.Unlock()
	if changed {
		g.config.OnChange(roster)
	}
}

// hadContactSince reports whether this instance received a message from another
// instance or an answer of the store after the given time. Otherwise this instance
// itself may be isolated.
func (g *Gossiper) hadContactSince(moment time.Time) bool {
	return g.lastContact.After(moment) || g.config.StoreContact().After(moment)
}
