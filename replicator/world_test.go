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

// world is a small fleet over a stand-in of the store, on virtual time. The
// evacuations stand for every collection: their names are what the operator has
// written, one more each time.
type world struct {
	mu sync.Mutex
	// revision is the store's, written the revisions of what was written.
	revision uint64
	written  map[string]uint64
	version  uint64
	changed  chan struct{}
	isAway   bool
	// calls counts what the store was asked.
	calls int
	nodes []*node
}

// node is one instance with what can go wrong with it.
type node struct {
	world *world
	ID    string
	// Domain is the failure domain.
	Domain string
	cancel context.CancelFunc
	done   sync.WaitGroup

	// The world's lock guards what follows.
	life             *life
	isDown, isFrozen bool
	// isCutFromStore and isCutFromPeers are cuts without a sign.
	isCutFromStore, isCutFromPeers bool
	// isTurnedAway says that the store refuses the instance.
	isTurnedAway bool
	// suspended is for how long the machine was suspended.
	suspended time.Duration
	// seen are the evacuations that the instance knows of, versions the
	// configurations that were in force.
	seen     map[string]bool
	versions []uint64
	watching replicator.Watching
}

// life is one start of an instance. It implements replicator.Store.
type life struct {
	*replicator.Replicator
	node     *node
	instance namer.Instance
	state    *replicator.State
	follows  []follow
}

// now returns the present life.
func (n *node) now() *life {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.life
}

type follow interface {
	Run(ctx context.Context) error
	Pause()
	Resume()
	Interrupt()
	IsFailing() bool
	AnsweredAt() time.Time
}

var (
	errDown   = errors.New("connection refused")
	errRefuse = errors.New("status 503")
)

