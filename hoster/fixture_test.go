package hoster_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// eventuallyTimeout is how long eventually waits for its condition.
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 5 * time.Millisecond
	stopGrace         = 2 * time.Second
)

// collection is a fake of one of the store's collections.
type collection[V any] struct {
	mu sync.Mutex
	// revision is that of the last change of the collection, latest that of the last
	// change of the whole store.
	revision follower.Position
	latest   *atomic.Uint64
	items    map[string]follower.Item[V]
	changed  chan struct{}
	// listable is closed when the collection may be listed.
	listable chan struct{}
	// silencings counts the calls of silenceWatches.
	silencings int
	// isHistoryLost makes the next watch fail with a HistoryGoneError.
	isHistoryLost bool
	// isBroken makes every call fail.
	isBroken atomic.Bool
}

func newCollection[V any](latest *atomic.Uint64) *collection[V] {
	c := &collection[V]{revision: 1, latest: latest, items: map[string]follower.Item[V]{}, changed: make(chan struct{}), listable: make(chan struct{})}
	close(c.listable)
	return c
}

func (c *collection[V]) set(name string, value V, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = follower.Position(c.latest.Add(1))
	c.items[name] = follower.Item[V]{Name: name, Revision: c.revision, Removed: removed, Value: value}
	close(c.changed)
	c.changed = make(chan struct{})
}

// silenceWatches makes the waiting watches hang without a result, as if the store had
// dropped them.
func (c *collection[V]) silenceWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silencings++
}

// failCalls fails the waiting watches and all later calls.
func (c *collection[V]) failCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBroken.Store(true)
	close(c.changed)
	c.changed = make(chan struct{})
}

// loseHistory wakes the waiting watches; the first of them, or the next one, fails because
// changes were lost.
func (c *collection[V]) loseHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHistoryLost = true
	close(c.changed)
	c.changed = make(chan struct{})
}

// takeHistoryLost returns and resets isHistoryLost, and returns silencings.
func (c *collection[V]) takeHistoryLost() (bool, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isLost := c.isHistoryLost
	c.isHistoryLost = false
	return isLost, c.silencings
}

func (c *collection[V]) has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	item, ok := c.items[name]
	return ok && !item.Removed
}

func (c *collection[V]) since(revision follower.Position) ([]follower.Item[V], follower.Position, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []follower.Item[V]
	for _, item := range c.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items, follower.Position(c.latest.Load()), c.changed
}

func (c *collection[V]) List(ctx context.Context) ([]follower.Item[V], follower.Position, error) {
	if c.isBroken.Load() {
		return nil, 0, errCallFailed
	}
	select {
	case <-c.listable:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	items, revision, _ := c.since(0)
	return items, revision, nil
}

func (c *collection[V]) Watch(ctx context.Context, after follower.Position, wait time.Duration) ([]follower.Item[V], follower.Position, error) {
	c.mu.Lock()
	silencingsAtStart := c.silencings
	c.mu.Unlock()
	for {
		isLost, silencings := c.takeHistoryLost()
		if c.isBroken.Load() {
			return nil, 0, errCallFailed
		}
		if isLost {
			return nil, 0, &follower.HistoryGoneError{Cause: errCallFailed}
		}
		if silencings != silencingsAtStart {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		items, revision, changed := c.since(after)
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait):
			return nil, revision, nil
		case <-changed:
		}
	}
}

var errCallFailed = errors.New("the fake store fails the call")

// store is a fake of the platform's store.
type store struct {
	servers        *collection[registrar.Server]
	configurations *collection[router.Configuration]
	evacuations    *collection[registrar.Evacuation]
	instances      *collection[namer.Instance]
	// seeds are the peer addresses that started instances get as seeds.
	seeds []string
}

func newStore() *store {
	latest := &atomic.Uint64{}
	latest.Store(1)
	return newStoreAt(latest)
}

// newStoreAt returns a store whose revisions continue those of another one. It stands for
// the same store as seen by an instance to which the store answers differently.
func newStoreAt(latest *atomic.Uint64) *store {
	return &store{
		servers:        newCollection[registrar.Server](latest),
		configurations: newCollection[router.Configuration](latest),
		evacuations:    newCollection[registrar.Evacuation](latest),
		instances:      newCollection[namer.Instance](latest),
	}
}

// failCalls fails the waiting watches and all later calls of every collection.
func (s *store) failCalls() {
	s.servers.failCalls()
	s.configurations.failCalls()
	s.evacuations.failCalls()
	s.instances.failCalls()
}

