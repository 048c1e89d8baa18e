// Package hoster assembles an instance that is hosted on a platform. The instance
// reads the platform's store, answers requests and look-ups of callers, and performs
// a planned stop when its context ends.
//
// # Usage
//
//	h := hoster.New(hoster.Config{Self: self, Servers: servers, ...})
//	err := h.Run(ctx)
package hoster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/disseminator"
	"github.com/pollencrank/pollencrank/expirer"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/prober"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/remover"
	"github.com/pollencrank/pollencrank/replicator"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/timekeeper"
	"github.com/pollencrank/pollencrank/warmer"
)

// Dialect defines how a deployment uses headers, towards callers and servers.
type Dialect interface {
	dispatcher.Dialect
	relayer.Dialect
}

// Registry writes the entries of instances in the platform's store.
type Registry interface {
	Register(ctx context.Context, instance namer.Instance) error
	// Remove removes an entry. Unless revision is zero, it must be the current
	// revision of the entry.
	Remove(ctx context.Context, id string, revision follower.Position) error
}

// Lookups defines how callers of a deployment look up the instances to connect to.
type Lookups struct {
	LookupPath string
	ReadyPath  string
	Read       func(r *http.Request) namer.Caller
	Write      func(w http.ResponseWriter, named []namer.Instance, lifetime time.Duration) error
}

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Lookups net.Listener
	Peers   net.Listener
	Metrics net.Listener
}

// Config is the configuration of a Hoster.
type Config struct {
	Self namer.Instance
	// RegionOf maps failure domains to their regions.
	RegionOf  map[string]string
	Listeners Listeners
	Dialect   Dialect
	Lookups   Lookups
	Registry  Registry

	Servers        follower.Source[registrar.Server]
	Configurations follower.Source[router.Configuration]
	Evacuations    follower.Source[registrar.Evacuation]
	Instances      follower.Source[namer.Instance]
	// Seeds are peer addresses of other instances, from which this instance
	// bootstraps if the store does not answer at the start. Some may be stale.
	Seeds []string

	// IsFirstStart is set if the whole fleet starts for the first time.
	IsFirstStart bool

	Bounds Bounds
	// MemoryBytes is the memory that the process may use. Zero means that it is not known.
	MemoryBytes int64
	// SampleEvery is the sampling interval of the log: one of SampleEvery answered
	// requests is logged. Zero selects the default.
	SampleEvery int
	Log         *slog.Logger
}

// Bounds are the limits that may change while the instance runs.
type Bounds struct {
	// Retries is the retry budget of the whole fleet.
	Retries limiter.WindowConfig
	// Quotas bound the requests of each tenant of all instances together.
	Quotas rationer.Bounds
	// StopGrace is the time from the signal to stop until the platform kills the
	// process.
	StopGrace time.Duration
	// LookupLifetime is the longest time for which callers may cache the answer to
	// a look-up.
	LookupLifetime time.Duration
}

// Hoster is one hosted instance.
type Hoster struct {
	config    Config
	tomb      tomb.Tomb
	table     atomic.Pointer[router.Table]
	splitter  *router.Splitter
	registrar *registrar.Registrar
	warmer    *warmer.Warmer
	// membership says among which instances the bounds of the whole fleet are divided.
	membership *apportioner.Membership
	// restart finds out whether the whole fleet has started anew.
	restart     apportioner.Restart
	apportioner *apportioner.Apportioner
	rationer    *rationer.Rationer
	budgets     *forwarder.Budgets
	distances   *forwarder.Distances
	isolator    *isolator.Isolator
	sender      *dispatcher.Dispatcher
	broadcaster *suspectBroadcaster
	rerouter    *rerouter.Rerouter
	cutOffPeers cutOffPeers
	forwarder   *forwarder.Forwarder
	relayer     *relayer.Relayer
	held        heldBytes
	idles       *relayer.IdleCloser
	prober      *prober.Prober
	roster      *roster
	remover     *remover.Remover
	// disseminator tells other instances which ones count as dead here.
	disseminator *disseminator.Disseminator
	// state is the local copy of the store's collections; replicator keeps it up to
	// date.
	state      *replicator.State
	replicator *replicator.Replicator
	followers  followers
	timekeeper *timekeeper.Timekeeper
	// peers is the client for calls to other instances.
	peers *http.Client
	// isConfigured is closed when the instance has a configuration and the
	// servers, which it needs to serve callers.
	isConfigured   chan struct{}
	configuredOnce sync.Once
	startedAt      time.Time

	hasServers atomic.Bool
	isStopping atomic.Bool
	// renewedAt is when all watches were last restarted.
	renewedAt atomic.Pointer[time.Time]
	// bounds are the limits in force.
	bounds atomic.Pointer[Bounds]
	// registerNow wakes the register loop.
	registerNow chan struct{}
}

