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

func openSlots(result allocator.Result) int {
	sum := 0
	for _, s := range result.Owned {
		sum += s.Slots
	}
	return sum
}

func TestANewOwnerWaitsForThePreviousOne(t *testing.T) {
	now := time.Unix(0, 0)
	members := []pollencrank.Instance{member("a", pollencrank.InstanceAlive), member("b", pollencrank.InstanceAlive)}
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: members}
	result := b.Update(in, now)
	require.NotEmpty(t, result.Owned)
	require.Zero(t, openSlots(result), "nothing is open before the previous owner answers")
	require.Len(t, result.Acquisitions, 1)
	require.Equal(t, "a", result.Acquisitions[0].From.ID)
	require.Len(t, result.Acquisitions[0].Servers, len(result.Owned))

	for _, s := range result.Owned {
		b.RecordAcquisition(s.Name, "a", 1, now)
	}
	result = b.Update(in, now)
	require.Equal(t, len(result.Owned)*(slots-1), openSlots(result), "what the previous owner still uses stays closed")

	for _, s := range result.Owned {
		b.RecordAcquisition(s.Name, "a", 0, now)
	}
	result = b.Update(in, now)
	require.Equal(t, len(result.Owned)*slots, openSlots(result))
	require.Empty(t, result.Acquisitions)
}

func TestANewOwnerDoesNotWaitForADeadOne(t *testing.T) {
	now := time.Unix(0, 0)
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{
		member("a", pollencrank.InstanceAlive), member("b", pollencrank.InstanceAlive),
	}}
	require.Zero(t, openSlots(b.Update(in, now)))
	in.Members[0].State = pollencrank.InstanceDead
	require.Equal(t, serverCount*slots, openSlots(b.Update(in, now)))
}

func TestANewOwnerWaitsOnlySoLongForOneThatDoesNotAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	b := allocator.New(allocator.Config{Self: "b"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{
		member("a", pollencrank.InstanceSuspect), member("b", pollencrank.InstanceAlive),
	}}
	result := b.Update(in, now)
	require.Zero(t, openSlots(result))
	result = b.Update(in, now.Add(3*time.Second))
	require.Equal(t, len(result.Owned)*slots, openSlots(result))
}

// An instance that lets go of a server does not use it again because its own
// list of members is behind, nor gives it to a second instance meanwhile.
func TestAServerThatWasGivenAwayStaysGiven(t *testing.T) {
	now := time.Unix(0, 0)
	a := allocator.New(allocator.Config{Self: "a"})
	in := allocator.Input{Configuration: configuration(), Members: []pollencrank.Instance{member("a", pollencrank.InstanceAlive)}}
	require.Equal(t, serverCount*slots, openSlots(a.Update(in, now)))
	require.True(t, a.Release("server-0", "b", now))
	require.False(t, a.Release("server-0", "c", now.Add(time.Second)))
	require.True(t, a.Release("server-0", "b", now.Add(time.Second)))
	result := a.Update(in, now.Add(time.Second))
	require.Equal(t, (serverCount-1)*slots, openSlots(result))
	require.Equal(t, "b", result.Owners["server-0"])
	// The gift ends; the list still knows nobody else.
	require.Equal(t, serverCount*slots, openSlots(a.Update(in, result.NextUpdate)))
}

func TestADrainedServerHasNoSlots(t *testing.T) {
	now := time.Unix(100, 0)
	c := configuration()
	c.Drains = []pollencrank.Drain{{Server: "server-0", Start: now}}
	a := allocator.New(allocator.Config{Self: "a"})
	in := allocator.Input{Configuration: c, Members: []pollencrank.Instance{member("a", pollencrank.InstanceAlive)}}
	require.Equal(t, serverCount*slots, openSlots(a.Update(in, now.Add(-time.Second))))
	require.Equal(t, (serverCount-1)*slots, openSlots(a.Update(in, now)))
}

// model is entries that learn of each other at different times and use every
// slot that they are given, for as long as they like.
type model struct {
	now     time.Time
	ids     []string
	state   map[string]pollencrank.InstanceState
	known   map[string][]pollencrank.Instance
	learned map[string]time.Time
	nodes   map[string]*allocator.Allocator
	pending map[string][]allocator.Acquisition
	open    map[string]map[string]int
	busy    map[string]map[string]int
}

