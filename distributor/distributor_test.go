package distributor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/versioner"
)

var errLost = errors.New("lost")

// domain holds the distributors of one failure domain and passes messages
// between them in memory.
type domain struct {
	mu      sync.Mutex
	store   *standin.Store
	ids     []string
	nodes   map[string]*distributor.Distributor
	relays  map[string]bool
	history map[string][]pollencrank.Generation
	// isLost decides whether a message to an instance is lost.
	isLost func(to string) bool
	// isolated holds the instances that can neither send nor receive messages.
	isolated map[string]bool
}

func newDomain(store *standin.Store, size int) *domain {
	d := &domain{
		store: store, nodes: map[string]*distributor.Distributor{}, relays: map[string]bool{},
		history: map[string][]pollencrank.Generation{}, isLost: func(string) bool { return false }, isolated: map[string]bool{},
	}
	for i := range size {
		d.ids = append(d.ids, fmt.Sprintf("entry-%02d", i))
	}
	for i, id := range d.ids {
		d.relays[id] = i < 2
		d.nodes[id] = distributor.New(distributor.Config{
			Store: store, Peer: &peer{d, id}, Fleet: &fleet{d, id}, Seed: uint64(i),
			OnState: func(s *versioner.State) {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.history[id] = append(d.history[id], s.Generation)
			},
		})
	}
	return d
}

type fleet struct {
	domain *domain
	id     string
}

func (f *fleet) Self() pollencrank.Instance {
	return pollencrank.Instance{ID: f.id, PeerAddress: f.id}
}
func (f *fleet) IsRelay() bool { return f.domain.relays[f.id] }
func (f *fleet) Neighbours() []pollencrank.Instance {
	var members []pollencrank.Instance
	for _, id := range f.domain.ids {
		members = append(members, pollencrank.Instance{ID: id, PeerAddress: id})
	}
	return members
}

type peer struct {
	domain *domain
	from   string
}

func (p *peer) node(to string) (*distributor.Distributor, error) {
	if p.domain.isolated[to] || p.domain.isolated[p.from] || p.domain.isLost(to) {
		return nil, errLost
	}
	return p.domain.nodes[to], nil
}

func (p *peer) PushChanges(ctx context.Context, to string, request *peerpb.PushChangesRequest) (*peerpb.PushChangesResponse, error) {
	node, err := p.node(to)
	if err != nil {
		return nil, err
	}
	return node.HandlePush(ctx, request, p.from), nil
}

func (p *peer) PullConfiguration(_ context.Context, to string, request *peerpb.PullConfigurationRequest,
	receive func(*peerpb.PullConfigurationResponse) error) error {
	node, err := p.node(to)
	if err != nil {
		return err
	}
	return node.HandlePull(request, receive)
}

// accept writes an accepted change to the store.
func accept(t require.TestingT, store *standin.Store, number int) pollencrank.Generation {
	a := acceptor.New(acceptor.Config{Store: store})
	accepted, err := a.Accept(context.Background(), acceptor.Proposal{
		OperationID: fmt.Sprint("operation-", number),
		Edit: func(c *pollencrank.Configuration) error {
			c.PresetInForce = fmt.Sprint("preset-", number)
			return nil
		},
	})
	require.NoError(t, err)
	return accepted.Generation
}

// run runs every instance that is not isolated.
func (d *domain) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	for id, node := range d.nodes {
		if !d.isolated[id] {
			go func() { _ = node.Run(ctx) }()
		}
	}
	return cancel
}

// waitForRelaysOnly waits until only the relays watch the store. A starting
// instance watches until it has a configuration.
func (d *domain) waitForRelaysOnly(t *testing.T) {
	t.Helper()
	time.Sleep(2 * time.Second)
	synctest.Wait()
	relays := 0
	for _, isRelay := range d.relays {
		if isRelay {
			relays++
		}
	}
	require.Equal(t, int64(relays), d.store.Counts().Watching)
}

func TestAChangeReachesEveryInstanceWithoutAHeartbeat(t *testing.T) {
	for _, size := range []int{1, 2, 5, 43} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore()
			d := newDomain(store, size)
			stop := d.run(t)
			accept(t, store, 1000)
			d.waitForRelaysOnly(t)
			for i := range 40 {
				generation := accept(t, store, i)
				synctest.Wait()
				for id, node := range d.nodes {
					require.Equal(t, generation, node.Generation(), "%s of %d", id, size)
				}
			}
			stop()
		})
	}
}

// Guards against a change that is delayed until the next heartbeat because one
// of the two relays is unreachable: the other relay's tree has to reach every
// instance.
func TestLosingARelayDelaysNothing(t *testing.T) {
	for _, lost := range []string{"entry-00", "entry-01"} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore()
			d := newDomain(store, 20)
			stop := d.run(t)
			accept(t, store, 0)
			d.waitForRelaysOnly(t)
			d.isolated[lost] = true
			generation := accept(t, store, 1)
			synctest.Wait()
			behind := 0
			for id, node := range d.nodes {
				if id != lost && node.Generation() < generation {
					behind++
				}
			}
			require.Zero(t, behind, "the other relay's tree reaches every instance")
			stop()
		})
	}
}

