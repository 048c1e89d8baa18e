package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/certifier"
	"github.com/pollencrank/pollencrank/internal/issuer"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/runner"
)

// eventuallyTimeout is how long a test waits for a condition that must become
// true.
const eventuallyTimeout = 30 * time.Second

// fleet is a set of entries and backend stand-ins that communicate over real
// sockets.
type fleet struct {
	t        *testing.T
	store    *standin.Store
	ledger   *standin.Ledger
	backends []*standin.Backend
	entries  map[string]*runner.Runner
	spans    *tracetest.InMemoryExporter
	// authority issues each entry a certificate for mutual TLS, if it is set.
	authority *issuer.Authority
	config    pollencrank.Configuration
	// loadCount is the number of loads started so far.
	loadCount int
	// flood is a second load, if there is one.
	flood *load
	// planInterval is the interval and the lead of the planner, if it is set.
	planInterval time.Duration
}

func newFleet(t *testing.T, servers int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), ledger: standin.NewLedger(), entries: map[string]*runner.Runner{}}
	f.config = pollencrank.Configuration{
		PresetInForce:  "ordinary",
		Presets:        []pollencrank.Preset{{Name: "ordinary", RetryShare: 0.1, ForeignShare: 1}, {Name: "peak", RetryShare: 0.1, ForeignShare: 1}},
		Regions:        []pollencrank.Region{{Name: "north"}},
		FailureDomains: []pollencrank.FailureDomain{{Name: "north-1", Region: "north"}},
		Workloads: []pollencrank.Workload{
			{Name: "lookup", Routes: []pollencrank.Route{{PathPrefix: "/lookup"}}, Timeout: 20 * time.Second, Idempotent: true},
			{Name: "order", Routes: []pollencrank.Route{{PathPrefix: "/order"}}, Timeout: 20 * time.Second, KeyRequired: true, MaxRequestBytes: 1000},
		},
	}
	for i := range servers {
		f.startBackend(i)
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) startBackend(number int) {
	const slots = 3
	name := fmt.Sprintf("server-%d", number)
	backend, err := standin.StartBackend(standin.BackendConfig{
		Name: name, Slots: slots, Ledger: f.ledger, ServiceTime: func() time.Duration { return 2 * time.Millisecond },
		CrashOn: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/poison") }, RestartDelay: 300 * time.Millisecond,
	})
	require.NoError(f.t, err)
	f.backends = append(f.backends, backend)
	f.config.Servers = append(f.config.Servers, pollencrank.Server{
		Name: name, Workload: f.config.Workloads[number%2].Name, FailureDomain: "north-1", Address: backend.Address(), Slots: slots,
	})
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.Kill()
	}
	for _, b := range f.backends {
		b.Close()
	}
}

// start starts an entry in the first failure domain and lists it in the store.
func (f *fleet) start(id string) *runner.Runner {
	f.t.Helper()
	return f.startIn(id, "north-1", "north")
}

// startIn starts an entry in a failure domain and lists it in the store.
func (f *fleet) startIn(id, domain, region string) *runner.Runner {
	f.t.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	config := runner.Config{
		Instance:       pollencrank.Instance{ID: id, FailureDomain: domain, Region: region},
		CallerListener: callers, PeerListener: peers, Store: f.store, Heartbeat: 100 * time.Millisecond,
		Seeds: f.peerAddresses(), PlanInterval: f.planInterval, PlanLead: f.planInterval,
	}
	if f.spans != nil {
		config.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(f.spans)).Tracer(id)
	}
	if f.authority != nil {
		c, err := certifier.New(f.authority.Issue(f.t, f.t.TempDir(), int64(len(f.entries)+1)))
		require.NoError(f.t, err)
		config.PeerServerTLS, config.PeerClientTLS = c.Server(), c.Client()
	}
	e, err := runner.New(config)
	require.NoError(f.t, err)
	listed, err := json.Marshal(runner.ListedInstance{ID: id, PeerAddress: peers.Addr().String()})
	require.NoError(f.t, err)
	_, _ = f.store.Put(context.Background(), runner.InstancesPrefix+id, listed, 0)
	e.Start()
	f.entries[id] = e
	return e
}

