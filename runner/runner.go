// Package runner assembles an entry instance from its components and runs it.
//
// # Usage
//
//	entry, err := runner.New(runner.Config{
//		Instance:       pollencrank.Instance{ID: "entry-1", FailureDomain: "north-1", Region: "north"},
//		CallerListener: callers,
//		PeerListener:   peers,
//		Store:          store,
//	})
//	if err != nil {
//		return err
//	}
//	entry.Start()
//	<-stop
//	return entry.Stop(ctx)
package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/coordinator"
	"github.com/pollencrank/pollencrank/deduplicator"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/gossiper"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/messenger"
	"github.com/pollencrank/pollencrank/pacer"
	"github.com/pollencrank/pollencrank/parser"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/surveyor"
)

// Config is the configuration of a Runner.
type Config struct {
	Instance pollencrank.Instance
	// CallerListener, PeerListener and OperatorListener accept connections.
	// Without an OperatorListener there is no operators' port.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener
	// OperatorToken is the credential of the operators' port.
	OperatorToken string
	Store         persister.Store
	// Seeds are peer addresses to join through, in addition to those that the
	// platform lists in the store.
	Seeds          []string
	TrustedProxies []netip.Prefix
	// CallerTLS, PeerServerTLS and PeerClientTLS enable TLS if they are not nil.
	// CallerTLS also applies to the operators' port.
	CallerTLS     *tls.Config
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	Log           *slog.Logger
	Tracer        trace.Tracer
	// Seed seeds the random choices.
	Seed uint64
	// DialContext opens connections to other entries. The default is a
	// net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// PlanInterval is the time between two attempts to acquire or renew the
	// planner's lease. The default is 5 s.
	PlanInterval time.Duration
	// PlanLead is the time from the computation of a plan to its start. The
	// default is planner.DefaultLead.
	PlanLead time.Duration
	// Heartbeat is the interval of membership probes. The default is
	// gossiper.DefaultInterval.
	Heartbeat time.Duration
}

// Runner is one entry instance.
type Runner struct {
	config  Config
	tomb    tomb.Tomb
	metrics *metrics.Set

	client       *messenger.Client
	gossip       *gossiper.Gossiper
	distributor  *distributor.Distributor
	allocator    *allocator.Allocator
	executor     *executor.Executor
	balancer     *balancer.Balancer
	deduplicator *deduplicator.Deduplicator
	coordinator  *coordinator.Coordinator
	receiver     *receiver.Receiver
	budget       *limiter.RetryBudget
	isolator     *isolator.Isolator
	links        *links
	meter        *surveyor.Meter
	surveyor     *surveyor.Surveyor
	acceptor     *acceptor.Acceptor

	callers   *http.Server
	peers     *http.Server
	operators *http.Server

	view            atomic.Pointer[view]
	updateRequested chan struct{}
	stopping        atomic.Bool

	// compiled is the latest configuration. Only the update loop accesses it.
	compiled compiled
	stopOnce sync.Once
}