func (s *store) Register(_ context.Context, i namer.Instance) error {
	s.instances.set(i.ID, i, false)
	return nil
}

func (s *store) Remove(_ context.Context, id string, _ follower.Position) error {
	s.instances.set(id, namer.Instance{}, true)
	return nil
}

func (s *store) configure(version uint64, prefix string) {
	s.configureKind(version, prefix, router.Idempotent)
}

// configureKind writes a configuration with a route of the given kind.
func (s *store) configureKind(version uint64, prefix string, kind router.Kind) {
	s.configureRoute(version, prefix, kind, 5*time.Second)
}

// configureRoute writes a configuration with a route of the given kind and timeout.
func (s *store) configureRoute(version uint64, prefix string, kind router.Kind, timeout time.Duration) {
	s.configurations.set("main", router.Configuration{
		Version: version,
		Routes: []router.Route{{
			Name: "r", Host: "a.example", PathPrefix: prefix, Kind: kind, MaxAttempts: 2, Timeout: timeout,
			Shares: []router.Share{{Service: "parts", Weight: 1}},
		}},
		Services: map[string]router.Service{"parts": {Name: "parts", MaxConnections: 100, ColdRate: 6}},
	}, false)
}

// entry is a running instance with the addresses of its listeners.
type entry struct {
	namer.Instance
	lookups, ready, metrics string
	log                     *logBuffer
	stop                    context.CancelFunc
	// done is closed when the instance has ended, with err.
	done chan struct{}
	err  error
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func (s *store) start(t *testing.T, id string, incarnation uint64) *entry {
	t.Helper()
	return startEntry(t, id, incarnation, hoster.Config{
		Registry: s, Servers: s.servers, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances, Seeds: s.seeds,
	})
}

// startEntry starts an instance with the store that config names.
func startEntry(t *testing.T, id string, incarnation uint64, config hoster.Config) *entry {
	t.Helper()
	callers := config.Listeners.Callers
	if callers == nil {
		callers = listen(t)
	}
	listeners := hoster.Listeners{Callers: callers, Ready: listen(t), Lookups: listen(t), Peers: listen(t), Metrics: listen(t)}
	e := &entry{
		Instance: namer.Instance{
			ID: id, Incarnation: incarnation, FailureDomain: cmp.Or(config.Self.FailureDomain, "north-a"), Region: "north",
			CallerAddress: listeners.Callers.Addr().String(), PeerAddress: listeners.Peers.Addr().String(),
		},
		lookups: listeners.Lookups.Addr().String(),
		ready:   listeners.Ready.Addr().String(),
		metrics: listeners.Metrics.Addr().String(),
		done:    make(chan struct{}),
		log:     &logBuffer{},
	}
	config.Self = e.Instance
	config.RegionOf = map[string]string{"north-a": "north", e.FailureDomain: "north"}
	config.Listeners = listeners
	config.Dialect = platform.Dialect{}
	config.Lookups = hoster.Lookups{
		LookupPath: platform.LookupPath, ReadyPath: platform.ReadyPath, Read: platform.ReadLookup, Write: platform.WriteLookup,
	}
	config.Bounds = hoster.Bounds{
		Retries:   limiter.WindowConfig{Share: 0.2, Extra: 50, Window: 10 * time.Second},
		Quotas:    rationer.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
		StopGrace: stopGrace, LookupLifetime: 5 * time.Second,
	}
	config.Log = slog.New(slog.NewJSONHandler(e.log, nil))
	h := hoster.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.done)
		e.err = h.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-e.done
	})
	return e
}

// startServer starts a backend server that sets the headers of the platform's servers,
// and adds it to the store.
func (s *store) startServer(t *testing.T, id string, handle http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", id)
		w.Header().Set("X-Server-Load", "1,0,4")
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	s.servers.set(id, registrar.Server{
		ID: id, Service: "parts", Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "north-a", Region: "north",
		Slots: 4, Incarnation: 1,
	}, false)
}

func (e *entry) get(t *testing.T, path string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.CallerAddress+path, nil)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", "id-"+path)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body), response.Header
}

func (e *entry) lookup(t *testing.T) string {
	t.Helper()
	response, err := http.Get("http://" + e.lookups + platform.LookupPath + "?region=north&zone=north-a")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ""
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func (e *entry) isReady(t *testing.T) bool {
	t.Helper()
	response, err := http.Get("http://" + e.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, eventuallyTimeout, pollInterval, description)
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) }
