package hoster_test

import (
	"bytes"
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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// limit is how long a test waits for something that must happen.
	limit = 20 * time.Second
	tick  = 5 * time.Millisecond
)

// collection is a stand-in of one kind of objects in the store.
type collection[V any] struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]follower.Item[V]
	changed  chan struct{}
	// listable is closed when the collection may be listed.
	listable chan struct{}
	// cuts counts how often all waiting watches were cut without a sign.
	cuts int
	// isGone says that the history is lost for the next watch.
	isGone bool
}

func newCollection[V any]() *collection[V] {
	c := &collection[V]{items: map[string]follower.Item[V]{}, changed: make(chan struct{}), listable: make(chan struct{})}
	close(c.listable)
	return c
}

func (c *collection[V]) set(name string, value V, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.items[name] = follower.Item[V]{Name: name, Revision: c.revision, Removed: removed, Value: value}
	close(c.changed)
	c.changed = make(chan struct{})
}

// cut makes the waiting watches deaf.
func (c *collection[V]) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts++
}

// loseHistory ends the waiting watches, and the next one learns that changes
// were lost.
func (c *collection[V]) loseHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isGone = true
	close(c.changed)
	c.changed = make(chan struct{})
}

// takeGone reports whether the history is lost, and the cuts so far.
func (c *collection[V]) takeGone() (bool, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := c.isGone
	c.isGone = false
	return gone, c.cuts
}

func (c *collection[V]) has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	item, ok := c.items[name]
	return ok && !item.Removed
}

func (c *collection[V]) since(revision uint64) ([]follower.Item[V], uint64, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []follower.Item[V]
	for _, item := range c.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items, c.revision, c.changed
}

