package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/allocator"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

const (
	serverCount = 6
	slots       = 4
)

func configuration() *pollencrank.Configuration {
	c := &pollencrank.Configuration{
		Regions:        []pollencrank.Region{{Name: "north"}},
		FailureDomains: []pollencrank.FailureDomain{{Name: "north-1", Region: "north"}, {Name: "north-2", Region: "north"}},
	}
	for i := range serverCount {
		c.Servers = append(c.Servers, pollencrank.Server{
			Name: fmt.Sprintf("server-%d", i), Workload: "w", FailureDomain: "north-1", Slots: slots,
		})
	}
	return c
}

func member(id string, state pollencrank.InstanceState) pollencrank.Instance {
	return pollencrank.Instance{ID: id, State: state, FailureDomain: "north-1", Region: "north"}
}

func TestOwnersStayInTheFailureDomainWhileItHasMembers(t *testing.T) {
	near, far := member("near", pollencrank.InstanceAlive), member("far", pollencrank.InstanceAlive)
	far.FailureDomain = "north-2"
	for _, owner := range allocator.Owners(configuration(), []pollencrank.Instance{near, far}) {
		require.Equal(t, "near", owner)
	}
	near.State = pollencrank.InstanceDead
	for _, owner := range allocator.Owners(configuration(), []pollencrank.Instance{near, far}) {
		require.Equal(t, "far", owner)
	}
	for _, owner := range allocator.Owners(configuration(), nil) {
		require.Empty(t, owner)
	}
}

func usableSlots(result allocator.Result) int {
	sum := 0
	for _, s := range result.Owned {
		sum += s.Slots
	}
	return sum
}

func TestANewOwnerWaitsForThePreviousOwner(t *testing.T) {
	now := time.Unix(0, 0)
	members := []pollencrank.Instance{member("a", pollencrank.InstanceAlive), member("b", pollencrank.InstanceAlive)}
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: members}
	result := b.Update(in, now)
	require.NotEmpty(t, result.Owned)
	require.Zero(t, usableSlots(result), "no slot is usable before the previous owner answers")
	require.Len(t, result.Acquisitions, 1)
	require.Equal(t, "a", result.Acquisitions[0].From.ID)
	require.Len(t, result.Acquisitions[0].Servers, len(result.Owned))

	for _, s := range result.Owned {
		b.RecordAcquisition(s.Name, "a", 1, now)
	}
	result = b.Update(in, now)
	require.Equal(t, len(result.Owned)*(slots-1), usableSlots(result), "slots that the previous owner still uses stay reserved")

	for _, s := range result.Owned {
		b.RecordAcquisition(s.Name, "a", 0, now)
	}
	result = b.Update(in, now)
	require.Equal(t, len(result.Owned)*slots, usableSlots(result))
	require.Empty(t, result.Acquisitions)
}

func TestANewOwnerDoesNotWaitForADeadMember(t *testing.T) {
	now := time.Unix(0, 0)
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{
		member("a", pollencrank.InstanceAlive), member("b", pollencrank.InstanceAlive),
	}}
	require.Zero(t, usableSlots(b.Update(in, now)))
	in.Members[0].State = pollencrank.InstanceDead
	require.Equal(t, serverCount*slots, usableSlots(b.Update(in, now)))
}

func TestANewOwnerStopsWaitingForAnUnresponsiveMember(t *testing.T) {
	now := time.Unix(0, 0)
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{
		member("a", pollencrank.InstanceSuspect), member("b", pollencrank.InstanceAlive),
	}}
	result := b.Update(in, now)
	require.Zero(t, usableSlots(result))
	result = b.Update(in, now.Add(3*time.Second))
	require.Equal(t, len(result.Owned)*slots, usableSlots(result))
}

