package gossiper

import (
	"context"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// heartbeat exchanges with a member of the group and suspects it if neither it
// nor anyone asked on its behalf answers.
func (g *Gossiper) heartbeat(ctx context.Context, target pollencrank.Instance) {
	if g.exchange(ctx, target.PeerAddress, g.newRequest(target.ID)) == nil {
		return
	}
	if g.probeThroughOthers(ctx, target) || ctx.Err() != nil {
		return
	}
	g.suspect(target)
}

func (g *Gossiper) probeThroughOthers(ctx context.Context, target pollencrank.Instance) bool {
	others := slices.DeleteFunc(g.Roster().Group(g.Self()), func(m pollencrank.Instance) bool {
		return m.ID == target.ID || m.State != pollencrank.InstanceAlive
	})
	g.mu.Lock()
	g.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	g.mu.Unlock()
	reached := make(chan bool, indirectProbes)
	others = others[:min(indirectProbes, len(others))]
	for _, via := range others {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*g.config.Timeout)
			defer cancel()
			request := &peerpb.ProbeRequest{Target: target.ID, Address: target.PeerAddress}
			response, err := g.config.Peer.Probe(ctx, via.PeerAddress, request)
			reached <- err == nil && response.Reached
		}()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// HandleProbe sends a heartbeat on behalf of another instance.
func (g *Gossiper) HandleProbe(ctx context.Context, request *peerpb.ProbeRequest) *peerpb.ProbeResponse {
	err := g.exchange(ctx, request.Address, g.newRequest(request.Target))
	return &peerpb.ProbeResponse{Reached: err == nil}
}

// replaced declares a member dead because another instance answers at its
// address.
func (g *Gossiper) replaced(id string) {
	g.setState(id, pollencrank.InstanceDead)
}

// suspect marks a member as suspect unless it is known to be going.
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

// setState changes a member's state and passes it on.
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

// expire declares members of the group dead that were suspected for too long
// while others answered, and forgets old tombstones.
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
		case group[id] && m.State == pollencrank.InstanceSuspect && age >= g.config.Suspicion && g.heardSince(m.StateChanged):
			m.State = pollencrank.InstanceDead
			m.StateChanged = now
			g.members[id] = m
			g.enqueue(m)
			g.logMember(m)
			changed = true
		case !m.State.CanAnswer() && age >= tombstoneLifetime:
			delete(g.members, id)
			delete(g.updates, id)
			delete(g.news, id)
			changed = true
		}
	}
	roster := g.publish(changed)
	g.mu.Unlock()
	if changed {
		g.config.OnChange(roster)
	}
}

// heardSince reports whether any other instance, or the store, was heard of
// after a moment. Without that, this instance itself may be the one that is cut
// off.
func (g *Gossiper) heardSince(moment time.Time) bool {
	return g.lastContact.After(moment) || g.config.StoreContact().After(moment)
}