// startAll starts entries, applies the configuration and waits until every entry
// serves both workloads.
func (f *fleet) startAll(entries int) {
	f.t.Helper()
	for i := range entries {
		f.start(fmt.Sprint("entry-", i))
	}
	f.applyAll()
	f.waitUntilServing()
}

func (f *fleet) peerAddresses() []string {
	var addresses []string
	for _, e := range f.entries {
		addresses = append(addresses, e.Instance().PeerAddress)
	}
	return addresses
}

func (f *fleet) kill(id string) {
	f.entries[id].Kill()
	delete(f.entries, id)
}

func (f *fleet) accept(number int, edit func(*pollencrank.Configuration)) pollencrank.Generation {
	f.t.Helper()
	a := acceptor.New(acceptor.Config{Store: f.store})
	accepted, err := a.Accept(context.Background(), acceptor.Proposal{
		OperationID: fmt.Sprint(number), WithBlocks: true, Edit: func(c *pollencrank.Configuration) error {
			edit(c)
			return nil
		},
	})
	require.NoError(f.t, err)
	return accepted.Generation
}

func (f *fleet) applyAll() pollencrank.Generation {
	return f.accept(0, func(c *pollencrank.Configuration) { *c = f.config })
}

// eventually waits for a condition.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, eventuallyTimeout, 5*time.Millisecond, description)
}

// waitUntilServing waits until every entry serves both workloads.
func (f *fleet) waitUntilServing() {
	f.t.Helper()
	for id, e := range f.entries {
		f.eventually(id+" serves", func() bool {
			caller := f.newCaller()
			defer caller.Close()
			address := e.Instance().CallerAddress
			lookup := caller.SendTo(context.Background(), address, standin.Call{Method: "GET", Path: "/lookup/x", Attempt: "x"})
			order := caller.SendTo(context.Background(), address, standin.Call{Method: "POST", Path: "/order/x", Key: "x" + id, Attempt: "y"})
			return lookup.Outcome == standin.Served && order.Outcome == standin.Served
		})
	}
}

func (f *fleet) newCaller() *standin.Caller {
	var entries []string
	for _, e := range f.entries {
		entries = append(entries, e.Instance().CallerAddress)
	}
	return standin.NewCaller(standin.CallerConfig{Entries: entries, Timeout: eventuallyTimeout})
}

// load sends look-ups and orders from several callers until it is stopped. An
// order that is not served is repeated with its key.
type load struct {
	// name makes the attempts and keys of a load different from those of others.
	name    string
	stop    context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	results map[standin.Outcome]int
	details []string
	notRun  []string
}

func (f *fleet) startLoad(callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	f.loadCount++
	l := &load{name: fmt.Sprint(f.loadCount), stop: cancel, results: map[standin.Outcome]int{}}
	for c := range callers {
		caller := f.newCaller()
		l.wait.Go(func() {
			defer caller.Close()
			for i := 0; ctx.Err() == nil; i++ {
				l.sendOne(ctx, caller, c, i)
			}
		})
	}
	return l
}

func (l *load) sendOne(ctx context.Context, caller *standin.Caller, c, i int) {
	const repeats = 3
	for repeat := range repeats {
		call := standin.Call{Workload: "lookup", Method: "GET", Path: "/lookup/1", EntryIndex: repeat}
		if i%2 == 0 {
			call = standin.Call{Workload: "order", Method: "POST", Path: "/order/1", Key: fmt.Sprintf("order-%s-%d-%d", l.name, c, i), EntryIndex: repeat}
		}
		call.Attempt = fmt.Sprintf("attempt-%s-%d-%d-%d", l.name, c, i, repeat)
		result := caller.Send(context.Background(), call)
		l.mu.Lock()
		l.results[result.Outcome]++
		if result.Outcome == standin.NotRun {
			l.notRun = append(l.notRun, result.Attempt)
		}
		if result.Outcome != standin.Served {
			l.details = append(l.details, fmt.Sprintf("%s %s %s", call.Workload, result.Reason, result.Detail))
		}
		l.mu.Unlock()
		if result.Outcome == standin.Served || ctx.Err() != nil {
			return
		}
	}
}