// New returns an instance that has not started.
func New(config Config) (*Runner, error) {
	if config.Instance.ID == "" || config.Instance.FailureDomain == "" || config.Instance.Region == "" {
		return nil, errors.New("an instance needs an ID, a failure domain and a region")
	}
	if config.CallerListener == nil || config.PeerListener == nil || config.Store == nil {
		return nil, errors.New("an instance needs listeners for callers and peers, and a store")
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Instance.Incarnation == 0 {
		config.Instance.Incarnation = uint64(time.Now().UnixMilli())
	}
	setAddresses(&config)
	r := &Runner{config: config, metrics: metrics.NewSet(), updateRequested: make(chan struct{}, 1)}
	r.assemble()
	r.registerMetrics()
	return r, nil
}

func setAddresses(config *Config) {
	if config.Instance.CallerAddress == "" {
		config.Instance.CallerAddress = config.CallerListener.Addr().String()
	}
	if config.Instance.PeerAddress == "" {
		config.Instance.PeerAddress = config.PeerListener.Addr().String()
	}
}

// assemble creates the components and connects them.
func (r *Runner) assemble() {
	c := r.config
	self := c.Instance.ID
	r.client = messenger.NewClient(messenger.ClientConfig{TLS: c.PeerClientTLS, DialContext: c.DialContext})
	r.budget = limiter.NewRetryBudget(limiter.RetryConfig{})
	r.links = newLinks(r)
	r.isolator = isolator.New(isolator.Config{})
	r.meter = surveyor.NewMeter(time.Now())
	r.surveyor = surveyor.New(surveyor.Config{
		Self:  c.Instance,
		Peer:  r.client,
		Fleet: surveyFleet{r},
		Meter: r.meter,
		Slots: r.usableSlots,
	})
	r.executor = executor.New(executor.Config{
		OnEnd:           r.meter.CountCompletion,
		Isolator:        r.isolator,
		ShareSuspect:    r.broadcastSuspect,
		ServedElsewhere: func(workload string) bool { return r.balancer.HasPeers(workload) },
		Sender:          dispatcher.New(dispatcher.Config{Log: c.Log}),
		Budget:          r.budget,
		Log:             c.Log,
		Tracer:          c.Tracer,
	})
	r.allocator = allocator.New(allocator.Config{Self: self})
	r.balancer = balancer.New(balancer.Config{Self: self, Local: r.executor.Load})
	r.deduplicator = deduplicator.New(deduplicator.Config{Self: self, Peer: r.client, Members: r.regionMembers})
	r.gossip = gossiper.New(gossiper.Config{
		Self:         c.Instance,
		Peer:         r.client,
		Seeds:        r.seeds,
		Interval:     c.Heartbeat,
		Seed:         c.Seed,
		StoreContact: func() time.Time { return r.distributor.StoreContact() },
		Generation:   func() pollencrank.Generation { return r.distributor.Generation() },
		Load:         r.load,
		OnGeneration: r.observeGeneration,
		OnLoad:       r.recordLoad,
		OnChange:     func(*gossiper.Roster) { r.requestUpdate() },
		Log:          c.Log,
	})
	r.distributor = distributor.New(distributor.Config{
		Store:   c.Store,
		Peer:    r.client,
		Fleet:   fleet{r},
		Log:     c.Log,
		Seed:    c.Seed,
		OnState: r.stateChanged,
	})
	r.coordinator = coordinator.New(coordinator.Config{
		Self:         self,
		Local:        r.executor,
		Chooser:      r.balancer,
		Forwarder:    r.client,
		Claimer:      r.deduplicator,
		Budget:       r.budget,
		Tracer:       c.Tracer,
		KeyRetention: r.keyRetention,
	})
	r.receiver = receiver.New(receiver.Config{
		Instance: self,
		View:     r.callerView,
		Executor: pacer.NewExecutor(pacer.ExecutorConfig{
			Region: c.Instance.Region,
			Next:   r.coordinator,
			Pacer:  r.links.pacer,
		}),
		OnArrival:      r.meter.CountArrival,
		TrustedProxies: c.TrustedProxies,
		Stopping:       r.stopping.Load,
		Log:            c.Log,
		Tracer:         c.Tracer,
		Metrics:        r.metrics,
	})
	r.assembleServers()
}

func (r *Runner) assembleServers() {
	c := r.config
	r.acceptor = acceptor.New(acceptor.Config{
		Store:   c.Store,
		Current: r.distributor.State,
		Check:   func(configuration *pollencrank.Configuration) error { return parser.Check(configuration).Err() },
	})
	r.callers = receiver.NewServer(r.receiver, c.CallerTLS)
	r.peers = messenger.NewServer(messenger.NewHandler(messenger.HandlerConfig{
		Gossip:        r.gossip,
		Configuration: r.distributor,
		Claims:        r.deduplicator,
		Executor:      r.executor,
		Owner:         releaser{r},
		Summary:       r.surveyor,
		Suspects:      suspectReceiver{r},
		Links:         r.links,
		Load:          r.load,
	}), c.PeerServerTLS)
	if c.OperatorListener == nil {
		return
	}
	handler := administrator.New(administrator.Config{
		Token:    c.OperatorToken,
		Fleet:    operatorsFleet{r},
		Metrics:  r.metrics,
		Log:      c.Log,
		Acceptor: r.acceptor,
	})
	r.operators = administrator.NewServer(handler, c.CallerTLS)
}

// Start starts the servers and the background loops.
func (r *Runner) Start() {
	r.tomb.Go(func() error { return serve(r.callers, r.config.CallerListener) })
	r.tomb.Go(func() error { return serve(r.peers, r.config.PeerListener) })
	if r.operators != nil {
		r.tomb.Go(func() error { return serve(r.operators, r.config.OperatorListener) })
	}
	ctx := r.tomb.Context(context.Background())
	r.tomb.Go(func() error { return r.gossip.Run(ctx) })
	r.tomb.Go(func() error { return r.bootstrap(ctx) })
	r.tomb.Go(func() error { return r.executor.Run(ctx) })
	r.tomb.Go(func() error { return r.updateLoop(ctx) })
	r.tomb.Go(func() error { return r.planLoop(ctx) })
	r.tomb.Go(func() error { return r.links.run(ctx) })
	r.config.Log.Info("instance started", recorder.EventStarted.Attr())
}

func serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Dead returns a channel that is closed when the instance has stopped.
func (r *Runner) Dead() <-chan struct{} { return r.tomb.Dead() }

// Err returns the error that stopped the instance, if any.
func (r *Runner) Err() error { return r.tomb.Err() }

// Ready reports whether the instance serves callers.
func (r *Runner) Ready() bool { return r.view.Load() != nil && !r.stopping.Load() }

// Generation returns the configuration generation in force at this instance.
func (r *Runner) Generation() pollencrank.Generation { return r.distributor.Generation() }

// Instance returns this instance's record in the membership.
func (r *Runner) Instance() pollencrank.Instance { return r.gossip.Self() }

// Kill stops the instance immediately, as a crash would.
func (r *Runner) Kill() {
	r.tomb.Kill(nil)
	_ = r.callers.Close()
	_ = r.peers.Close()
	if r.operators != nil {
		_ = r.operators.Close()
	}
	_ = r.tomb.Wait()
	r.client.Close()
}

const (
	// announceGrace is how long other entries take to learn that this one is
	// leaving.
	announceGrace = 500 * time.Millisecond
	// idleCheckInterval is the interval at which a stopping instance checks for
	// requests in progress.
	idleCheckInterval = 20 * time.Millisecond
)

// Stop performs a planned stop: it hands over the instance's servers and claims,
// accepts no new requests once callers have had time to notice, completes every
// request in progress and then stops the instance. If ctx ends first, requests in
// flight are aborted.
func (r *Runner) Stop(ctx context.Context) error {
	var err error
	r.stopOnce.Do(func() { err = r.stop(ctx) })
	return err
}

func (r *Runner) stop(ctx context.Context) error {
	log := r.config.Log
	log.Info("planned stop started", recorder.EventStopping.Attr())
	r.stopping.Store(true)
	r.gossip.Announce(ctx, pollencrank.InstanceLeaving)
	sleep(ctx, r.lookupCache()+announceGrace)
	err := r.callers.Shutdown(ctx)
	for r.busy() && ctx.Err() == nil {
		sleep(ctx, idleCheckInterval)
	}
	moved, handOverErr := r.deduplicator.HandOver(ctx)
	if handOverErr != nil {
		err = errors.Join(err, fmt.Errorf("hand over claims: %w", handOverErr))
	} else if moved > 0 {
		log.Info("claims handed over", recorder.EventClaimsHandedOver.Attr(), slog.Int("claims", moved))
	}
	r.gossip.Announce(ctx, pollencrank.InstanceLeft)
	// Other entries query this instance for claims until they have learned that
	// it has left.
	sleep(ctx, announceGrace)
	err = errors.Join(err, r.peers.Shutdown(ctx))
	if r.operators != nil {
		err = errors.Join(err, r.operators.Shutdown(ctx))
	}
	r.Kill()
	log.Info("instance stopped", recorder.EventStopped.Attr())
	return err
}

// busy reports whether requests are in progress or queued, or slots are in use.
func (r *Runner) busy() bool {
	if r.receiver.Active() > 0 {
		return true
	}
	for _, load := range r.executor.Loads() {
		if load.Busy > 0 || load.Waiting > 0 {
			return true
		}
	}
	return false
}

func (r *Runner) lookupCache() time.Duration {
	if v := r.view.Load(); v != nil {
		return v.callers.Preset.LookupCache
	}
	return 0
}

// sleep pauses for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// MemberCount returns the number of running members in this instance's roster.
func (r *Runner) MemberCount() int {
	return len(r.gossip.Roster().Select(func(m pollencrank.Instance) bool { return m.State.CanAnswer() }))
}

// Settled reports whether this instance has no membership updates left to pass
// on.
func (r *Runner) Settled() bool { return r.gossip.PendingUpdates() == 0 }

// WriteMetrics writes the instance's metrics in Prometheus text format.
func (r *Runner) WriteMetrics(w io.Writer) { r.metrics.WritePrometheus(w) }
