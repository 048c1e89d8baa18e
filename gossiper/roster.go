package gossiper

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

// Roster is the membership list of the fleet on one instance. A Roster is
// immutable.
type Roster struct {
	// Members is ordered by ID. It includes instances that recently left or were
	// declared dead.
	Members []pollencrank.Instance
	// Digest is a hash of the running members. It is equal on instances whose
	// rosters hold the same ones.
	Digest uint64
	// domainDigests are the digests of the members of each failure domain.
	domainDigests map[string]uint64
	byID          map[string]int
}

// NewRoster returns a roster of members.
func NewRoster(members []pollencrank.Instance) *Roster {
	r := &Roster{
		Members:       slices.Clone(members),
		domainDigests: map[string]uint64{},
		byID:          make(map[string]int, len(members)),
	}
	slices.SortFunc(r.Members, func(a, b pollencrank.Instance) int { return strings.Compare(a.ID, b.ID) })
	for i, m := range r.Members {
		r.byID[m.ID] = i
		if m.State.CanAnswer() {
			hash := memberHash(m)
			r.Digest += hash
			r.domainDigests[m.FailureDomain] += hash
		}
	}
	return r
}

// memberHash hashes a member's ID, incarnation and state. A suspect member counts
// as alive, because a suspicion stays within one group and ends soon.
func memberHash(m pollencrank.Instance) uint64 {
	state := m.State
	if state == pollencrank.InstanceSuspect {
		state = pollencrank.InstanceAlive
	}
	var numbers [9]byte
	binary.BigEndian.PutUint64(numbers[:8], m.Incarnation)
	numbers[8] = byte(state)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.ID)
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}

// Find returns the member with an ID.
func (r *Roster) Find(id string) (pollencrank.Instance, bool) {
	i, ok := r.byID[id]
	if !ok {
		return pollencrank.Instance{}, false
	}
	return r.Members[i], true
}

// Select returns the members that a predicate accepts.
func (r *Roster) Select(accept func(pollencrank.Instance) bool) []pollencrank.Instance {
	var selected []pollencrank.Instance
	for _, m := range r.Members {
		if accept(m) {
			selected = append(selected, m)
		}
	}
	return selected
}

// minDomainGroup is the minimum number of members for a failure domain to be a
// group of its own. In a smaller failure domain the group is the region.
const minDomainGroup = 3

// Group returns the members that exchange heartbeats with self, without self.
func (r *Roster) Group(self pollencrank.Instance) []pollencrank.Instance {
	group := r.Select(func(m pollencrank.Instance) bool {
		return m.State.CanAnswer() && m.FailureDomain == self.FailureDomain
	})
	if len(group) < minDomainGroup {
		group = r.Select(func(m pollencrank.Instance) bool {
			return m.State.CanAnswer() && m.Region == self.Region
		})
	}
	return slices.DeleteFunc(group, func(m pollencrank.Instance) bool { return m.ID == self.ID })
}

// Neighbours returns the members of self's group at distances of 1, 2, 4, ...
// in the ring of the group's IDs. Heartbeats and updates within the group use only
// these edges. In a group whose size has n binary digits, each member thus sends to
// at most n neighbours, is monitored by as many, and is reached from any other
// member in as many hops.
func (r *Roster) Neighbours(self pollencrank.Instance) []pollencrank.Instance {
	group := r.Group(self)
	position, _ := slices.BinarySearchFunc(group, self, func(a, b pollencrank.Instance) int { return strings.Compare(a.ID, b.ID) })
	size := len(group) + 1
	var neighbours []pollencrank.Instance
	for distance := 1; distance < size; distance *= 2 {
		// The group does not contain self, so that the next member in the ring
		// is at position.
		neighbours = append(neighbours, group[(position+distance-1)%len(group)])
	}
	return neighbours
}

// RelayCount is the number of relays of each failure domain. Relays watch the
// store and exchange heartbeats with other failure domains.
const RelayCount = 2

// Relays returns the relays of a failure domain in rendezvous order.
func (r *Roster) Relays(failureDomain string) []pollencrank.Instance {
	members := r.Select(func(m pollencrank.Instance) bool {
		return m.State.CanOwn() && m.FailureDomain == failureDomain
	})
	key := "relay/" + failureDomain
	slices.SortFunc(members, func(a, b pollencrank.Instance) int {
		left, right := pollencrank.RendezvousScore(key, a.ID), pollencrank.RendezvousScore(key, b.ID)
		if left != right {
			if left > right {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return members[:min(RelayCount, len(members))]
}

// IsRelay reports whether an instance is a relay of its failure domain.
func (r *Roster) IsRelay(self pollencrank.Instance) bool {
	return slices.ContainsFunc(r.Relays(self.FailureDomain), func(m pollencrank.Instance) bool {
		return m.ID == self.ID
	})
}

// Domains returns the names of the failure domains that have running members, in
// ascending order.
func (r *Roster) Domains() []string {
	var domains []string
	for d := range r.domainDigests {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}