// finish stops the load and checks the invariants that hold under every fault.
func (l *load) finish(f *fleet) {
	f.t.Helper()
	l.stop()
	l.wait.Wait()
	violations := f.ledger.Violations()
	require.Zero(f.t, violations.RepeatedOrders, "orders that ran twice")
	require.Zero(f.t, violations.AfterDrain, "requests at a drained server")
	require.Zero(f.t, l.results[standin.Corrupted], "answers that were not whole or not the caller's own")
	for _, attempt := range l.notRun {
		require.False(f.t, f.ledger.HasRun(attempt), "%s was reported as not run", attempt)
	}
	require.NotZero(f.t, l.results[standin.Served])
}

// waitForRuns waits until a further number of requests has run.
func (f *fleet) waitForRuns(requests int) {
	f.t.Helper()
	before := f.ledger.Runs()
	f.eventually("requests run", func() bool { return f.ledger.Runs() >= before+requests })
}

func TestAPlannedStopCutsNothingOff(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(3)
	l := f.startLoad(8)
	f.waitForRuns(200)
	f.start("entry-3")
	f.waitForRuns(200)
	for _, id := range []string{"entry-0", "entry-1"} {
		require.NoError(t, f.entries[id].Stop(context.Background()))
		delete(f.entries, id)
		f.waitForRuns(200)
	}
	l.finish(f)
	require.Zero(t, l.results[standin.Disconnected], "connections cut: %v", l.details)
	require.Zero(t, l.results[standin.Unknown], "unknown outcomes: %v", l.details)
	require.Zero(t, f.ledger.Violations().OverSlots, "requests beyond a server's slots")
}

func TestAKilledEntryIsReplacedByItsPeers(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(4)
	l := f.startLoad(8)
	f.waitForRuns(200)
	f.kill("entry-1")
	f.waitUntilServing()
	f.waitForRuns(200)
	l.finish(f)
}

func TestAKilledBackendServerBreaksNoInvariant(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(3)
	l := f.startLoad(8)
	f.waitForRuns(200)
	f.backends[0].Close()
	f.backends[1].Close()
	f.waitForRuns(400)
	l.finish(f)
}

func TestADrainedServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(3)
	l := f.startLoad(4)
	f.waitForRuns(100)
	drained := f.config.Servers[0].Name
	generation := f.accept(1, func(c *pollencrank.Configuration) {
		c.Drains = append(c.Drains, pollencrank.Drain{Server: drained, Start: time.Now()})
	})
	// The limit is 2 s from the first notice of a drain, here its acceptance.
	f.ledger.RecordDrainStart(drained, time.Now().Add(2*time.Second))
	for id, e := range f.entries {
		f.eventually(id+" has the drain", func() bool { return e.Generation() >= generation })
	}
	f.waitForRuns(2000)
	l.finish(f)
}

// During a store outage the configuration in force stays, and a new entry fetches
// it from its peers. Once the store is available, the next change arrives.
func TestAStoreOutage(t *testing.T) {
	f := newFleet(t, 4)
	f.start("entry-0")
	f.start("entry-1")
	generation := f.applyAll()
	f.waitUntilServing()
	f.store.SetDown(true)
	l := f.startLoad(4)
	f.waitForRuns(100)
	late := f.start("entry-2")
	f.eventually("the late entry is ready", func() bool { return late.Ready() && late.Generation() == generation })
	f.waitUntilServing()
	f.store.SetDown(false)
	generation = f.accept(1, func(c *pollencrank.Configuration) { c.PresetInForce = "peak" })
	for id, e := range f.entries {
		f.eventually(id+" has the change", func() bool { return e.Generation() == generation })
	}
	l.finish(f)
}

// Entries with certificates of the same authority forward requests to each other.
// An entry with a certificate of another authority must not join them.
func TestEntriesUseMutualTLS(t *testing.T) {
	f := newFleet(t, 4)
	f.authority = issuer.NewAuthority(t)
	f.startAll(3)
	f.authority = issuer.NewAuthority(t)
	untrusted := f.start("untrusted")
	f.eventually("the untrusted entry is ready by the store alone", untrusted.Ready)
	f.waitForRuns(0)
	require.Equal(t, 1, untrusted.MemberCount())
	for _, id := range []string{"entry-0", "entry-1", "entry-2"} {
		require.Equal(t, 3, f.entries[id].MemberCount(), id)
	}
}

