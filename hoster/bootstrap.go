package hoster

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/bootstrapper"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// storePatience is how long a starting instance waits for a first answer of
	// the store before it asks other instances.
	storePatience = 600 * time.Millisecond
	// bootstrapTimeout bounds one round of questions, bootstrapPause is the
	// pause between two.
	bootstrapTimeout = time.Second
	bootstrapPause   = 300 * time.Millisecond
	// snapshotPath is where instances ask each other for what they know.
	snapshotPath = "/snapshot"
)

// preliminary passes on what the store says of a collection, and before the
// store has said anything, what another instance said.
type preliminary[V any] struct {
	follower.Handler[V]
	mu       sync.Mutex
	isListed bool
}

// Reset implements follower.Handler.
func (p *preliminary[V]) Reset(items []follower.Item[V]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isListed = true
	p.Handler.Reset(items)
}

// offer takes what another instance said.
func (p *preliminary[V]) offer(items []follower.Item[V]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isListed {
		p.Handler.Reset(items)
	}
}

// bootstrap asks other instances until this one can serve, unless the store
// answers first.
func (h *Hoster) bootstrap(ctx context.Context) error {
	pause := storePatience
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.isConfigured:
			return nil
		case <-time.After(pause):
		}
		pause = bootstrapPause
		if !h.isStoreAway() {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		snapshot, err := bootstrapper.Fetch(askCtx, h.askSnapshot, h.config.Seeds)
		cancel()
		if err != nil {
			h.config.Log.Debug("no other instance could tell what it knows", slog.Any("error", err))
			continue
		}
		h.config.Log.Warn("the instance starts with what another one knows", recorder.EventBootstrapped.Attr(),
			slog.Uint64("version", snapshot.Configuration.Version), slog.Int("servers", len(snapshot.Servers)))
		h.offer(snapshot)
	}
}

// isStoreAway reports whether the store has not answered this instance yet, or not
// any more. A long listing that is under way is no reason to ask others: when a
// large fleet starts together, all would ask the same few.
func (h *Hoster) isStoreAway() bool { return h.table.Load() == nil || h.storeIsLost.Load() }

// offer takes another instance's snapshot where the store has said nothing yet.
func (h *Hoster) offer(snapshot bootstrapper.Snapshot) {
	configurationHandler{h}.Apply([]follower.Item[router.Configuration]{{Value: snapshot.Configuration}})
	h.handlers.evacuations.offer(itemsOf(snapshot.Evacuations, func(e registrar.Evacuation) string { return e.FailureDomain }))
	h.handlers.instances.offer(itemsOf(snapshot.Instances, func(i namer.Instance) string { return i.ID }))
	h.handlers.servers.offer(itemsOf(snapshot.Servers, func(s registrar.Server) string { return s.ID }))
}

func itemsOf[V any](values []V, name func(V) string) []follower.Item[V] {
	items := make([]follower.Item[V], 0, len(values))
	for _, v := range values {
		items = append(items, follower.Item[V]{Name: name(v), Value: v})
	}
	return items
}

// snapshot returns what this instance knows. It reports false if it cannot serve
// callers itself.
func (h *Hoster) snapshot() (bootstrapper.Snapshot, bool) {
	if !h.isReady() {
		return bootstrapper.Snapshot{}, false
	}
	servers, evacuations := h.registrar.Known()
	return bootstrapper.Snapshot{
		TakenAt:       time.Now(),
		Configuration: h.table.Load().Configuration,
		Servers:       servers,
		Evacuations:   evacuations,
		Instances:     *h.roster.serving.Load(),
	}, true
}

// askSnapshot asks the instance at an address.
func (h *Hoster) askSnapshot(ctx context.Context, address string) (bootstrapper.Snapshot, error) {
	if address == h.config.Self.PeerAddress {
		return bootstrapper.Snapshot{}, fmt.Errorf("%s is this instance", address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return bootstrapper.Snapshot{}, err
	}
	response, err := h.peers.Do(request)
	if err != nil {
		return bootstrapper.Snapshot{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return bootstrapper.Snapshot{}, fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
	}
	return bootstrapper.Decode(response.Body, time.Now())
}

// noteConfigured notes that the instance can serve callers from now on.
func (h *Hoster) noteConfigured() {
	if h.table.Load() != nil && h.hasServers.Load() {
		h.configuredOnce.Do(func() { close(h.isConfigured) })
	}
}
