package hoster_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// cut is how a link to a server is cut off.
type cut int

const (
	linkWorks cut = iota
	// linkRefuses refuses new connections and leaves the open ones alone.
	linkRefuses
	// linkResets resets open connections and refuses new ones.
	linkResets
	// linkIsSilent carries no bytes and leaves all connections open.
	linkIsSilent
)

// link is the way of one instance to a server, which can be cut off.
type link struct {
	address, target string

	mu       sync.Mutex
	state    cut
	changed  sync.Cond
	listener net.Listener
	conns    map[net.Conn]bool
}

func startLink(t *testing.T, target string) *link {
	t.Helper()
	l := &link{target: target, conns: map[net.Conn]bool{}}
	l.changed.L = &l.mu
	listener := listen(t)
	l.address = listener.Addr().String()
	l.serve(listener)
	t.Cleanup(func() {
		l.set(t, linkResets)
	})
	return l
}

func (l *link) serve(listener net.Listener) {
	l.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
}

// carry copies bytes in both directions until one side ends.
func (l *link) carry(conn net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		conn.Close()
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[server] = true, true
	l.mu.Unlock()
	go l.copy(server, conn)
	l.copy(conn, server)
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitSpeech()
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// awaitSpeech waits while the link is silent.
func (l *link) awaitSpeech() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state == linkIsSilent {
		l.changed.Wait()
	}
}

// set changes the state of the link.
func (l *link) set(t *testing.T, state cut) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	l.changed.Broadcast()
	if state == linkRefuses || state == linkResets {
		l.listener.Close()
	}
	if state == linkResets {
		for conn := range l.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		clear(l.conns)
	}
}

// restore lets a link work again.
func (l *link) restore(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state
	l.state = linkWorks
	l.changed.Broadcast()
	if state == linkRefuses || state == linkResets {
		listener, err := net.Listen("tcp", l.address)
		require.NoError(t, err)
		l.serve(listener)
	}
}

// startBehindLinks starts an instance whose ways to the servers of the store can be cut. It
// has a failure domain of its own and lists the servers at the same revisions, so that no
// other instance passes on its list of addresses.
func (s *store) startBehindLinks(t *testing.T, id string) (*entry, []*link) {
	t.Helper()
	own := newCollection[registrar.Server](s.servers.latest)
	var links []*link
	items, _, _ := s.servers.since(0)
	for _, item := range items {
		one := startLink(t, item.Value.Address)
		links = append(links, one)
		item.Value.Address = one.address
		own.items[item.Name] = item
	}
	own.revision = s.servers.revision
	return startEntry(t, id, 1, hoster.Config{
		Self: namer.Instance{FailureDomain: "domain-of-" + id}, Registry: s, Servers: own, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances,
	}), links
}

// cutFleet is two instances before the same servers. The first one can be cut off from them.
type cutFleet struct {
	store *store
	cut   *entry
	other *entry
	links []*link
	// reached and left get a value when a server begins to work on a request for slowPath,
	// and when its caller has left.
	reached, left chan struct{}

	mu sync.Mutex
	// arrivals counts the arrivals at the servers, by request.
	arrivals map[string]int
}

const (
	// A request for slowPath is never answered, one for longPath after longTime, which is
	// within the time of a planned stop. One for crashPath crashes its server in the middle
	// of the answer.
	slowPath  = "/slow"
	longPath  = "/long"
	crashPath = "/crash"
	longTime  = 1200 * time.Millisecond
)

func newCutFleet(t *testing.T, servers int) *cutFleet {
	t.Helper()
	f := &cutFleet{
		store: newStore(), arrivals: map[string]int{}, reached: make(chan struct{}, 1), left: make(chan struct{}, 1),
	}
	for i := range servers {
		f.store.startServer(t, fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.arrivals[r.Header.Get("X-Attempt-Id")]++
			f.mu.Unlock()
			if r.URL.Path == longPath {
				f.reached <- struct{}{}
				<-time.After(longTime)
			}
			if r.URL.Path == crashPath {
				crashInAnswer(w, r)
			}
			if r.URL.Path == slowPath {
				f.reached <- struct{}{}
				<-r.Context().Done()
				f.left <- struct{}{}
			}
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, r.URL.Path, string(body))
		})
	}
	f.store.configure(1, "/")
	f.other = f.store.start(t, "entry-2", 1)
	f.cut, f.links = f.store.startBehindLinks(t, "entry-1")
	eventually(t, "both instances serve", func() bool {
		a, _, _ := f.cut.get(t, "/first")
		b, _, _ := f.other.get(t, "/first")
		return a == http.StatusOK && b == http.StatusOK && f.cut.isReady(t)
	})
	eventually(t, "the instances know each other", func() bool {
		return strings.Contains(f.cut.lookup(t), f.other.CallerAddress) && strings.Contains(f.other.lookup(t), f.cut.CallerAddress)
	})
	return f
}

// crashInAnswer ends the server of a request in the middle of its answer.
func crashInAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write(make([]byte, 500))
	_ = http.NewResponseController(w).Flush()
	_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
	panic(http.ErrAbortHandler)
}

