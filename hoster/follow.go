package hoster

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/replicator"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// shortWait is the longest wait of the watch on the configuration. It is short
	// because this watch detects that the store no longer answers.
	shortWait = 3200 * time.Millisecond
	// longWait is the longest wait of the other watches.
	longWait = 15 * time.Second
	// shortBatchDelay and longBatchDelay are the pauses after a change, in which further
	// changes are batched. longBatchDelay is for collections that change often, as the
	// servers do. It is less than a third of the time within which a leaving server
	// must no longer get requests.
	shortBatchDelay = 50 * time.Millisecond
	longBatchDelay  = 700 * time.Millisecond
	// renewalPause is the minimum time between two restarts of all watches.
	renewalPause = time.Second
)

// newFollowers creates the local copies of the store's collections, the followers that
// read the collections from the store, and the replicator, which decides which followers
// have to run. The follower of the configuration detects outages.
func (h *Hoster) newFollowers() {
	log := h.config.Log
	h.state = replicator.NewState(replicator.Handlers{
		Servers:        serverHandler{Handler: h.registrar.Servers(), h: h},
		Configurations: configurationHandler{h},
		Evacuations:    h.registrar.Evacuations(),
		Instances:      h.roster,
	})
	h.followers.configurations = follower.New(follower.Config[router.Configuration]{
		Name: "configuration", Source: h.config.Configurations, Target: h.state.Configurations,
		Wait: shortWait, BatchDelay: shortBatchDelay,
		OnHealthChange: h.watchHealthChanged, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.followers.servers = follower.New(follower.Config[registrar.Server]{
		Name: "servers", Source: h.config.Servers, Target: h.state.Servers,
		Wait: longWait, BatchDelay: longBatchDelay,
		OnHealthChange: h.watchHealthChanged, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.followers.evacuations = follower.New(follower.Config[registrar.Evacuation]{
		Name: "evacuations", Source: h.config.Evacuations, Target: h.state.Evacuations,
		Wait: longWait, BatchDelay: shortBatchDelay, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.followers.instances = follower.New(follower.Config[namer.Instance]{
		Name: "instances", Source: h.config.Instances, Target: instanceTarget{h.state.Instances, h},
		Wait: longWait, BatchDelay: longBatchDelay,
		OnHealthChange: h.watchHealthChanged, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.replicator = replicator.New(replicator.Config{
		Self:         h.config.Self,
		State:        h.state,
		Store:        storeAccess{h},
		Peers:        replicator.NewClient(h.config.Self.ID, h.peers),
		Relays:       h.roster.relays,
		IsFirstStart: h.config.IsFirstStart,
		IsReady:      h.isReady,
		Seeds:        h.config.Seeds,
		OnStoreState: h.storeChanged,
		Suspended:    h.timekeeper.Suspended,
		Log:          log,
	})
}

func (h *Hoster) followStore() {
	h.goUntilStopped(h.followers.configurations.Run)
	h.goUntilStopped(h.followers.servers.Run)
	h.goUntilStopped(h.followers.evacuations.Run)
	h.goUntilStopped(h.followers.instances.Run)
	h.goUntilStopped(h.replicator.Run)
}

// storeAccess is this instance's own access to the store. It implements
// replicator.Store.
type storeAccess struct{ h *Hoster }

// watcher is a follower of any type.
type watcher interface {
	Pause()
	Resume()
}

// Watch implements replicator.Store.
func (s storeAccess) Watch(scope replicator.WatchScope) {
	setWatching(s.h.followers.instances, scope != replicator.WatchNothing)
	setWatching(s.h.followers.configurations, scope == replicator.WatchAll)
	setWatching(s.h.followers.servers, scope == replicator.WatchAll)
	setWatching(s.h.followers.evacuations, scope == replicator.WatchAll)
}

func setWatching(w watcher, isWatching bool) {
	if isWatching {
		w.Resume()
		return
	}
	w.Pause()
}

// Renew implements replicator.Store.
func (s storeAccess) Renew() { s.h.renewWatches() }

// Health implements replicator.Store.
func (s storeAccess) Health() replicator.StoreHealth {
	var health replicator.StoreHealth
	for _, f := range []interface {
		IsFailing() bool
		AnsweredAt() time.Time
	}{s.h.followers.configurations, s.h.followers.servers, s.h.followers.instances} {
		health.IsFailing = health.IsFailing || f.IsFailing()
		if at := f.AnsweredAt(); at.After(health.AnsweredAt) {
			health.AnsweredAt = at
		}
	}
	return health
}

// goUntilStopped runs a loop in the background. An error that the loop returns because
// the instance ends is ignored.
func (h *Hoster) goUntilStopped(run func(ctx context.Context) error) {
	ctx := h.tomb.Context(context.Background())
	h.tomb.Go(func() error {
		if err := run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	})
}

// watchHealthChanged is called when a watch begins to fail or succeeds again. If no watch
// is failing, all watches are restarted, because a store that has recovered may have
// dropped the other ones.
func (h *Hoster) watchHealthChanged() {
	if !(storeAccess{h}).Health().IsFailing {
		h.renewWatches()
	}
	h.replicator.Wake()
}

// storeChanged informs the registrar that the store has become unreachable for this
// instance and its peers, or reachable again.
func (h *Hoster) storeChanged(isUnavailable bool) {
	if isUnavailable {
		h.registrar.MarkStoreUnavailable()
		return
	}
	h.registrar.MarkStoreAvailable()
}

// renewWatches restarts every watch, after an outage or a loss of history in which the
// store may have dropped the watches.
func (h *Hoster) renewWatches() {
	now := time.Now()
	last := h.renewedAt.Load()
	if (last != nil && now.Sub(*last) < renewalPause) || !h.renewedAt.CompareAndSwap(last, &now) {
		return
	}
	h.followers.configurations.Interrupt()
	h.followers.servers.Interrupt()
	h.followers.evacuations.Interrupt()
	h.followers.instances.Interrupt()
}

// configurationHandler puts configurations in force.
type configurationHandler struct{ h *Hoster }

// Reset implements follower.Handler.
func (c configurationHandler) Reset(items []follower.Item[router.Configuration]) { c.Apply(items) }

// Apply implements follower.Handler. An older configuration never replaces a newer
// one, and a malformed or removed configuration leaves the one in force unchanged.
func (c configurationHandler) Apply(items []follower.Item[router.Configuration]) {
	for _, item := range items {
		if item.Removed {
			continue
		}
		current := c.h.table.Load()
		if current != nil && item.Value.Version <= current.Version {
			if item.Value.Version < current.Version {
				c.h.config.Log.Warn("an older configuration is ignored", recorder.EventConfigurationStale.Attr(),
					slog.Uint64("version", item.Value.Version), slog.Uint64("inForce", current.Version))
			}
			continue
		}
		table := router.NewTable(item.Value)
		c.h.table.Store(table)
		c.h.splitter.Prune(table)
		c.h.markConfigured()
		c.h.config.Log.Info("a configuration is in force", recorder.EventConfigurationInForce.Attr(),
			slog.Uint64("version", table.Version), slog.Int("routes", len(table.Routes)), slog.Int("tenants", len(table.Tenants)))
		c.h.logUnknownHomes(table)
		if current == nil && table.HasTenants() {
			c.h.prober.Wake()
		}
	}
}

// serverHandler passes the servers on to the registrar and records that they have been
// loaded.
type serverHandler struct {
	follower.Handler[registrar.Server]
	h *Hoster
}

// Reset implements follower.Handler.
func (s serverHandler) Reset(items []follower.Item[registrar.Server]) {
	s.Handler.Reset(items)
	s.h.hasServers.Store(true)
	s.h.markConfigured()
}

// markConfigured marks the instance as configured once it has a configuration and the
// servers.
func (h *Hoster) markConfigured() {
	if h.table.Load() != nil && h.hasServers.Load() {
		h.configuredOnce.Do(func() {
			close(h.isConfigured)
			h.config.Log.Info("the instance serves callers", recorder.EventReady.Attr())
		})
	}
}