// followers are the loops that read the store's collections.
type followers struct {
	configurations *follower.Follower[router.Configuration]
	servers        *follower.Follower[registrar.Server]
	evacuations    *follower.Follower[registrar.Evacuation]
	instances      *follower.Follower[namer.Instance]
}

// New assembles an instance.
func New(config Config) *Hoster {
	h := &Hoster{
		config:       config,
		splitter:     router.NewSplitter(),
		distances:    forwarder.NewDistances(config.Self.Region),
		idles:        relayer.NewIdleCloser(),
		registerNow:  make(chan struct{}, 1),
		peers:        newPeerClient(),
		isConfigured: make(chan struct{}),
		startedAt:    time.Now(),
		timekeeper:   timekeeper.New(),
		cutOffPeers:  cutOffPeers{until: map[string]time.Time{}},
	}
	h.bounds.Store(&config.Bounds)
	h.membership = apportioner.NewMembership(apportioner.MembershipConfig{Self: memberOf(config.Self), StartedAt: h.startedAt, MayBeIsolated: h.mayBeIsolated})
	h.warmer = warmer.New(h.membership)
	h.budgets = forwarder.NewBudgets(forwarder.BudgetsConfig{
		Retries: config.Bounds.Retries, Membership: h.membership, MinInstances: len(config.RegionOf),
	})
	h.apportioner = apportioner.New(apportioner.Config{Membership: h.membership, Lender: lender{h}, Log: config.Log})
	h.rationer = h.newRationer()
	h.registrar = registrar.New(registrar.Config{Warmup: h.warmup, Log: config.Log})
	h.roster = newRoster(h)
	h.isolator = isolator.New(isolator.Config{})
	h.broadcaster = &suspectBroadcaster{client: h.peers, peers: h.roster.peers, log: config.Log}
	h.prober = prober.New(prober.Config{
		Self:              config.Self.ID,
		Probe:             h.requestState,
		OnVerdict:         h.verdictChanged,
		Domain:            config.Self.FailureDomain,
		ProbesMoreAtStart: h.asksForRestart,
		OnChange:          h.roster.publish,
		Log:               config.Log,
	})
	h.held = newHeldBytes(config.MemoryBytes)
	h.rerouter = h.newRerouter()
	h.forwarder = h.newForwarder()
	h.relayer = relayer.New(relayer.Config{
		Table:       h.table.Load,
		Ready:       h.isConfigured,
		Forwarder:   h.forwarder,
		Quotas:      h.rationer,
		Dialect:     config.Dialect,
		Stager:      h.held.bodies,
		SampleEvery: config.SampleEvery,
		Log:         config.Log,
	})
	h.newFollowers()
	h.remover = h.newRemover()
	h.disseminator = h.newDisseminator()
	return h
}

// SetBounds changes the limits in force.
func (h *Hoster) SetBounds(bounds Bounds) {
	h.bounds.Store(&bounds)
	h.budgets.SetConfig(bounds.Retries)
	h.rationer.SetBounds(bounds.Quotas)
}