// serves reports whether an instance serves as many requests at the same time.
func (f *cutFleet) serves(t *testing.T, e *entry, count int) bool {
	t.Helper()
	var served atomic.Int64
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			path := fmt.Sprint("/cut-", i)
			if status, body, _ := e.get(t, path); status == http.StatusOK && body == path {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return served.Load() == int64(count)
}

func (f *cutFleet) setLinks(t *testing.T, state cut) {
	t.Helper()
	for _, l := range f.links {
		l.set(t, state)
	}
}

// Guards against RECOVER: callers of an instance that has lost its links to all servers are
// refused, although other instances reach the servers.
func TestCallersOfAnInstanceThatIsCutOffFromAllServersAreServed(t *testing.T) {
	for name, state := range map[string]cut{"refused": linkRefuses, "reset": linkResets, "silent": linkIsSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t, 6)
			f.setLinks(t, state)
			eventually(t, "twenty requests at the same time are served", func() bool { return f.serves(t, f.cut, 20) })
		})
	}
}

func (f *cutFleet) restoreLinks(t *testing.T) {
	t.Helper()
	for _, l := range f.links {
		l.restore(t)
	}
}

// awaitCut waits until requests at the cut instance go through the other one.
func (f *cutFleet) awaitCut(t *testing.T) {
	t.Helper()
	eventually(t, "the cut is noticed", func() bool {
		_ = f.serves(t, f.cut, 20)
		return f.cut.log.has(recorder.EventCutOff)
	})
}

// Property of orders: whatever the cut, each runs at most once, and a caller who is told
// that it has not run may repeat it.
func TestOrdersRunAtMostOnceAcrossACut(t *testing.T) {
	for name, state := range map[string]cut{"refused": linkRefuses, "reset": linkResets, "silent": linkIsSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t, 6)
			f.store.configureKind(2, "/", router.NonIdempotent)
			eventually(t, "the configuration is in force", func() bool { return f.cut.log.contains(`"version":2`) && f.other.log.contains(`"version":2`) })
			var orders atomic.Int64
			order := func() {
				id := fmt.Sprint("order-", orders.Add(1))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				status := f.cut.send(ctx, http.MethodPost, "/x", id)
				f.mu.Lock()
				defer f.mu.Unlock()
				require.LessOrEqual(t, f.arrivals[id], 1, id)
				if status == http.StatusServiceUnavailable {
					require.Zero(t, f.arrivals[id], "%s is answered as not run", id)
				}
			}
			for _, change := range []func(){func() {}, func() { f.setLinks(t, state) }, func() { f.restoreLinks(t) }} {
				change()
				for range 8 {
					var calls sync.WaitGroup
					for range 25 {
						calls.Go(order)
					}
					calls.Wait()
				}
			}
		})
	}
}

// After the cut the requests go straight again within a second, and no server counts as
// cold or slow.
func TestRequestsGoStraightAgainAfterACut(t *testing.T) {
	f := newCutFleet(t, 6)
	f.setLinks(t, linkResets)
	f.awaitCut(t)
	f.restoreLinks(t)
	require.Eventually(t, func() bool { return f.cut.log.has(recorder.EventCutOffEnded) }, time.Second, pollInterval)
	f.other.stop()
	<-f.other.done
	require.True(t, f.serves(t, f.cut, 20), "the servers are reached without the other instance")
}

// What cannot be served is refused at once: if no instance reaches the servers, requests
// don't go round.
func TestIfAllInstancesAreCutOffRequestsAreRefusedAtOnce(t *testing.T) {
	f := newCutFleet(t, 6)
	second, links := f.store.startBehindLinks(t, "entry-3")
	f.other.stop()
	<-f.other.done
	for _, l := range links {
		l.set(t, linkResets)
	}
	f.setLinks(t, linkResets)
	eventually(t, "both notice the cut", func() bool {
		_, _ = f.serves(t, f.cut, 20), f.serves(t, second, 20)
		return f.cut.log.has(recorder.EventCutOff) && second.log.has(recorder.EventCutOff)
	})
	eventually(t, "requests are refused", func() bool {
		status, _, header := f.cut.get(t, "/x")
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Zero(t, f.arrivals["id-/x"])
}

// A planned stop cuts nothing off, neither a request that another instance has sent on.
func TestAPlannedStopServesReroutedRequestsToTheirEnd(t *testing.T) {
	f := newCutFleet(t, 6)
	f.setLinks(t, linkRefuses)
	f.awaitCut(t)
	var status atomic.Int64
	var calls sync.WaitGroup
	calls.Go(func() { status.Store(int64(f.cut.send(t.Context(), http.MethodGet, longPath, "long"))) })
	<-f.reached
	f.other.stop()
	calls.Wait()
	require.Equal(t, int64(http.StatusOK), status.Load())
}

// A caller that leaves ends the work for it, through the other instance too.
func TestACallerThatLeavesEndsARequestThatWasRerouted(t *testing.T) {
	f := newCutFleet(t, 6)
	f.setLinks(t, linkRefuses)
	f.awaitCut(t)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	calls.Go(func() { _ = f.cut.send(ctx, http.MethodGet, slowPath, "slow") })
	<-f.reached
	cancel()
	calls.Wait()
	select {
	case <-f.left:
	case <-time.After(eventuallyTimeout):
		require.Fail(t, "the server still works for a caller that has left")
	}
}

// send sends a request without a body and returns the status, or 0 without an answer.
func (e *entry) send(ctx context.Context, method, path, id string) int {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.CallerAddress+path, nil)
	if err != nil {
		return 0
	}
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
