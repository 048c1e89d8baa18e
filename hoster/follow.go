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
	// shortWait is the wait of the watch that notices a silent store.
	shortWait = 3200 * time.Millisecond
	// longWait is the wait of the other watches.
	longWait = 15 * time.Second
	// shortGather and longGather are the pauses after a change. Servers change
	// often, and this is less than a third of the time in which one that leaves
	// has to be left alone.
	shortGather = 50 * time.Millisecond
	longGather  = 700 * time.Millisecond
	// renewalPause is the least time between two renewals of all watches.
	renewalPause = time.Second
)

// newFollows makes the copies of the store's collections, the loops that read
// them from the store, and what decides whether these must run. The loop of the
// configuration is the one that notices outages.
func (h *Hoster) newFollows() {
	log := h.config.Log
	h.state = replicator.NewState(replicator.Handlers{
		Servers:        serverHandler{Handler: h.registrar.Servers(), h: h},
		Configurations: configurationHandler{h},
		Evacuations:    h.registrar.Evacuations(),
		Instances:      h.roster,
	})
	h.follows.configurations = follower.New(follower.Config[router.Configuration]{
		Name: "configuration", Source: h.config.Configurations, Target: h.state.Configurations,
		Wait: shortWait, BatchDelay: shortGather,
		OnHealthChange: h.contactChanged, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.servers = follower.New(follower.Config[registrar.Server]{
		Name: "servers", Source: h.config.Servers, Target: h.state.Servers,
		Wait: longWait, BatchDelay: longGather,
		OnHealthChange: h.contactChanged, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.evacuations = follower.New(follower.Config[registrar.Evacuation]{
		Name: "evacuations", Source: h.config.Evacuations, Target: h.state.Evacuations,
		Wait: longWait, BatchDelay: shortGather, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.instances = follower.New(follower.Config[namer.Instance]{
		Name: "instances", Source: h.config.Instances, Target: h.state.Instances,
		Wait: longWait, BatchDelay: longGather,
		OnHealthChange: h.contactChanged, OnHistoryGone: h.renewWatches, Log: log,
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
		OnStore:      h.storeChanged,
		Suspended:    h.timekeeper.Suspended,
		Log:          log,
	})
}

func (h *Hoster) followStore() {
	h.goUntilStopped(h.follows.configurations.Run)
	h.goUntilStopped(h.follows.servers.Run)
	h.goUntilStopped(h.follows.evacuations.Run)
	h.goUntilStopped(h.follows.instances.Run)
	h.goUntilStopped(h.replicator.Run)
}

// storeAccess is this instance's own access to the store.
type storeAccess struct{ h *Hoster }

// watcher is a loop that follows a collection.
type watcher interface {
	Pause()
	Resume()
}

// Watch implements replicator.Store.
func (s storeAccess) Watch(watching replicator.Watching) {
	set(s.h.follows.instances, watching != replicator.WatchNothing)
	set(s.h.follows.configurations, watching == replicator.WatchAll)
	set(s.h.follows.servers, watching == replicator.WatchAll)
	set(s.h.follows.evacuations, watching == replicator.WatchAll)
}

func set(w watcher, isWatching bool) {
	if isWatching {
		w.Resume()
		return
	}
	w.Pause()
}

// Renew implements replicator.Store.
func (s storeAccess) Renew() { s.h.renewWatches() }

// Contact implements replicator.Store.
func (s storeAccess) Contact() replicator.Contact {
	var contact replicator.Contact
	for _, f := range []interface {
		IsFailing() bool
		AnsweredAt() time.Time
	}{s.h.follows.configurations, s.h.follows.servers, s.h.follows.instances} {
		contact.IsFailing = contact.IsFailing || f.IsFailing()
		if at := f.AnsweredAt(); at.After(contact.AnsweredAt) {
			contact.AnsweredAt = at
		}
	}
	return contact
}

// goUntilStopped runs a loop whose end with the instance is no fault.
func (h *Hoster) goUntilStopped(run func(ctx context.Context) error) {
	ctx := h.tomb.Context(context.Background())
	h.tomb.Go(func() error {
		if err := run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	})
}

// contactChanged notes that a watch has failed, or succeeds again. A store that
// is back may have forgotten the other watches.
func (h *Hoster) contactChanged() {
	if !(storeAccess{h}).Contact().IsFailing {
		h.renewWatches()
	}
	h.replicator.Wake()
}

// storeChanged notes that there is no sign of the store any more, or again.
func (h *Hoster) storeChanged(isLost bool) {
	if isLost {
		h.registrar.MarkStoreUnavailable()
		return
	}
	h.registrar.MarkStoreAvailable()
}

// renewWatches begins every watch anew, after an outage or a loss of history in
// which the store may have forgotten them.
func (h *Hoster) renewWatches() {
	now := time.Now()
	last := h.renewedAt.Load()
	if (last != nil && now.Sub(*last) < renewalPause) || !h.renewedAt.CompareAndSwap(last, &now) {
		return
	}
	h.follows.configurations.Interrupt()
	h.follows.servers.Interrupt()
	h.follows.evacuations.Interrupt()
	h.follows.instances.Interrupt()
}

// configurationHandler puts configurations in force.
type configurationHandler struct{ h *Hoster }

// Reset implements follower.Handler.
func (c configurationHandler) Reset(items []follower.Item[router.Configuration]) { c.Apply(items) }

// Apply implements follower.Handler. An older configuration never replaces a
// newer one, and a malformed or missing one changes nothing.
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
		c.h.splitter.Keep(table)
		c.h.noteConfigured()
		c.h.config.Log.Info("a configuration is in force", recorder.EventConfigurationInForce.Attr(),
			slog.Uint64("version", table.Version), slog.Int("routes", len(table.Routes)))
	}
}

// serverHandler notes that the servers are known.
type serverHandler struct {
	follower.Handler[registrar.Server]
	h *Hoster
}

// Reset implements follower.Handler.
func (s serverHandler) Reset(items []follower.Item[registrar.Server]) {
	s.Handler.Reset(items)
	s.h.hasServers.Store(true)
	s.h.noteConfigured()
}

// noteConfigured notes that the instance can serve callers from now on.
func (h *Hoster) noteConfigured() {
	if h.table.Load() != nil && h.hasServers.Load() {
		h.configuredOnce.Do(func() {
			close(h.isConfigured)
			h.config.Log.Info("the instance serves callers", recorder.EventReady.Attr())
		})
	}
}
