package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/gossiper"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

var errUnreachable = errors.New("unreachable")

// network connects gossipers in memory. It can partition them and lose messages.
type network struct {
	mu     sync.Mutex
	nodes  map[string]*gossiper.Gossiper
	cancel map[string]context.CancelFunc
	// partition is the part of a partitioned network that each instance is in.
	partition map[string]int
	// loss is the share of messages that are lost.
	loss float64
	sent int
}

func newNetwork() *network {
	return &network{
		nodes: map[string]*gossiper.Gossiper{}, cancel: map[string]context.CancelFunc{}, partition: map[string]int{},
	}
}

// start starts an instance whose seeds are all instances that run already.
func (n *network) start(id, domain, region string) *gossiper.Gossiper {
	n.mu.Lock()
	var seeds []string
	for other := range n.nodes {
		seeds = append(seeds, other)
	}
	n.mu.Unlock()
	g := gossiper.New(gossiper.Config{
		Self: pollencrank.Instance{
			ID: id, Incarnation: uint64(time.Now().UnixMilli()), FailureDomain: domain, Region: region, PeerAddress: id,
		},
		Peer:  &link{n, id},
		Seeds: func(context.Context) []string { return seeds },
		Seed:  uint64(len(seeds)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.nodes[id], n.cancel[id] = g, cancel
	n.mu.Unlock()
	go func() { _ = g.Run(ctx) }()
	return g
}

// crash stops an instance that does not announce that it is leaving.
func (n *network) crash(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel[id]()
	delete(n.nodes, id)
}

// change calls f while no message is being routed.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) stop() {
	for id := range n.nodes {
		n.crash(id)
	}
}

// isLost decides by the time, the sender and the receiver, so that the order in
// which goroutines run does not change the result.
func (n *network) isLost(from, to string) bool {
	hash := pollencrank.RendezvousScore(time.Now().String(), from+">"+to)
	return float64(hash)/(1<<64) < n.loss
}

// reach returns the receiver of a message, or an error if the message is lost.
func (n *network) reach(from, to string) (*gossiper.Gossiper, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	node := n.nodes[to]
	if node == nil || n.partition[from] != n.partition[to] || n.isLost(from, to) {
		return nil, errUnreachable
	}
	return node, nil
}

// link sends the messages of one instance.
type link struct {
	network *network
	from    string
}

func (l *link) Exchange(_ context.Context, to string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	node, err := l.network.reach(l.from, to)
	if err != nil {
		return nil, err
	}
	response := node.HandleExchange(request)
	if _, err := l.network.reach(to, l.from); err != nil {
		return nil, err
	}
	return response, nil
}

func (l *link) Probe(ctx context.Context, to string, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	node, err := l.network.reach(l.from, to)
	if err != nil {
		return nil, err
	}
	return node.HandleProbe(ctx, request), nil
}

// states returns the state of each member in the roster of an instance.
func states(g *gossiper.Gossiper) map[string]string {
	byID := map[string]string{}
	for _, m := range g.Roster().Members {
		byID[m.ID] = m.State.String()
	}
	return byID
}

// startDomains starts instances in failure domains that alternate between two
// regions.
func (n *network) startDomains(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			n.start(fmt.Sprintf("entry-%d-%d", d, i), fmt.Sprintf("domain-%d", d), fmt.Sprintf("region-%d", d%2))
		}
	}
}

// requireAgreement checks that the rosters of all running instances hold the given
// number of alive members.
func (n *network) requireAgreement(t *testing.T, alive int) {
	t.Helper()
	for id, g := range n.nodes {
		count := 0
		for _, state := range states(g) {
			if state == "alive" {
				count++
			}
		}
		require.Equal(t, alive, count, "the roster of %s holds %v", id, states(g))
	}
}

func TestInstancesDiscoverEachOther(t *testing.T) {
	for _, shape := range [][2]int{{1, 1}, {6, 1}, {1, 9}, {4, 5}} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			n.startDomains(shape[0], shape[1])
			time.Sleep(10 * time.Second)
			n.requireAgreement(t, shape[0]*shape[1])
			n.stop()
		})
	}
}

// Every instance, also in other failure domains, must list a crashed member as dead,
// whether its group is the failure domain or the region.
func TestACrashIsDetectedByAllInstances(t *testing.T) {
	for _, perDomain := range []int{2, 8} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			n.startDomains(4, perDomain)
			time.Sleep(10 * time.Second)
			n.crash("entry-1-0")
			time.Sleep(15 * time.Second)
			for _, g := range n.nodes {
				require.Equal(t, "dead", states(g)["entry-1-0"])
			}
			n.requireAgreement(t, 4*perDomain-1)
			n.stop()
		})
	}
}

func TestAPlannedStopPropagatesWithin2Seconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.startDomains(4, 6)
		time.Sleep(10 * time.Second)
		n.nodes["entry-2-3"].Announce(context.Background(), pollencrank.InstanceLeaving)
		time.Sleep(2 * time.Second)
		for id, g := range n.nodes {
			require.Equal(t, "leaving", states(g)["entry-2-3"], id)
		}
		n.stop()
	})
}