func (c *collection[V]) List(ctx context.Context) ([]follower.Item[V], uint64, error) {
	select {
	case <-c.listable:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	items, revision, _ := c.since(0)
	return items, revision, nil
}

func (c *collection[V]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]follower.Item[V], uint64, error) {
	c.mu.Lock()
	begun := c.cuts
	c.mu.Unlock()
	for {
		gone, cuts := c.takeGone()
		if gone {
			return nil, 0, &follower.HistoryGoneError{Cause: errLost}
		}
		if cuts != begun {
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

var errLost = errors.New("the history is lost")

// store is a stand-in of the whole store.
type store struct {
	servers        *collection[registrar.Server]
	configurations *collection[router.Configuration]
	evacuations    *collection[registrar.Evacuation]
	instances      *collection[namer.Instance]
	// seeds are the peer addresses that instances are told of.
	seeds []string
}

func newStore() *store {
	return &store{
		servers:        newCollection[registrar.Server](),
		configurations: newCollection[router.Configuration](),
		evacuations:    newCollection[registrar.Evacuation](),
		instances:      newCollection[namer.Instance](),
	}
}

func (s *store) Register(_ context.Context, i namer.Instance) error {
	s.instances.set(i.ID, i, false)
	return nil
}

func (s *store) Remove(_ context.Context, id string, _ uint64) error {
	s.instances.set(id, namer.Instance{}, true)
	return nil
}

func (s *store) configure(version uint64, prefix string) {
	s.configurations.set("main", router.Configuration{
		Version: version,
		Routes: []router.Route{{
			Name: "r", Host: "a.example", PathPrefix: prefix, MaxAttempts: 2, Timeout: 5 * time.Second,
			Shares: []router.Share{{Service: "parts", Weight: 1}},
		}},
		Services: map[string]router.Service{"parts": {Name: "parts", MaxConnections: 100, ColdRate: 6}},
	}, false)
}

// entry is a running instance.
type entry struct {
	namer.Instance
	lookups, ready string
	log            *lines
	stop           context.CancelFunc
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
	listeners := hoster.Listeners{Callers: listen(t), Ready: listen(t), Lookups: listen(t), Peers: listen(t), Metrics: listen(t)}
	e := &entry{
		Instance: namer.Instance{
			ID: id, Incarnation: incarnation, FailureDomain: "north-a", Region: "north",
			CallerAddress: listeners.Callers.Addr().String(), PeerAddress: listeners.Peers.Addr().String(),
		},
		lookups: listeners.Lookups.Addr().String(),
		ready:   listeners.Ready.Addr().String(),
		done:    make(chan struct{}),
		log:     &lines{},
	}
	h := hoster.New(hoster.Config{
		Self: e.Instance, RegionOf: map[string]string{"north-a": "north"}, Listeners: listeners, Dialect: platform.Dialect{},
		Lookups: hoster.Lookups{
			LookupPath: platform.LookupPath, ReadyPath: platform.ReadyPath, Read: platform.ReadLookup, Write: platform.WriteLookup,
		},
		Registry: s, Servers: s.servers, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances, Seeds: s.seeds,
		Bounds: hoster.Bounds{
			Retries:   limiter.WindowConfig{Share: 0.2, Extra: 50, Window: 10 * time.Second},
			StopGrace: 2 * time.Second, LookupLifetime: 5 * time.Second,
		},
		Log: slog.New(slog.NewJSONHandler(e.log, nil)),
	})
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

// backend starts a server that answers as the platform's do.
func (s *store) backend(t *testing.T, id string, handle http.HandlerFunc) {
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, limit, tick, what)
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) }

func TestAnInstanceServesWhatTheStoreSays(t *testing.T) {
	s := newStore()
	s.backend(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	status, _, _ := e.get(t, "/x/1")
	require.Equal(t, 503, status, "without a configuration nothing can be said")
	require.False(t, e.isReady(t))
	s.configure(1, "/x/")
	eventually(t, "ready", func() bool { return e.isReady(t) })
	status, body, header := e.get(t, "/x/1")
	require.Equal(t, 200, status)
	require.Equal(t, "/x/1", body)
	require.Equal(t, "i-1", header.Get("X-Response-Signature"))

	s.configure(2, "/y/")
	eventually(t, "the new route", func() bool { status, _, _ := e.get(t, "/y/1"); return status == 200 })
	status, _, _ = e.get(t, "/x/1")
	require.Equal(t, 404, status)
	s.configure(1, "/x/")
	eventually(t, "the older configuration is noticed", func() bool { return e.log.has(recorder.EventConfigurationStale) })
	status, _, _ = e.get(t, "/x/1")
	require.Equal(t, 404, status, "an older configuration is never in force again")
	s.configure(3, "/z/")
	eventually(t, "the third route", func() bool { status, _, _ := e.get(t, "/z/1"); return status == 200 })
}

// A store that drops its history cuts the waiting watches without a sign.
func TestALossOfHistoryRenewsEveryWatch(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.backend(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	serves := func() bool { status, _, _ := e.get(t, "/x/1"); return status == 200 }
	eventually(t, "served", serves)
	s.evacuations.cut()
	s.evacuations.set("north-a", registrar.Evacuation{FailureDomain: "north-a"}, false)
	s.configurations.loseHistory()
	eventually(t, "not served", func() bool { return !serves() })
}

// lines keeps what an instance logs.
type lines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *lines) has(event recorder.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.String(), event.String())
}

// The order in which the store answers must not matter: an instance that does
// not register believes to be alone and sends too much to cold servers.
func TestAnInstanceRegistersInWhateverOrderTheStoreAnswers(t *testing.T) {
	for _, late := range []string{"servers", "configuration", "instances"} {
		t.Run(late, func(t *testing.T) {
			s := newStore()
			gate := make(chan struct{})
			switch late {
			case "servers":
				s.servers.listable = gate
			case "instances":
				s.instances.listable = gate
			}
			if late != "configuration" {
				s.configure(1, "/x/")
			}
			e := s.start(t, "entry-1", 1)
			eventually(t, "started", func() bool { return e.log.has(recorder.EventStarted) })
			if late != "instances" {
				eventually(t, "callers are not sent to an instance that cannot serve them", func() bool { return e.lookup(t) == "" })
			}
			close(gate)
			if late == "configuration" {
				s.configure(1, "/x/")
			}
			eventually(t, "registered", func() bool { return s.instances.has("entry-1") })
		})
	}
}

func TestLookupsFollowTheFleet(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.backend(t, "i-1", echo)
	first, second := s.start(t, "entry-1", 1), s.start(t, "entry-2", 1)
	both := func() bool {
		named := first.lookup(t)
		return strings.Contains(named, first.CallerAddress) && strings.Contains(named, second.CallerAddress)
	}
	eventually(t, "both are named", both)

	// An entry that was removed by mistake is written again.
	require.NoError(t, s.Remove(t.Context(), "entry-2", 0))
	eventually(t, "registered again", func() bool { return s.instances.has("entry-2") })
	eventually(t, "both are named again", both)

	second.stop()
	eventually(t, "one is named", func() bool { return !strings.Contains(first.lookup(t), second.CallerAddress) })
	require.False(t, second.isReady(t))
}

func TestAPlannedStopFinishesWhatWasBegun(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	began, release := make(chan struct{}), make(chan struct{})
	s.backend(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x/slow" {
			close(began)
			<-release
		}
		echo(w, r)
	})
	e := s.start(t, "entry-1", 1)
	eventually(t, "ready", func() bool { return e.isReady(t) })
	type result struct {
		status int
		body   string
	}
	slow := make(chan result, 1)
	go func() {
		status, body, _ := e.get(t, "/x/slow")
		slow <- result{status, body}
	}()
	<-began
	e.stop()
	eventually(t, "not ready", func() bool { return !e.isReady(t) })
	status, body, _ := e.get(t, "/x/more")
	require.Equal(t, 200, status, "callers that have not heard yet are served")
	require.Equal(t, "/x/more", body)
	eventually(t, "the entry is gone", func() bool { return !s.instances.has("entry-1") })
	close(release)
	require.Equal(t, result{200, "/x/slow"}, <-slow)
	<-e.done
	require.NoError(t, e.err)
}