// An instance that releases a server neither uses the server again while its own
// list of members lacks the new owner, nor releases it to a second instance in
// the meantime.
func TestAReleasedServerStaysReleased(t *testing.T) {
	now := time.Unix(0, 0)
	a := allocator.New(allocator.Config{Self: "a"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{member("a", pollencrank.InstanceAlive)}}
	require.Equal(t, serverCount*slots, usableSlots(a.Update(in, now)))
	require.True(t, a.Release("server-0", "b", now))
	require.False(t, a.Release("server-0", "c", now.Add(time.Second)))
	require.True(t, a.Release("server-0", "b", now.Add(time.Second)))
	result := a.Update(in, now.Add(time.Second))
	require.Equal(t, (serverCount-1)*slots, usableSlots(result))
	require.Equal(t, "b", result.Owners["server-0"])
	// The release expires while the list still has no other member.
	require.Equal(t, serverCount*slots, usableSlots(a.Update(in, result.NextUpdate)))
}

func TestADrainedServerHasNoSlots(t *testing.T) {
	now := time.Unix(100, 0)
	c := configuration()
	c.Drains = []pollencrank.Drain{{Server: "server-0", Start: now}}
	a := allocator.New(allocator.Config{Self: "a"})
	in := allocator.Input{Configuration: c, Members: []pollencrank.Instance{member("a", pollencrank.InstanceAlive)}}
	require.Equal(t, serverCount*slots, usableSlots(a.Update(in, now.Add(-time.Second))))
	require.Equal(t, (serverCount-1)*slots, usableSlots(a.Update(in, now)))
}

// model simulates entries that learn of each other at different times, and that
// keep requests in flight on every usable slot for any length of time.
type model struct {
	now       time.Time
	ids       []string
	state     map[string]pollencrank.InstanceState
	members   map[string][]pollencrank.Instance
	refreshed map[string]time.Time
	nodes     map[string]*allocator.Allocator
	pending   map[string][]allocator.Acquisition
	usable    map[string]map[string]int
	busy      map[string]map[string]int
}

func newModel() *model {
	return &model{
		now: time.Unix(0, 0), state: map[string]pollencrank.InstanceState{}, members: map[string][]pollencrank.Instance{},
		nodes: map[string]*allocator.Allocator{}, pending: map[string][]allocator.Acquisition{},
		refreshed: map[string]time.Time{}, usable: map[string]map[string]int{}, busy: map[string]map[string]int{},
	}
}

func (m *model) start(id string) {
	m.ids = append(m.ids, id)
	m.state[id] = pollencrank.InstanceAlive
	m.nodes[id] = allocator.New(allocator.Config{Self: id})
	m.usable[id], m.busy[id] = map[string]int{}, map[string]int{}
	// A starting instance joins through one whose list of members is complete.
	m.refresh(id)
	m.update(id)
}

// maxStaleness is how long an instance's list of members may be out of date.
const maxStaleness = 2 * time.Second

// advance moves the clock. Instances whose lists of members have become too old
// refresh them.
func (m *model) advance(duration time.Duration) {
	m.now = m.now.Add(duration)
	for _, id := range m.ids {
		if m.now.Sub(m.refreshed[id]) > maxStaleness {
			m.refresh(id)
			m.update(id)
		}
	}
}

// refresh brings an instance's list of members up to date.
func (m *model) refresh(id string) {
	m.members[id] = nil
	m.refreshed[id] = m.now
	for _, other := range m.ids {
		m.members[id] = append(m.members[id], member(other, m.state[other]))
	}
}

func (m *model) update(id string) {
	result := m.nodes[id].Update(allocator.Input{Configuration: configuration(), Members: m.members[id]}, m.now)
	m.usable[id] = map[string]int{}
	for _, s := range result.Owned {
		m.usable[id][s.Name] = s.Slots
	}
	m.pending[id] = result.Acquisitions
}

// fill puts a request in flight on every usable slot of an instance.
func (m *model) fill(id string) {
	for server, usable := range m.usable[id] {
		m.busy[id][server] = max(m.busy[id][server], usable)
	}
}

// acquire delivers the pending acquisitions of an instance to the possible
// previous owners.
func (m *model) acquire(id string) {
	for _, acquisition := range m.pending[id] {
		from := acquisition.From.ID
		for _, server := range acquisition.Servers {
			released := m.nodes[from].Release(server, id, m.now)
			delete(m.usable[from], server)
			inFlight := m.busy[from][server] + m.nodes[from].ReservedSlots(server, m.now)
			if !released {
				inFlight = slots
			}
			m.nodes[id].RecordAcquisition(server, from, inFlight, m.now)
		}
	}
	m.update(id)
}

// totalBusy returns the requests in flight on a server over all owners.
func (m *model) totalBusy(server string) int {
	sum := 0
	for _, id := range m.ids {
		sum += m.busy[id][server]
	}
	return sum
}

// While entries join and leave, learn of changes at different times and acquire
// servers from each other, the requests in flight on a server never exceed its
// slots.
func TestNoSlotIsUsedTwiceDuringHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.start("entry-0")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(m.ids).Draw(t, "entry")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				const maxEntries = 4
				if len(m.ids) < maxEntries {
					m.start(fmt.Sprintf("entry-%d", len(m.ids)))
				}
			case 1:
				m.leave(id)
			case 2:
				m.refresh(id)
				m.update(id)
			case 3:
				m.acquire(id)
			case 4:
				server := rapid.IntRange(0, serverCount-1).Draw(t, "server")
				m.busy[id][fmt.Sprintf("server-%d", server)] = 0
			case 5:
				m.advance(100 * time.Millisecond)
			default:
				m.fill(id)
			}
			for i := range serverCount {
				server := fmt.Sprintf("server-%d", i)
				require.LessOrEqual(t, m.totalBusy(server), slots, server)
			}
		}
	})
}

// A case that TestNoSlotIsUsedTwiceDuringHandOver found: entry-0 uses every slot,
// entry-1 and entry-2 have not sent it an acquisition yet, and entry-3 takes
// entry-2 for the previous owner. Asking entry-2 alone would let entry-3 use the slots of
// entry-0 a second time.
func TestANewOwnerAsksEveryMemberThatMayUseSlots(t *testing.T) {
	m := newModel()
	m.start("entry-0")
	m.start("entry-1")
	m.start("entry-2")
	m.fill("entry-0")
	m.leave("entry-0")
	m.leave("entry-1")
	m.start("entry-3")
	m.acquire("entry-3")
	m.fill("entry-3")
	for i := range serverCount {
		require.LessOrEqual(t, m.totalBusy(fmt.Sprintf("server-%d", i)), slots)
	}
}

// leave begins the planned stop of an instance, unless it is the last.
func (m *model) leave(id string) {
	running := 0
	for _, state := range m.state {
		if state == pollencrank.InstanceAlive {
			running++
		}
	}
	if running < 2 || m.state[id] != pollencrank.InstanceAlive {
		return
	}
	m.state[id] = pollencrank.InstanceLeaving
	m.refresh(id)
	m.update(id)
}