// An instance crashes and restarts under the same ID before it is declared dead. The
// new incarnation must replace the old one.
func TestARestartedInstanceReplacesItsOldIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.startDomains(1, 4)
		time.Sleep(5 * time.Second)
		before, _ := n.nodes["entry-0-0"].Roster().Find("entry-0-1")
		n.crash("entry-0-1")
		time.Sleep(100 * time.Millisecond)
		n.start("entry-0-1", "domain-0", "region-0")
		time.Sleep(5 * time.Second)
		n.requireAgreement(t, 4)
		after, _ := n.nodes["entry-0-0"].Roster().Find("entry-0-1")
		require.Greater(t, after.Incarnation, before.Incarnation)
		n.stop()
	})
}

// Guards against the removal of a whole failure domain: it is partitioned off for
// ten minutes. Neither side may declare the members of the other dead, and both
// hold all members afterwards.
func TestAPartitionedDomainIsNotDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.startDomains(3, 5)
		time.Sleep(10 * time.Second)
		n.change(func() {
			for i := range 5 {
				n.partition[fmt.Sprintf("entry-2-%d", i)] = 1
			}
		})
		time.Sleep(10 * time.Minute)
		n.requireAgreement(t, 15)
		n.change(func() { clear(n.partition) })
		time.Sleep(30 * time.Second)
		n.requireAgreement(t, 15)
		n.stop()
	})
}

// Guards against an isolated instance that declares all other members dead because
// none of them answers.
func TestAnIsolatedInstanceDeclaresNobodyDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.startDomains(1, 6)
		time.Sleep(5 * time.Second)
		n.change(func() { n.partition["entry-0-0"] = 1 })
		time.Sleep(time.Minute)
		for id, state := range states(n.nodes["entry-0-0"]) {
			require.NotEqual(t, "dead", state, id)
		}
		require.Equal(t, "dead", states(n.nodes["entry-0-1"])["entry-0-0"])
		n.change(func() { clear(n.partition) })
		time.Sleep(30 * time.Second)
		n.requireAgreement(t, 6)
		n.stop()
	})
}

// With a fifth of the messages lost, a crash is detected and no other member is
// removed for good.
func TestMembersAgreeDespiteLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.loss = 0.2
		n.startDomains(3, 6)
		time.Sleep(time.Minute)
		n.crash("entry-1-2")
		time.Sleep(2 * time.Minute)
		n.change(func() { n.loss = 0 })
		time.Sleep(time.Minute)
		n.requireAgreement(t, 17)
		n.stop()
	})
}

// The number of messages that an instance sends must not grow with the fleet.
func TestHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	rate := func(domains, perDomain int) (messages float64) {
		synctest.Test(t, func(*testing.T) {
			n := newNetwork()
			n.startDomains(domains, perDomain)
			time.Sleep(time.Minute)
			before := 0
			n.change(func() { before = n.sent })
			time.Sleep(time.Minute)
			n.change(func() { messages = float64(n.sent-before) / float64(domains*perDomain) })
			n.stop()
		})
		return messages
	}
	small, large := rate(4, 4), rate(8, 12)
	require.LessOrEqual(t, large, 1.2*small)
}

// Instances that receive the same records in any order must end with the same
// roster.
func TestRecordsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*peerpb.Member
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			records = append(records, &peerpb.Member{
				Id:            rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Incarnation:   rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				State:         uint32(rapid.IntRange(0, 2).Draw(t, "state")),
				FailureDomain: "domain-0",
				Region:        "region-0",
			})
		}
		digest := func(order []*peerpb.Member) uint64 {
			g := gossiper.New(gossiper.Config{Self: pollencrank.Instance{ID: "self", FailureDomain: "domain-0", Region: "region-0"}})
			for _, r := range order {
				g.HandleExchange(&peerpb.ExchangeRequest{From: "other", Updates: []*peerpb.Member{r}})
			}
			return g.Roster().Digest
		}
		require.Equal(t, digest(records), digest(rapid.Permutation(records).Draw(t, "order")))
	})
}

// Each member of a ring of any size must be the neighbour of another member.
// Otherwise no member would monitor it or send it updates.
func TestNeighboursFormAConnectedRing(t *testing.T) {
	for size := 1; size <= 50; size++ {
		var members []pollencrank.Instance
		for i := range size {
			members = append(members, pollencrank.Instance{ID: fmt.Sprintf("entry-%02d", i), FailureDomain: "d", Region: "r"})
		}
		roster := gossiper.NewRoster(members)
		monitors := map[string]int{}
		for _, m := range members {
			for _, neighbour := range roster.Neighbours(m) {
				require.NotEqual(t, m.ID, neighbour.ID)
				monitors[neighbour.ID]++
			}
		}
		for _, m := range members {
			if size > 1 {
				require.NotZero(t, monitors[m.ID], "size %d", size)
			}
		}
	}
}

func TestEveryDomainHasTwoRelays(t *testing.T) {
	var members []pollencrank.Instance
	for i := range 20 {
		members = append(members, pollencrank.Instance{ID: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint("domain-", i%3)})
	}
	roster := gossiper.NewRoster(members)
	for _, domain := range roster.Domains() {
		relays := roster.Relays(domain)
		require.Len(t, relays, gossiper.RelayCount)
		for _, relay := range relays {
			require.Equal(t, domain, relay.FailureDomain)
			require.True(t, roster.IsRelay(relay))
		}
	}
}