// newWorld starts a fleet: instances of domain a, then of domain b, and so on.
func newWorld(domains ...int) *world {
	w := &world{revision: 10, written: map[string]uint64{}, version: 1, changed: make(chan struct{})}
	for i, count := range domains {
		for j := range count {
			domain := fmt.Sprintf("%c", 'a'+i)
			id := fmt.Sprintf("%s-%d", domain, j+1)
			w.nodes = append(w.nodes, &node{world: w, ID: id, Domain: domain, life: &life{instance: namer.Instance{
				ID: id, FailureDomain: domain, Region: "north", CallerAddress: id + ":1", PeerAddress: id + ":2",
			}}})
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// write writes an evacuation and a configuration.
func (w *world) write() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.written[fmt.Sprint("e", w.revision)] = w.revision
	w.version = w.revision
	w.wake()
}

func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// with changes the state of the world and lets waiting calls see it.
func (w *world) with(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.wake()
}

func (w *world) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// start starts an instance, or starts it again.
func (n *node) start() {
	l := &life{node: n, instance: n.now().instance}
	l.instance.Incarnation++
	l.state = replicator.NewState(replicator.Handlers{
		Servers: ignore[registrar.Server]{}, Configurations: versions{n}, Evacuations: seen{n}, Instances: ignore[namer.Instance]{},
	})
	l.follows = []follow{
		follower.New(config("instances", l, l.state.Instances, nothing[namer.Instance])),
		follower.New(config("configurations", l, l.state.Configurations, n.world.configurations)),
		follower.New(config("evacuations", l, l.state.Evacuations, n.world.evacuations)),
		follower.New(config("servers", l, l.state.Servers, nothing[registrar.Server])),
	}
	l.Replicator = replicator.New(replicator.Config{
		Self: l.instance, State: l.state, Store: l, Peers: peers{n},
		Relays: n.relays, IsReady: l.state.IsKnown, Seeds: n.seeds(),
		OnStore: func(bool) {}, Suspended: n.suspension, Log: slog.New(slog.DiscardHandler),
	})
	n.world.with(func() {
		n.life = l
		n.seen = map[string]bool{}
		n.versions = nil
		n.isDown = false
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, f := range l.follows {
		n.done.Go(func() { _ = f.Run(ctx) })
	}
	n.done.Go(func() { _ = l.Run(ctx) })
	n.done.Go(func() { n.gossip(ctx) })
}

func (n *node) kill() {
	n.world.with(func() { n.isDown = true })
	n.cancel()
	n.now().Close()
	n.done.Wait()
}

func (n *node) restart() {
	n.kill()
	n.start()
}

// gossip tells now and then how far others know, as probes do: all of the
// instance's own domain, and one of another domain.
func (n *node) gossip(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(900 * time.Millisecond):
		}
		var distant []*node
		for _, other := range n.world.nodes {
			if other.Domain != n.Domain {
				distant = append(distant, other)
				continue
			}
			n.hear(other)
		}
		if len(distant) > 0 {
			n.hear(distant[round%len(distant)])
		}
	}
}

func (n *node) hear(other *node) {
	if _, knowsFleet := n.now().state.Instances.Position(); !knowsFleet {
		return
	}
	if other != n && n.mayReach(other) {
		heard := other.now()
		n.now().Heard(heard.instance, heard.state.ChangedAt())
	}
}

func (n *node) seeds() []string {
	var seeds []string
	for _, other := range n.world.nodes {
		seeds = append(seeds, other.now().instance.PeerAddress)
	}
	return seeds
}

// relays returns the instances of the domain in order of their IDs, also those
// that are down: nobody has noticed yet.
func (n *node) relays() []namer.Instance {
	var relays []namer.Instance
	for _, other := range n.world.nodes {
		if other.Domain == n.Domain {
			relays = append(relays, other.now().instance)
		}
	}
	return relays
}

// Watch implements replicator.Store.
func (l *life) Watch(watching replicator.Watching) {
	l.node.world.mu.Lock()
	l.node.watching = watching
	l.node.world.mu.Unlock()
	for i, f := range l.follows {
		if watching == replicator.WatchAll || (i == 0 && watching == replicator.WatchInstances) {
			f.Resume()
			continue
		}
		f.Pause()
	}
}

// Renew implements replicator.Store.
func (l *life) Renew() {
	for _, f := range l.follows {
		f.Interrupt()
	}
}

// Contact implements replicator.Store.
func (l *life) Contact() replicator.Contact {
	var contact replicator.Contact
	for _, f := range l.follows {
		contact.IsFailing = contact.IsFailing || f.IsFailing()
		if at := f.AnsweredAt(); at.After(contact.AnsweredAt) {
			contact.AnsweredAt = at
		}
	}
	return contact
}

func (n *node) suspension() time.Duration {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.suspended
}

// mayReach reports whether a message gets from one instance to another.
func (n *node) mayReach(other *node) bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return !n.isCutFromPeers && !other.isCutFromPeers && !n.isFrozen && !other.isFrozen && !other.isDown
}

// knows returns what the instance knows of the operator's wishes.
func (n *node) knows() map[string]bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return maps.Clone(n.seen)
}

// peers reaches the other instances of the world.
type peers struct{ n *node }

func (p peers) find(address string) *node {
	i := slices.IndexFunc(p.n.world.nodes, func(n *node) bool { return n.now().instance.PeerAddress == address })
	return p.n.world.nodes[i]
}

