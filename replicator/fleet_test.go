package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/replicator"
	"github.com/pollencrank/pollencrank/router"
)

// fleet is a small fleet with a stand-in of the store, on virtual time. The
// evacuations represent every collection: each write of the operator adds one more
// name.
type fleet struct {
	mu sync.Mutex
	// revision is the store's revision, written the revision of each evacuation, and
	// version the version of the configuration.
	revision           follower.Position
	written            map[string]follower.Position
	version            uint64
	changed            chan struct{}
	isStoreUnavailable bool
	// calls counts the calls to the store.
	calls int
	nodes []*node
}

// node is one instance and its injected faults.
type node struct {
	fleet *fleet
	ID    string
	// Domain is the failure domain.
	Domain string
	cancel context.CancelFunc
	done   sync.WaitGroup

	// The fleet's lock guards the following fields.
	process          *process
	isDown, isFrozen bool
	// isCutFromStore and isCutFromPeers are network cuts that cause no error.
	isCutFromStore, isCutFromPeers bool
	// isRejected is whether the store rejects the calls of the instance.
	isRejected bool
	// isOlder is whether the build of the instance knows no tenants.
	isOlder bool
	// suspended is for how long the machine was suspended.
	suspended time.Duration
	// seen holds the evacuations that the instance has received, versions those of
	// the configurations that were in force.
	seen       map[string]bool
	versions   []uint64
	watchScope replicator.WatchScope
}

// process is one start of an instance. It implements replicator.Store.
type process struct {
	*replicator.Replicator
	node      *node
	instance  namer.Instance
	state     *replicator.State
	followers []collectionFollower
}

// current returns the current process.
func (n *node) current() *process {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.process
}

type collectionFollower interface {
	Run(ctx context.Context) error
	Pause()
	Resume()
	Interrupt()
	IsFailing() bool
	AnsweredAt() time.Time
}

var (
	errDown     = errors.New("connection refused")
	errRejected = errors.New("status 503")
)

