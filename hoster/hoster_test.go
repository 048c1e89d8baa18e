package hoster_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

func TestAnInstanceServesWhatTheStoreSays(t *testing.T) {
	s := newStore()
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	status, _, _ := e.get(t, "/x/1")
	require.Equal(t, 503, status, "without a configuration requests are refused")
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
	eventually(t, "the older configuration is detected", func() bool { return e.log.has(recorder.EventConfigurationStale) })
	status, _, _ = e.get(t, "/x/1")
	require.Equal(t, 404, status, "an older configuration is never in force again")
	s.configure(3, "/z/")
	eventually(t, "the third route", func() bool { status, _, _ := e.get(t, "/z/1"); return status == 200 })
}

// Guards against watches that stay silent: a store that drops its history stops serving
// the waiting watches without ending them, and only one watch reports the loss.
func TestALossOfHistoryRenewsEveryWatch(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	serves := func() bool { status, _, _ := e.get(t, "/x/1"); return status == 200 }
	eventually(t, "served", serves)
	s.evacuations.silenceWatches()
	s.evacuations.set("north-a", registrar.Evacuation{FailureDomain: "north-a"}, false)
	s.configurations.loseHistory()
	eventually(t, "not served", func() bool { return !serves() })
}

// logBuffer collects the log of an instance.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *logBuffer) has(event recorder.Event) bool { return l.contains(event.String()) }

// count returns the number of lines of an event.
func (l *logBuffer) count(event recorder.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), event.String())
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.String(), text)
}

// Guards against an instance that does not register because one collection of the store
// is listed later than the others. Without its entry it takes itself for the only
// instance and sends too many requests to cold servers.
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
	s.startServer(t, "i-1", echo)
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
	s.startServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
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
	select {
	case <-began:
	case early := <-slow:
		require.Fail(t, "the request does not reach the server", "%d %s\n%s", early.status, early.body, e.log)
	}
	e.stop()
	eventually(t, "not ready", func() bool { return !e.isReady(t) })
	status, body, _ := e.get(t, "/x/more")
	require.Equal(t, 200, status, "callers that have not noticed the stop yet are served")
	require.Equal(t, "/x/more", body)
	eventually(t, "the entry is removed", func() bool { return !s.instances.has("entry-1") })
	close(release)
	require.Equal(t, result{200, "/x/slow"}, <-slow)
	<-e.done
	require.NoError(t, e.err)
}

func TestEvacuationsAndRemovalsTakeEffect(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", echo)
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

// Guards against a request that crashes servers through one instance after another:
// a request that crashed servers at one instance must be refused by the others too.
func TestInstancesTellEachOtherOfCrashes(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	for i := range 4 {
		// A repeat at the other instance may overtake the record of a crash.
		s.startCrashingServer(t, fmt.Sprint("i-", i))
	}
	first, second := s.start(t, "entry-1", 1), s.start(t, "entry-2", 1)
	eventually(t, "both are named", func() bool {
		return strings.Contains(first.lookup(t), second.CallerAddress) && strings.Contains(second.lookup(t), first.CallerAddress)
	})
	// Of crashes within one second only the first counts.
	const repeatInterval = 1100 * time.Millisecond
	require.Eventually(t, func() bool {
		_, own, _ := first.get(t, "/x/poison")
		_, others, _ := second.get(t, "/x/poison")
		return strings.Contains(own, "crashesServers") && strings.Contains(others, "crashesServers")
	}, eventuallyTimeout, repeatInterval, "refused by both")
}

// startCrashingServer adds a server to the store that crashes while it runs a request: it
// closes its listener and its connections. It answers probes until then.
func (s *store) startCrashingServer(t *testing.T, id string) {
	t.Helper()
	listener := listen(t)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/x/") {
			_ = server.Close()
			panic(http.ErrAbortHandler)
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s.servers.set(id, registrar.Server{
		ID: id, Service: "parts", Address: listener.Addr().String(), FailureDomain: "north-a", Region: "north", Slots: 4, Incarnation: 1,
	}, false)
}