func TestEveryHopHasASpan(t *testing.T) {
	f := newFleet(t, 2)
	f.spans = tracetest.NewInMemoryExporter()
	f.startAll(3)
	f.spans.Reset()
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	names := map[string]int{}
	for _, e := range f.entries {
		for _, path := range []string{"/lookup/1", receiver.LookupPath + "?workload=lookup"} {
			request, err := http.NewRequest("GET", "http://"+e.Instance().CallerAddress+path, nil)
			require.NoError(t, err)
			request.Header.Set("Traceparent", "00-"+parent+"-00f067aa0ba902b7-01")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
	}
	f.eventually("spans of every hop", func() bool {
		clear(names)
		for _, span := range f.spans.GetSpans() {
			if span.SpanContext.TraceID().String() == parent {
				names[span.Name]++
			}
		}
		// One of the three entries owns the server; two forward to it.
		return names["lookup"] == 3 && names["admission"] == 3 && names["forward"] == 2 && names["queue"] == 3 && names["backend"] == 3
	})
}

// metricNames returns the metric names in a text, without the suffixes that a
// histogram adds.
func metricNames(text string) []string {
	names := map[string]bool{}
	for _, name := range regexp.MustCompile(`pollencrank_[a-z_]+`).FindAllString(text, -1) {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// docs/METRICS.md must list exactly the metrics that a running entry exports.
func TestMetricsPageEqualsARunningEntry(t *testing.T) {
	f := newFleet(t, 2)
	f.start("entry-0")
	f.applyAll()
	f.waitUntilServing()
	caller := f.newCaller()
	defer caller.Close()
	caller.SendTo(context.Background(), f.entries["entry-0"].Instance().CallerAddress, standin.Call{Method: "GET", Path: "/none"})
	var running strings.Builder
	f.entries["entry-0"].WriteMetrics(&running)
	page, err := os.ReadFile("../docs/METRICS.md")
	require.NoError(t, err)
	require.Equal(t, metricNames(string(page)), metricNames(running.String()))
}

func TestNewRequiresInstanceAndListeners(t *testing.T) {
	_, err := runner.New(runner.Config{})
	require.Error(t, err)
	_, err = runner.New(runner.Config{Instance: pollencrank.Instance{ID: "a", FailureDomain: "d", Region: "r"}})
	require.Error(t, err)
}

// lookUpEntries returns the entries in the answer to a look-up at an entry.
func (f *fleet) lookUpEntries(entry *runner.Runner) []string {
	response, err := http.Get("http://" + entry.Instance().CallerAddress + receiver.LookupPath + "?workload=lookup")
	require.NoError(f.t, err)
	defer response.Body.Close()
	var answer receiver.LookupAnswer
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&answer))
	var names []string
	for _, e := range answer.Entries {
		names = append(names, e.Instance)
	}
	return names
}

// Look-ups do not return a drained instance and it owns no servers. It still
// serves the requests that reach it.
func TestADrainedInstanceIsNotAdvertised(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(3)
	entry := f.entries["entry-1"]
	f.eventually("look-ups return several entries", func() bool { return len(f.lookUpEntries(entry)) > 1 })
	drained := f.lookUpEntries(entry)[0]
	l := f.startLoad(4)
	f.accept(1, func(c *pollencrank.Configuration) {
		c.Drains = append(c.Drains, pollencrank.Drain{Instance: drained, Start: time.Now()})
	})
	f.eventually("look-ups omit the drained instance", func() bool { return !slices.Contains(f.lookUpEntries(entry), drained) })
	f.waitForRuns(500)
	require.NotEmpty(t, f.lookUpEntries(entry))
	f.accept(2, func(c *pollencrank.Configuration) { c.Drains = nil })
	f.eventually("look-ups return the instance again", func() bool { return slices.Contains(f.lookUpEntries(entry), drained) })
	f.waitForRuns(200)
	l.finish(f)
	require.Zero(t, l.results[standin.Unknown], "%v", l.details)
	require.Zero(t, f.ledger.Violations().OverSlots, "requests beyond a server's slots")
}