// Follow implements replicator.Peers. A message to or from an instance that is
// frozen or cut off waits until that is over.
func (p peers) Follow(ctx context.Context, address string, have replicator.Have, each func(replicator.News) error) error {
	other := p.find(address)
	if p.isDown(other) {
		return errDown
	}
	return other.now().Serve(ctx, have, func(news replicator.News) error {
		for !p.n.mayReach(other) {
			if p.isDown(other) {
				return errDown
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
		}
		return each(news)
	})
}

// Fetch implements replicator.Peers.
func (p peers) Fetch(ctx context.Context, address string, have replicator.Have) (replicator.News, error) {
	other := p.find(address)
	if p.isDown(other) {
		return replicator.News{}, errDown
	}
	if !p.n.mayReach(other) {
		<-ctx.Done()
		return replicator.News{}, ctx.Err()
	}
	news, _ := other.now().Since(have)
	return news, nil
}

func (p peers) isDown(other *node) bool {
	p.n.world.mu.Lock()
	defer p.n.world.mu.Unlock()
	return other.isDown
}

// source is a collection of the world's store as one instance sees it.
type source[V any] struct {
	n *node
	// since returns what was written after a revision. The world's lock is held.
	since func(after uint64) []follower.Item[V]
}

func config[V any](name string, l *life, target follower.Target[V], since func(after uint64) []follower.Item[V]) follower.Config[V] {
	return follower.Config[V]{
		Name: name, Source: source[V]{l.node, since}, Target: target, Wait: 3 * time.Second, BatchDelay: 50 * time.Millisecond,
		OnHealthChange: func() { l.Wake() }, Log: slog.New(slog.DiscardHandler),
	}
}

func nothing[V any](uint64) []follower.Item[V] { return nil }

func (w *world) evacuations(after uint64) []follower.Item[registrar.Evacuation] {
	var items []follower.Item[registrar.Evacuation]
	for name, revision := range w.written {
		if revision > after {
			items = append(items, follower.Item[registrar.Evacuation]{Name: name, Revision: revision})
		}
	}
	return items
}

func (w *world) configurations(after uint64) []follower.Item[router.Configuration] {
	if w.version <= after {
		return nil
	}
	return []follower.Item[router.Configuration]{{Name: "main", Revision: w.version, Value: router.Configuration{Version: w.version}}}
}

// List implements follower.Source.
func (s source[V]) List(ctx context.Context) ([]follower.Item[V], uint64, error) {
	s.count()
	for {
		s.n.world.mu.Lock()
		items, revision, changed, err := s.read(0)
		s.n.world.mu.Unlock()
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
func (s source[V]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]follower.Item[V], uint64, error) {
	s.count()
	over := time.After(wait)
	hangs := time.After(wait + 800*time.Millisecond)
	isCut := false
	for {
		s.n.world.mu.Lock()
		items, revision, blocked, err := s.read(after)
		changed := s.n.world.changed
		// An answer to a call that was under way during a cut is lost for good.
		isCut = isCut || blocked != nil
		s.n.world.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if !isCut && len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-hangs:
			return nil, 0, context.DeadlineExceeded
		case <-over:
			if !isCut {
				return nil, revision, nil
			}
		case <-changed:
		}
	}
}

func (s source[V]) count() {
	s.n.world.mu.Lock()
	defer s.n.world.mu.Unlock()
	s.n.world.calls++
}

// read returns what the store has, or a channel if no answer comes at present.
// The world's lock is held.
func (s source[V]) read(after uint64) ([]follower.Item[V], uint64, <-chan struct{}, error) {
	w := s.n.world
	switch {
	case s.n.isCutFromStore || s.n.isFrozen:
		return nil, 0, w.changed, nil
	case w.isAway || s.n.isTurnedAway:
		return nil, 0, nil, errRefuse
	}
	return s.since(after), w.revision, nil, nil
}

// ignore is a handler of collections that a test does not look at.
type ignore[V any] struct{}

func (ignore[V]) Reset([]follower.Item[V]) {}
func (ignore[V]) Apply([]follower.Item[V]) {}

// seen notes evacuations.
type seen struct{ n *node }

func (s seen) Reset(items []follower.Item[registrar.Evacuation]) {
	s.n.world.mu.Lock()
	clear(s.n.seen)
	s.n.world.mu.Unlock()
	s.Apply(items)
}

func (s seen) Apply(items []follower.Item[registrar.Evacuation]) {
	s.n.world.mu.Lock()
	defer s.n.world.mu.Unlock()
	for _, i := range items {
		s.n.seen[i.Name] = true
	}
}

// versions notes configurations.
type versions struct{ n *node }

func (v versions) Reset(items []follower.Item[router.Configuration]) { v.Apply(items) }

func (v versions) Apply(items []follower.Item[router.Configuration]) {
	v.n.world.mu.Lock()
	defer v.n.world.mu.Unlock()
	for _, i := range items {
		v.n.versions = append(v.n.versions, i.Value.Version)
	}
}
