package hoster

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
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

// newFollows makes the loops that follow the store. That of the configuration
// is the one that notices outages.
func (h *Hoster) newFollows() {
	log := h.config.Log
	h.handlers = handlers{
		servers:     &preliminary[registrar.Server]{Handler: serverHandler{Handler: h.registrar.Servers(), h: h}},
		evacuations: &preliminary[registrar.Evacuation]{Handler: h.registrar.Evacuations()},
		instances:   &preliminary[namer.Instance]{Handler: h.roster},
	}
	h.follows.configurations = follower.New(follower.Config[router.Configuration]{
		Name: "configuration", Source: h.config.Configurations, Handler: configurationHandler{h},
		Wait: shortWait, Gather: shortGather,
		OnLost: h.storeLost, OnRegained: h.storeRegained, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.servers = follower.New(follower.Config[registrar.Server]{
		Name: "servers", Source: h.config.Servers, Handler: h.handlers.servers,
		Wait: longWait, Gather: longGather,
		OnLost: h.storeLost, OnRegained: h.storeRegained, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.evacuations = follower.New(follower.Config[registrar.Evacuation]{
		Name: "evacuations", Source: h.config.Evacuations, Handler: h.handlers.evacuations,
		Wait: longWait, Gather: shortGather, OnHistoryGone: h.renewWatches, Log: log,
	})
	h.follows.instances = follower.New(follower.Config[namer.Instance]{
		Name: "instances", Source: h.config.Instances, Handler: h.handlers.instances,
		Wait: longWait, Gather: longGather, OnHistoryGone: h.renewWatches, Log: log,
	})
}

func (h *Hoster) followStore() {
	h.goUntilStopped(h.follows.configurations.Run)
	h.goUntilStopped(h.follows.servers.Run)
	h.goUntilStopped(h.follows.evacuations.Run)
	h.goUntilStopped(h.follows.instances.Run)
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

func (h *Hoster) storeLost() {
	h.storeIsLost.Store(true)
	h.registrar.StoreLost()
}

func (h *Hoster) storeRegained() {
	h.storeIsLost.Store(false)
	h.registrar.StoreRegained()
	h.renewWatches()
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
		c.h.wakeRegister()
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
	s.h.wakeRegister()
}