func newModel() *model {
	return &model{
		now: time.Unix(0, 0), state: map[string]pollencrank.InstanceState{}, known: map[string][]pollencrank.Instance{},
		nodes: map[string]*allocator.Allocator{}, pending: map[string][]allocator.Acquisition{},
		learned: map[string]time.Time{}, open: map[string]map[string]int{}, busy: map[string]map[string]int{},
	}
}

func (m *model) start(id string) {
	m.ids = append(m.ids, id)
	m.state[id] = pollencrank.InstanceAlive
	m.nodes[id] = allocator.New(allocator.Config{Self: id})
	m.open[id], m.busy[id] = map[string]int{}, map[string]int{}
	// A starting instance joins through one that knows all.
	m.learn(id)
	m.update(id)
}

// maxLag is how long an instance may know an old list of members.
const maxLag = 2 * time.Second

// pass lets time pass. Instances whose lists have become too old learn anew.
func (m *model) pass(duration time.Duration) {
	m.now = m.now.Add(duration)
	for _, id := range m.ids {
		if m.now.Sub(m.learned[id]) > maxLag {
			m.learn(id)
			m.update(id)
		}
	}
}

// learn brings an instance's list of members up to date.
func (m *model) learn(id string) {
	m.known[id] = nil
	m.learned[id] = m.now
	for _, other := range m.ids {
		m.known[id] = append(m.known[id], member(other, m.state[other]))
	}
}

func (m *model) update(id string) {
	result := m.nodes[id].Update(allocator.Input{Configuration: configuration(), Members: m.known[id]}, m.now)
	m.open[id] = map[string]int{}
	for _, s := range result.Owned {
		m.open[id][s.Name] = s.Slots
	}
	m.pending[id] = result.Acquisitions
}

// work fills every open slot of an instance.
func (m *model) work(id string) {
	for server, open := range m.open[id] {
		m.busy[id][server] = max(m.busy[id][server], open)
	}
}

// ask delivers the questions of an instance to the previous owners.
func (m *model) ask(id string) {
	for _, acquisition := range m.pending[id] {
		from := acquisition.From.ID
		for _, server := range acquisition.Servers {
			given := m.nodes[from].Release(server, id, m.now)
			delete(m.open[from], server)
			inFlight := m.busy[from][server] + m.nodes[from].ReservedSlots(server, m.now)
			if !given {
				inFlight = slots
			}
			m.nodes[id].RecordAcquisition(server, from, inFlight, m.now)
		}
	}
	m.update(id)
}

// used returns the requests in flight on a server over all owners.
func (m *model) used(server string) int {
	sum := 0
	for _, id := range m.ids {
		sum += m.busy[id][server]
	}
	return sum
}

// While entries join and leave, learn of it at any time and answer each other,
// the requests in flight on a server never exceed its slots.
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
				m.learn(id)
				m.update(id)
			case 3:
				m.ask(id)
			case 4:
				server := rapid.IntRange(0, serverCount-1).Draw(t, "server")
				m.busy[id][fmt.Sprintf("server-%d", server)] = 0
			case 5:
				m.pass(100 * time.Millisecond)
			default:
				m.work(id)
			}
			for i := range serverCount {
				server := fmt.Sprintf("server-%d", i)
				require.LessOrEqual(t, m.used(server), slots, server)
			}
		}
	})
}

// Found by the property above: entry-0 uses every slot, entry-1 and entry-2
// have not asked it yet, and entry-3 takes entry-2 for the previous owner.
func TestANewOwnerAsksEveryMemberThatMayUseSlots(t *testing.T) {
	m := newModel()
	m.start("entry-0")
	m.start("entry-1")
	m.start("entry-2")
	m.work("entry-0")
	m.leave("entry-0")
	m.leave("entry-1")
	m.start("entry-3")
	m.ask("entry-3")
	m.work("entry-3")
	for i := range serverCount {
		require.LessOrEqual(t, m.used(fmt.Sprintf("server-%d", i)), slots)
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
	m.learn(id)
	m.update(id)
}