func TestAnOlderStateIsNeverPutInForce(t *testing.T) {
	d := distributor.New(distributor.Config{})
	newer := versioner.NewState(5, map[string][]byte{"presetInForce/": []byte(`"peak"`)})
	require.True(t, d.Replace(newer))
	require.False(t, d.Replace(versioner.NewState(4, nil)))
	require.False(t, d.Replace(versioner.NewState(5, nil)))
	require.Same(t, newer, d.State())
}

func TestOnlyRelaysWatchTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		d := newDomain(store, 30)
		stop := d.run(t)
		accept(t, store, 0)
		time.Sleep(time.Second)
		require.Equal(t, int64(2), store.Counts().Watching)
		stop()
	})
}

// heartbeats reports the generation of each instance to every other.
func (d *domain) heartbeats() {
	for _, id := range d.ids {
		for _, other := range d.ids {
			from := pollencrank.Instance{ID: other, PeerAddress: other}
			d.nodes[id].PullIfBehind(context.Background(), from, d.nodes[other].Generation())
		}
	}
	synctest.Wait()
}

// Messages are lost, delayed, duplicated and reordered at random. No instance's
// generation may decrease, and after heartbeats every instance must be at the
// newest generation.
func TestGenerationsOnlyGrowAndConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			store := standin.NewStore()
			d := newDomain(store, rapid.IntRange(2, 6).Draw(rt, "instances"))
			var all []*peerpb.Change
			for i := range rapid.IntRange(1, 30).Draw(rt, "changes") {
				accept(rt, store, i)
				all = append(all, headChanges(rt, store)...)
				d.deliver(rt, all)
			}
			for range 3 {
				d.heartbeats()
			}
			newest := d.newest()
			for id, node := range d.nodes {
				require.Equal(rt, newest, node.Generation(), id)
				for i := 1; i < len(d.history[id]); i++ {
					require.Greater(rt, d.history[id][i], d.history[id][i-1], id)
				}
			}
		})
	})
}

// deliver pushes a random selection of old and new changes to instances, in any
// order and any number of times, and makes some instances pull.
func (d *domain) deliver(t *rapid.T, all []*peerpb.Change) {
	for range rapid.IntRange(0, 6).Draw(t, "deliveries") {
		id := rapid.SampledFrom(d.ids).Draw(t, "to")
		first := rapid.IntRange(0, len(all)-1).Draw(t, "first")
		last := rapid.IntRange(first, min(first+3, len(all)-1)).Draw(t, "last")
		part := append([]*peerpb.Change(nil), all[first:last+1]...)
		if rapid.Bool().Draw(t, "reversed") {
			for i, j := 0, len(part)-1; i < j; i, j = i+1, j-1 {
				part[i], part[j] = part[j], part[i]
			}
		}
		if rapid.Bool().Draw(t, "pull") {
			_ = d.nodes[id].Pull(context.Background(), rapid.SampledFrom(d.ids).Draw(t, "from"))
			continue
		}
		d.nodes[id].HandlePush(context.Background(), &peerpb.PushChangesRequest{Root: "entry-00", Changes: part}, "")
	}
	synctest.Wait()
}

func (d *domain) newest() pollencrank.Generation {
	newest := pollencrank.Generation(0)
	for _, node := range d.nodes {
		newest = max(newest, node.Generation())
	}
	return newest
}

func headChanges(t require.TestingT, store *standin.Store) []*peerpb.Change {
	object, err := store.Get(context.Background(), distributor.HeadKey)
	require.NoError(t, err)
	head, err := distributor.DecodeHead(object.Value)
	require.NoError(t, err)
	return head.Changes[len(head.Changes)-1:]
}

// During an outage of the store, the accepted configuration stays in force and
// a starting instance pulls it from a peer. After the outage the next change
// reaches every instance.
func TestAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		d := newDomain(store, 6)
		d.isolated["entry-05"] = true
		stop := d.run(t)
		generation := accept(t, store, 0)
		synctest.Wait()
		store.SetDown(true)
		time.Sleep(time.Hour)
		require.True(t, d.nodes["entry-00"].StoreDown())
		d.isolated["entry-05"] = false
		require.Zero(t, d.nodes["entry-05"].Generation())
		require.NoError(t, d.nodes["entry-05"].Pull(context.Background(), "entry-03"))
		require.Equal(t, generation, d.nodes["entry-05"].Generation())
		store.SetDown(false)
		generation = accept(t, store, 1)
		time.Sleep(4 * time.Second)
		for id, node := range d.nodes {
			require.Equal(t, generation, node.Generation(), id)
		}
		require.False(t, d.nodes["entry-00"].StoreDown())
		stop()
	})
}

// Guards against a relay that stays behind because it missed more changes than
// the head holds: the relay has to load the snapshot.
func TestARelayThatMissedManyChangesCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		var generation pollencrank.Generation
		for i := range 100 {
			generation = accept(t, store, i)
		}
		d := newDomain(store, 3)
		stop := d.run(t)
		synctest.Wait()
		for id, node := range d.nodes {
			require.Equal(t, generation, node.Generation(), id)
		}
		stop()
	})
}

func FuzzDecodeHead(f *testing.F) {
	encoded, err := proto.Marshal(&peerpb.Head{Generation: 2, Changes: []*peerpb.Change{{Generation: 2}}})
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte{0x08})
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := distributor.DecodeHead(value)
		if err != nil {
			return
		}
		d := distributor.New(distributor.Config{})
		d.ApplyChanges(head.Changes)
	})
}
