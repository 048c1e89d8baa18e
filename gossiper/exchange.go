package gossiper

import (
	"context"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// newRequest returns a heartbeat for an instance.
func (g *Gossiper) newRequest(to string) *peerpb.ExchangeRequest {
	roster := g.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	request := &peerpb.ExchangeRequest{
		From:          g.self.ID,
		To:            to,
		Updates:       g.takeUpdates(),
		Generation:    uint64(g.config.Generation()),
		MembersDigest: roster.Digest,
		Load:          g.config.Load(),
	}
	if len(request.Updates) == 0 {
		request.Updates = []*peerpb.Member{ToMessage(g.self)}
	}
	request.Updates = append(request.Updates, g.suspicionOf(to)...)
	if domain := g.members[to].FailureDomain; g.mismatches[domain] >= mismatchRounds {
		delete(g.mismatches, domain)
		request.DomainDigests = roster.domainDigests
	}
	return request
}

// suspicionOf returns the record of a suspect member, or nothing for other members.
// It is sent to the member itself, which then refutes the suspicion for the whole
// group. The lock is held.
func (g *Gossiper) suspicionOf(id string) []*peerpb.Member {
	m, ok := g.members[id]
	if !ok || m.State != pollencrank.InstanceSuspect {
		return nil
	}
	return []*peerpb.Member{ToMessage(m)}
}

// exchange sends a heartbeat and merges the answer.
func (g *Gossiper) exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	response, err := g.config.Peer.Exchange(ctx, address, request)
	if err != nil {
		return err
	}
	if request.To != "" && response.From != request.To {
		g.declareReplaced(request.To)
	}
	g.mergeUpdates(response.From, response.Updates, response.MembersDigest)
	g.report(response.From, response.Generation, response.Load)
	return nil
}

// HandleExchange answers a heartbeat.
func (g *Gossiper) HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	g.mergeUpdates(request.From, request.Updates, 0)
	g.report(request.From, request.Generation, request.Load)
	roster := g.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	response := &peerpb.ExchangeResponse{
		From:          g.self.ID,
		Updates:       g.takeUpdates(),
		Generation:    uint64(g.config.Generation()),
		MembersDigest: roster.Digest,
		Load:          g.config.Load(),
	}
	if request.Joining || len(request.DomainDigests) > 0 {
		response.Updates = membersToSend(roster, request)
	}
	response.Updates = append(response.Updates, g.suspicionOf(request.From)...)
	if _, known := g.members[request.From]; known && len(response.Updates) == 0 {
		return response
	}
	response.Updates = append(response.Updates, ToMessage(g.self))
	return response
}

// membersToSend returns the members of the failure domains whose digests differ
// from those in the request, or all members if the sender is joining.
func membersToSend(roster *Roster, request *peerpb.ExchangeRequest) []*peerpb.Member {
	var members []*peerpb.Member
	for _, m := range roster.Members {
		if !request.Joining && request.DomainDigests[m.FailureDomain] == roster.domainDigests[m.FailureDomain] {
			continue
		}
		members = append(members, ToMessage(m))
	}
	return members
}

// report calls OnGeneration and OnLoad with the values that another instance sent.
func (g *Gossiper) report(from string, generation uint64, load *peerpb.Load) {
	instance, ok := g.Roster().Find(from)
	if !ok {
		return
	}
	g.config.OnGeneration(instance, pollencrank.Generation(generation))
	if load != nil {
		g.config.OnLoad(from, load)
	}
}

// mergeUpdates merges updates from another instance and publishes the result.
func (g *Gossiper) mergeUpdates(from string, updates []*peerpb.Member, digest uint64) {
	g.mu.Lock()
	now := time.Now()
	g.lastContact = now
	changed := false
	for _, update := range updates {
		if g.merge(FromMessage(update, now)) {
			changed = true
		}
	}
	roster := g.publish(changed)
	g.countMismatch(g.members[from].FailureDomain, roster, digest)
	g.mu.Unlock()
	if changed {
		g.config.OnChange(roster)
	}
}

// countMismatch counts consecutive exchanges with different digests. It counts them
// for each failure domain separately, because neighbours with equal digests may all
// differ from another failure domain. A digest of 0 means that none was sent.
func (g *Gossiper) countMismatch(domain string, roster *Roster, digest uint64) {
	switch digest {
	case 0:
	case roster.Digest:
		delete(g.mismatches, domain)
	default:
		g.mismatches[domain]++
	}
}

// merge merges one record and reports whether it changed a member. The lock is
// held.
func (g *Gossiper) merge(update pollencrank.Instance) bool {
	if update.ID == "" {
		return false
	}
	if update.ID == g.self.ID {
		return g.refute(update)
	}
	known, ok := g.members[update.ID]
	if update.State == pollencrank.InstanceSuspect && !g.mayBeInGroup(update) {
		// Only the member's own group may suspect it.
		update.State = pollencrank.InstanceAlive
	}
	if ok && !update.Overrides(known) {
		return false
	}
	if !ok && !update.State.CanAnswer() {
		return false
	}
	g.members[update.ID] = update
	g.enqueue(update)
	g.logMember(update)
	return true
}

// mayBeInGroup reports whether a member may be in this instance's group.
func (g *Gossiper) mayBeInGroup(m pollencrank.Instance) bool {
	if m.FailureDomain == g.self.FailureDomain {
		return true
	}
	return m.Region == g.self.Region && g.groupIsRegion
}

// refute overrides a wrong record of this instance with a higher incarnation and
// reports whether that was necessary. The lock is held.
func (g *Gossiper) refute(update pollencrank.Instance) bool {
	if update.Incarnation < g.self.Incarnation || !update.Overrides(g.self) {
		return false
	}
	g.self.Incarnation = update.Incarnation + 1
	g.members[g.self.ID] = g.self
	g.enqueue(g.self)
	return true
}

// ToMessage encodes a member record.
func ToMessage(m pollencrank.Instance) *peerpb.Member {
	return &peerpb.Member{
		Id:            m.ID,
		Incarnation:   m.Incarnation,
		State:         uint32(m.State),
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
	}
}

// FromMessage decodes a member record that arrived at the given time.
func FromMessage(m *peerpb.Member, arrived time.Time) pollencrank.Instance {
	return pollencrank.Instance{
		ID:            m.Id,
		Incarnation:   m.Incarnation,
		State:         pollencrank.InstanceState(min(m.State, uint32(pollencrank.InstanceDead))),
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
		StateChanged:  arrived,
	}
}