func (h *Hoster) newForwarder() *forwarder.Forwarder {
	h.sender = dispatcher.New(dispatcher.Config{
		DialContext:        h.dial,
		Dialect:            h.config.Dialect,
		OnReport:           h.report,
		IdleTimeout:        serverIdleTimeout,
		HasProbeConnection: true,
		Log:                h.config.Log,
	})
	regions := map[string]bool{}
	for _, region := range h.config.RegionOf {
		regions[region] = true
	}
	return forwarder.New(forwarder.Config{
		Region:    h.config.Self.Region,
		Regions:   len(regions),
		Registrar: h.registrar,
		Sender:    h.sender,
		Warmer:    h.warmer,
		Probe:     h.probe,
		TellsPace: h.registrar.TellsPace,
		Limits:    h.apportioner,
		Splitter:  h.splitter,
		Budgets:   h.budgets,
		Distances: h.distances,
		Suspended: h.timekeeper.Suspended,
		Rerouter:  h.rerouter,

		AnswerStager: h.held.answers,

		Suspects: forwarder.Suspects{Isolator: h.isolator, IsDown: isDown, Broadcast: h.broadcaster.enqueue},
		Log:      h.config.Log,
	})
}

// warmup returns how long a server of a service is cold after its start.
func (h *Hoster) warmup(service string) time.Duration {
	table := h.table.Load()
	if table == nil {
		return 0
	}
	return table.Services[service].Warmup
}

// Run runs the instance until ctx ends and then performs a planned stop.
func (h *Hoster) Run(ctx context.Context) error {
	h.config.Log.Info("the instance has started", recorder.EventStarted.Attr(),
		slog.String("instance", h.config.Self.ID), slog.String("failureDomain", h.config.Self.FailureDomain),
		slog.String("region", h.config.Self.Region), slog.String("callers", h.config.Self.CallerAddress))
	callers := h.newCallerServer()
	h.serve(callers, h.config.Listeners.Callers)
	h.serveHTTP(h.readyHandler(), h.config.Listeners.Ready)
	h.serveHTTP(h.lookupHandler(), h.config.Listeners.Lookups)
	h.serveHTTP(h.peerHandler(), h.config.Listeners.Peers)
	h.serveHTTP(h.metricsHandler(callers), h.config.Listeners.Metrics)
	h.followStore()
	h.tomb.Go(h.register)
	h.tomb.Go(h.sweep)
	h.goUntilStopped(h.prober.Run)
	h.goUntilStopped(h.remover.Run)
	h.goUntilStopped(h.disseminator.Run)
	h.tomb.Go(h.publishAfterConfirmTime)
	select {
	case <-h.tomb.Dying():
		return h.tomb.Wait()
	case <-ctx.Done():
	}
	h.stop(callers)
	h.tomb.Kill(nil)
	err := h.tomb.Wait()
	h.rerouter.Close()
	h.forwarder.Wait()
	h.broadcaster.wait()
	return err
}

// newCallerServer returns the server for the connections of callers.
func (h *Hoster) newCallerServer() *pipeliner.Server {
	return pipeliner.New(pipeliner.Config{
		Handler:           h.relayer,
		MayOverlap:        h.relayer.MayOverlap,
		RunsAlone:         h.relayer.RunsAlone,
		ConnState:         h.idles.Track,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		MaxHeldBytes:      h.held.bounds.perConnection,
		MaxRequestBytes:   h.held.bounds.requestHeaders,
		RefuseFull:        http.HandlerFunc(h.relayer.RefuseFull),
		ConnContext:       h.held.connContext,
		Log:               h.config.Log,
	})
}

// server is an http.Server or a pipeliner.Server.
type server interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// serve runs a server on a listener until the instance ends.
func (h *Hoster) serve(server server, listener net.Listener) {
	h.tomb.Go(func() error {
		err := server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("listener %s: %w", listener.Addr(), err)
		}
		return nil
	})
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		return server.Close()
	})
}

// serveHTTP runs a handler on a listener until the instance ends.
func (h *Hoster) serveHTTP(handler http.Handler, listener net.Listener) {
	h.serve(&http.Server{Handler: handler}, expirer.Listener{Listener: listener})
}

// publishAfterConfirmTime publishes the roster again after confirmTime. From then on
// look-ups also name instances that have not answered this one: instances that were
// started together with this one have had time to start up.
func (h *Hoster) publishAfterConfirmTime() error {
	select {
	case <-h.tomb.Dying():
	case <-time.After(confirmTime):
		h.roster.publish()
	}
	return nil
}

// isReady reports whether the instance can serve callers and is not stopping.
func (h *Hoster) isReady() bool {
	return h.table.Load() != nil && h.hasServers.Load() && !h.isStopping.Load()
}