func TestEvacuationsAndDrainsAreFollowed(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.backend(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	serves := func() bool { status, _, _ := e.get(t, "/x/1"); return status == 200 }
	eventually(t, "served", serves)
	s.evacuations.set("north-a", registrar.Evacuation{FailureDomain: "north-a"}, false)
	eventually(t, "not served", func() bool { return !serves() })
	s.evacuations.set("north-a", registrar.Evacuation{}, true)
	eventually(t, "served again", serves)
	s.servers.set("i-1", registrar.Server{}, true)
	eventually(t, "no server", func() bool { return !serves() })
}

// A request that crashed servers at one instance is refused by the others.
func TestInstancesTellEachOtherOfCrashes(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.crashing(t, "i-1")
	s.crashing(t, "i-2")
	first, second := s.start(t, "entry-1", 1), s.start(t, "entry-2", 1)
	eventually(t, "both are named", func() bool {
		return strings.Contains(first.lookup(t), second.CallerAddress) && strings.Contains(second.lookup(t), first.CallerAddress)
	})
	eventually(t, "refused by both", func() bool {
		_, own, _ := first.get(t, "/x/poison")
		_, others, _ := second.get(t, "/x/poison")
		return strings.Contains(own, "crashesServers") && strings.Contains(others, "crashesServers")
	})
}

// crashing starts a server that is down once it has begun to run a request, and
// comes back as another start at the same address.
func (s *store) crashing(t *testing.T, id string) {
	t.Helper()
	listener := listen(t)
	address := listener.Addr().String()
	s.servers.set(id, registrar.Server{
		ID: id, Service: "parts", Address: address, FailureDomain: "north-a", Region: "north", Slots: 4, Incarnation: 1,
	}, false)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	t.Cleanup(func() { _ = listener.Close() })
}

// The store is away while an instance starts: another one tells it what it needs
// to serve, and the others find that it serves.
func TestAnInstanceStartsFromAnotherWhileTheStoreIsAway(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.backend(t, "i-1", echo)
	s.evacuations.set("north-b", registrar.Evacuation{FailureDomain: "north-b"}, false)
	first := s.start(t, "entry-1", 1)
	eventually(t, "the first is ready", func() bool { return first.isReady(t) })

	away := newStore()
	gate := make(chan struct{})
	away.servers.listable, away.configurations.listable = gate, gate
	away.evacuations.listable, away.instances.listable = gate, gate
	away.seeds = []string{"127.0.0.1:1", first.PeerAddress}
	second := away.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	require.True(t, second.log.has(recorder.EventBootstrapped))
	status, body, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "/x/1", body)
	eventually(t, "the other is named", func() bool { return strings.Contains(second.lookup(t), first.CallerAddress) })

	// What the store says then replaces what the other said.
	away.configure(5, "/y/")
	close(gate)
	eventually(t, "the new route is served", func() bool {
		status, _, _ := second.get(t, "/y/1")
		return status == http.StatusServiceUnavailable
	})
}

// An older configuration of another instance does not replace that of the store.
func TestAStaleInstanceDoesNotTakeAnythingBack(t *testing.T) {
	s := newStore()
	s.configure(4, "/x/")
	s.backend(t, "i-1", echo)
	stale := s.start(t, "entry-1", 1)
	eventually(t, "the stale one is ready", func() bool { return stale.isReady(t) })

	other := newStore()
	other.configure(9, "/z/")
	gate := make(chan struct{})
	other.servers.listable = gate
	other.seeds = []string{stale.PeerAddress}
	second := other.start(t, "entry-2", 1)
	eventually(t, "the second is ready", func() bool { return second.isReady(t) })
	status, _, _ := second.get(t, "/x/1")
	require.Equal(t, http.StatusNotFound, status)
	close(gate)
	eventually(t, "the store's servers are in force", func() bool {
		status, _, _ := second.get(t, "/z/1")
		return status == http.StatusServiceUnavailable
	})
}

// All instances start together: an entry of the store is no sign that its
// instance is up already.
func TestAnInstanceThatHasJustStartedNamesNoneThatHasNotAnsweredIt(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	down := namer.Instance{
		ID: "entry-9", Incarnation: 1, FailureDomain: "north-a", Region: "north",
		CallerAddress: "127.0.0.1:9", PeerAddress: "127.0.0.1:9",
	}
	s.instances.set(down.ID, down, false)
	up := s.start(t, "entry-1", 1)
	eventually(t, "registered", func() bool { return s.instances.has("entry-1") })
	second := s.start(t, "entry-2", 1)
	eventually(t, "the one that is up is named", func() bool {
		named := second.lookup(t)
		require.NotContains(t, named, down.CallerAddress)
		return strings.Contains(named, up.CallerAddress)
	})
}