// newFleet starts a fleet: instances of domain a, then of domain b, and so on.
func newFleet(domains ...int) *fleet {
	f := &fleet{revision: 10, written: map[string]follower.Position{}, version: 1, changed: make(chan struct{})}
	for i, count := range domains {
		for j := range count {
			domain := fmt.Sprintf("%c", 'a'+i)
			id := fmt.Sprintf("%s-%d", domain, j+1)
			f.nodes = append(f.nodes, &node{fleet: f, ID: id, Domain: domain, process: &process{instance: namer.Instance{
				ID: id, FailureDomain: domain, Region: "north", CallerAddress: id + ":1", PeerAddress: id + ":2",
			}}})
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// write writes an evacuation and a configuration.
func (f *fleet) write() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.written[fmt.Sprint("e", f.revision)] = f.revision
	f.version = uint64(f.revision)
	f.wake()
}

func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// modify changes the state of the fleet and wakes waiting calls.
func (f *fleet) modify(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

func (f *fleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// start starts or restarts an instance.
func (n *node) start() {
	p := &process{node: n, instance: n.current().instance}
	p.instance.Incarnation++
	p.state = replicator.NewState(replicator.Handlers{
		Servers: ignore[registrar.Server]{}, Configurations: configurationRecorder{n}, Evacuations: evacuationRecorder{n}, Instances: ignore[namer.Instance]{},
	})
	p.followers = []collectionFollower{
		follower.New(config("instances", p, p.state.Instances, noItems[namer.Instance])),
		follower.New(config("configurations", p, p.state.Configurations, n.fleet.configurations)),
		follower.New(config("evacuations", p, p.state.Evacuations, n.fleet.evacuations)),
		follower.New(config("servers", p, p.state.Servers, noItems[registrar.Server])),
	}
	p.Replicator = replicator.New(replicator.Config{
		Self: p.instance, State: p.state, Store: p, Peers: peers{n},
		Relays: n.relays, IsReady: p.state.IsLoaded, Seeds: n.seeds(),
		OnStoreState: func(bool) {}, Suspended: n.suspension, Log: slog.New(slog.DiscardHandler),
	})
	n.fleet.modify(func() {
		n.process = p
		n.seen = map[string]bool{}
		n.versions = nil
		n.isDown = false
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, f := range p.followers {
		n.done.Go(func() { _ = f.Run(ctx) })
	}
	n.done.Go(func() { _ = p.Run(ctx) })
	n.done.Go(func() { n.gossip(ctx) })
}

func (n *node) kill() {
	n.fleet.modify(func() { n.isDown = true })
	n.cancel()
	n.current().Close()
	n.done.Wait()
}

func (n *node) restart() {
	n.kill()
	n.start()
}

// gossip observes the revisions of other instances at intervals, as probes do: of all
// instances of its own domain, and of one of another domain.
func (n *node) gossip(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(900 * time.Millisecond):
		}
		var distant []*node
		for _, other := range n.fleet.nodes {
			if other.Domain != n.Domain {
				distant = append(distant, other)
				continue
			}
			n.observe(other)
		}
		if len(distant) > 0 {
			n.observe(distant[round%len(distant)])
		}
	}
}

func (n *node) observe(other *node) {
	if _, isLoaded := n.current().state.Instances.Position(); !isLoaded {
		return
	}
	if other != n && n.canReach(other) {
		remote := other.current()
		n.current().ObserveRevisions(remote.instance, remote.state.LatestRevisions())
	}
}

func (n *node) seeds() []string {
	var seeds []string
	for _, other := range n.fleet.nodes {
		seeds = append(seeds, other.current().instance.PeerAddress)
	}
	return seeds
}

// relays returns the instances of the domain in order of their IDs, including those
// that are down, as if their failure had not been detected yet.
func (n *node) relays() []namer.Instance {
	var relays []namer.Instance
	for _, other := range n.fleet.nodes {
		if other.Domain == n.Domain {
			relays = append(relays, other.current().instance)
		}
	}
	return relays
}

// Watch implements replicator.Store.
func (p *process) Watch(scope replicator.WatchScope) {
	p.node.fleet.mu.Lock()
	p.node.watchScope = scope
	p.node.fleet.mu.Unlock()
	for i, f := range p.followers {
		if scope == replicator.WatchAll || (i == 0 && scope == replicator.WatchInstances) {
			f.Resume()
			continue
		}
		f.Pause()
	}
}

// Renew implements replicator.Store.
func (p *process) Renew() {
	for _, f := range p.followers {
		f.Interrupt()
	}
}

// Health implements replicator.Store.
func (p *process) Health() replicator.StoreHealth {
	var health replicator.StoreHealth
	for _, f := range p.followers {
		health.IsFailing = health.IsFailing || f.IsFailing()
		if at := f.AnsweredAt(); at.After(health.AnsweredAt) {
			health.AnsweredAt = at
		}
	}
	return health
}

func (n *node) suspension() time.Duration {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.suspended
}

// canReach reports whether messages from one instance reach another.
func (n *node) canReach(other *node) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.isCutFromPeers && !other.isCutFromPeers && !n.isFrozen && !other.isFrozen && !other.isDown
}

// seenEvacuations returns the names of the evacuations that the instance has received.
func (n *node) seenEvacuations() map[string]bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return maps.Clone(n.seen)
}

// peers gives access to the other instances of the fleet.
type peers struct{ n *node }

func (p peers) find(address string) *node {
	i := slices.IndexFunc(p.n.fleet.nodes, func(n *node) bool { return n.current().instance.PeerAddress == address })
	return p.n.fleet.nodes[i]
}

// Follow implements replicator.Peers. A message to or from an instance that is
// frozen or cut off waits until the fault is over.
func (p peers) Follow(ctx context.Context, address string, cursor replicator.Cursor, handle func(replicator.Update) error) error {
	other := p.find(address)
	if p.isDown(other) {
		return errDown
	}
	return other.current().Serve(ctx, cursor, func(update replicator.Update) error {
		for !p.n.canReach(other) {
			if p.isDown(other) {
				return errDown
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
		}
		return handle(other.asSent(update))
	})
}

// Fetch implements replicator.Peers.
func (p peers) Fetch(ctx context.Context, address string, cursor replicator.Cursor) (replicator.Update, error) {
	other := p.find(address)
	if p.isDown(other) {
		return replicator.Update{}, errDown
	}
	if !p.n.canReach(other) {
		<-ctx.Done()
		return replicator.Update{}, ctx.Err()
	}
	update, _ := other.current().Since(cursor)
	return other.asSent(update), nil
}

func (p peers) isDown(other *node) bool {
	p.n.fleet.mu.Lock()
	defer p.n.fleet.mu.Unlock()
	return other.isDown
}

// source is a collection of the fleet's store as one instance sees it.
type source[V any] struct {
	n *node
	// since returns the items written after a revision. The fleet's lock is held.
	since func(after follower.Position) []follower.Item[V]
}

func config[V any](name string, p *process, target follower.Target[V], since func(after follower.Position) []follower.Item[V]) follower.Config[V] {
	return follower.Config[V]{
		Name: name, Source: source[V]{p.node, since}, Target: target, Wait: 3 * time.Second, BatchDelay: 50 * time.Millisecond,
		OnHealthChange: func() { p.Wake() }, Log: slog.New(slog.DiscardHandler),
	}
}

func noItems[V any](follower.Position) []follower.Item[V] { return nil }

func (f *fleet) evacuations(after follower.Position) []follower.Item[registrar.Evacuation] {
	var items []follower.Item[registrar.Evacuation]
	for name, revision := range f.written {
		if revision > after {
			items = append(items, follower.Item[registrar.Evacuation]{Name: name, Revision: revision})
		}
	}
	return items
}

func (f *fleet) configurations(after follower.Position) []follower.Item[router.Configuration] {
	if follower.Position(f.version) <= after {
		return nil
	}
	return []follower.Item[router.Configuration]{{Name: "main", Revision: follower.Position(f.version), Value: router.Configuration{Version: f.version}}}
}

// List implements follower.Source.
func (s source[V]) List(ctx context.Context) ([]follower.Item[V], follower.Position, error) {
	s.count()
	for {
		s.n.fleet.mu.Lock()
		items, revision, changed, err := s.read(0)
		s.n.fleet.mu.Unlock()
		if err != nil || changed == nil {
			return items, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(1500 * time.Millisecond):
			return nil, 0, context.DeadlineExceeded
		case <-changed:
		}
	}
}

// Watch implements follower.Source.
func (s source[V]) Watch(ctx context.Context, after follower.Position, wait time.Duration) ([]follower.Item[V], follower.Position, error) {
	s.count()
	expired := time.After(wait)
	timedOut := time.After(wait + 800*time.Millisecond)
	isCut := false
	for {
		s.n.fleet.mu.Lock()
		items, revision, blocked, err := s.read(after)
		changed := s.n.fleet.changed
		// The answer to a call that was under way during a cut is never delivered.
		isCut = isCut || blocked != nil
		s.n.fleet.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if !isCut && len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timedOut:
			return nil, 0, context.DeadlineExceeded
		case <-expired:
			if !isCut {
				return nil, revision, nil
			}
		case <-changed:
		}
	}
}

func (s source[V]) count() {
	s.n.fleet.mu.Lock()
	defer s.n.fleet.mu.Unlock()
	s.n.fleet.calls++
}

// read returns the items of the store, or a channel that is closed at the next
// change if the call currently gets no answer. The fleet's lock is held.
func (s source[V]) read(after follower.Position) ([]follower.Item[V], follower.Position, <-chan struct{}, error) {
	f := s.n.fleet
	switch {
	case s.n.isCutFromStore || s.n.isFrozen:
		return nil, 0, f.changed, nil
	case f.isStoreUnavailable || s.n.isRejected:
		return nil, 0, nil, errRejected
	}
	return s.since(after), f.revision, nil, nil
}

// ignore is a handler for collections that the tests do not check.
type ignore[V any] struct{}

func (ignore[V]) Reset([]follower.Item[V]) {}
func (ignore[V]) Apply([]follower.Item[V]) {}

// evacuationRecorder records the evacuations that an instance receives.
type evacuationRecorder struct{ n *node }

func (s evacuationRecorder) Reset(items []follower.Item[registrar.Evacuation]) {
	s.n.fleet.mu.Lock()
	clear(s.n.seen)
	s.n.fleet.mu.Unlock()
	s.Apply(items)
}

func (s evacuationRecorder) Apply(items []follower.Item[registrar.Evacuation]) {
	s.n.fleet.mu.Lock()
	defer s.n.fleet.mu.Unlock()
	for _, i := range items {
		s.n.seen[i.Name] = true
	}
}

// configurationRecorder records the versions of the configurations that an instance
// receives.
type configurationRecorder struct{ n *node }

func (v configurationRecorder) Reset(items []follower.Item[router.Configuration]) { v.Apply(items) }

func (v configurationRecorder) Apply(items []follower.Item[router.Configuration]) {
	v.n.fleet.mu.Lock()
	defer v.n.fleet.mu.Unlock()
	for _, i := range items {
		v.n.versions = append(v.n.versions, i.Value.Version)
	}
}
