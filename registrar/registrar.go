// Package registrar keeps the state of the backend servers: their entries in the
// platform's store, and the load and health that this instance has observed.
//
// The list of usable servers is an immutable view behind an atomic pointer;
// requests read it without a lock. A server that restarts under its old ID gets a
// new Backend, so that observations of the previous start don't count for it.
//
// # Usage
//
//	r := registrar.New(registrar.Config{})
//	r.Servers().Reset(items)
//	for _, backend := range r.Backends("catalogue") {
//		if backend.IsUsable(now) {
//			...
//		}
//	}
package registrar

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/recorder"
)

// Server is the entry of a backend server in the platform's store.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Incarnation distinguishes starts under the same ID.
	Incarnation int64
	// IsLeaving reports that the server accepts no new requests.
	IsLeaving bool
	// ColdUntil is when the server's warm-up ends.
	ColdUntil time.Time
}

// Evacuation is the request that the servers of a failure domain receive no requests.
type Evacuation struct {
	FailureDomain string
}

// Config is the configuration of a Registrar.
type Config struct {
	// Warmup returns how long a server of a service stays cold after a start.
	Warmup func(service string) time.Duration
	Log    *slog.Logger
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Registrar keeps the state of the backend servers. It is safe for concurrent use.
type Registrar struct {
	config Config
	view   atomic.Pointer[view]
	// paceTellers holds the services of which a server has told a pace.
	paceTellers sync.Map

	mu        sync.Mutex
	backends  map[string]*Backend
	evacuated map[string]bool
	lapses
	departures
}

// view is an immutable index of the servers that the store lists and that are not
// leaving.
type view struct {
	version   uint64
	byService map[string][]*Backend
	byID      map[string]*Backend
	byAddress map[string]*Backend
}

// New returns a Registrar without servers.
func New(config Config) *Registrar {
	if config.Now == nil {
		config.Now = time.Now
	}
	r := &Registrar{
		config:     config,
		backends:   map[string]*Backend{},
		evacuated:  map[string]bool{},
		lapses:     lapses{missing: map[string]bool{}},
		departures: departures{byID: map[string]departure{}},
	}
	r.view.Store(&view{})
	return r
}

// Backends returns the servers of a service that the store lists and that are not
// leaving, ordered by ID. The result must not be changed.
func (r *Registrar) Backends(service string) []*Backend {
	return r.view.Load().byService[service]
}

// Version returns a number that increases with every change of the servers.
func (r *Registrar) Version() uint64 { return r.view.Load().version }

// Find returns the server with an ID, or nil if it is not listed or is leaving.
func (r *Registrar) Find(id string) *Backend { return r.view.Load().byID[id] }

// FindByAddress returns the server at an address, or nil if it is not listed or is
// leaving.
func (r *Registrar) FindByAddress(address string) *Backend { return r.view.Load().byAddress[address] }

// Servers returns the handler of the entries of backend servers.
func (r *Registrar) Servers() follower.Handler[Server] { return serverHandler{r} }

// Evacuations returns the handler of the failure domains to evacuate.
func (r *Registrar) Evacuations() follower.Handler[Evacuation] { return evacuationHandler{r} }

type serverHandler struct{ *Registrar }

// Reset implements follower.Handler.
func (h serverHandler) Reset(items []follower.Item[Server]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Name] = true
		if h.isEarlierStart(item) {
			continue
		}
		isReturned := h.isReturned(item)
		h.put(h.withKnownColdness(item))
		h.backends[item.Name].era = item.Revision.Era()
		if isReturned {
			h.quarantine(item.Name)
		}
	}
	var removed []string
	for id := range h.backends {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	h.removeOrKeepMissing(removed)
	h.rebuild()
}

// Apply implements follower.Handler.
func (h serverHandler) Apply(items []follower.Item[Server]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var removed []string
	for _, item := range items {
		if item.Removed {
			removed = append(removed, item.Name)
			continue
		}
		h.observeEra(item.Revision)
		h.put(item.Value)
		h.backends[item.Name].era = item.Revision.Era()
		h.backends[item.Name].endQuarantine()
	}
	h.removeOrKeepMissing(removed)
	h.rebuild()
}

// put adds or updates a server. The lock is held.
func (r *Registrar) put(s Server) {
	delete(r.missing, s.ID)
	known := r.backends[s.ID]
	if known != nil && known.isSame(s) {
		// A start that leaves never returns. An earlier copy of the store may say so.
		s.IsLeaving = s.IsLeaving || known.Server().IsLeaving
		if s.IsLeaving && !known.Server().IsLeaving {
			r.config.Log.Info("backend server is leaving", recorder.EventServerLeaving.Attr(), slog.String("server", s.ID))
		}
		known.server.Store(&s)
		return
	}
	r.backends[s.ID] = newBackend(s)
	r.config.Log.Info("backend server added", recorder.EventServerJoined.Attr(),
		slog.String("server", s.ID), slog.String("service", s.Service), slog.String("failureDomain", s.FailureDomain),
		slog.String("address", s.Address), slog.Int64("incarnation", s.Incarnation),
		slog.String("coldFor", max(0, s.ColdUntil.Sub(r.config.Now())).String()))
}

// remove removes a server. The lock is held.
func (r *Registrar) remove(id string) {
	r.recordDeparture(r.backends[id])
	delete(r.backends, id)
	r.config.Log.Info("backend server removed", recorder.EventServerRemoved.Attr(), slog.String("server", id))
}

// rebuild publishes a new view. The lock is held.
func (r *Registrar) rebuild() {
	next := &view{version: r.view.Load().version + 1, byService: map[string][]*Backend{}, byID: map[string]*Backend{}, byAddress: map[string]*Backend{}}
	for id, b := range r.backends {
		s := b.Server()
		b.isEvacuated.Store(r.evacuated[s.FailureDomain])
		if s.IsLeaving {
			continue
		}
		next.byService[s.Service] = append(next.byService[s.Service], b)
		next.byID[id] = b
		next.byAddress[s.Address] = b
	}
	for _, backends := range next.byService {
		slices.SortFunc(backends, func(a, b *Backend) int { return cmp.Compare(a.Server().ID, b.Server().ID) })
	}
	r.view.Store(next)
}

type evacuationHandler struct{ *Registrar }

// Reset implements follower.Handler.
func (h evacuationHandler) Reset(items []follower.Item[Evacuation]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Name] = true
	}
	for domain := range h.evacuated {
		if !listed[domain] {
			h.endEvacuation(domain)
		}
	}
	for domain := range listed {
		h.evacuate(domain)
	}
	h.rebuild()
}

// Apply implements follower.Handler.
func (h evacuationHandler) Apply(items []follower.Item[Evacuation]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range items {
		if item.Removed {
			h.endEvacuation(item.Name)
			continue
		}
		h.evacuate(item.Name)
	}
	h.rebuild()
}

// evacuate stops new requests to a failure domain. The lock is held.
func (r *Registrar) evacuate(domain string) {
	if r.evacuated[domain] {
		return
	}
	r.evacuated[domain] = true
	r.config.Log.Info("failure domain evacuated; its servers receive no new requests", recorder.EventDomainEvacuated.Attr(), slog.String("failureDomain", domain))
}

// endEvacuation ends an evacuation. It marks the domain's servers as cold: they may
// have cooled down while they received no requests, and their entries in the store
// may not show it yet. The lock is held.
func (r *Registrar) endEvacuation(domain string) {
	if !r.evacuated[domain] {
		return
	}
	delete(r.evacuated, domain)
	now := r.config.Now()
	for _, b := range r.backends {
		s := b.Server()
		if s.FailureDomain == domain {
			b.MarkCold(now.Add(r.config.Warmup(s.Service)))
		}
	}
	r.config.Log.Info("evacuation of a failure domain ended; its servers count as cold", recorder.EventDomainRestored.Attr(), slog.String("failureDomain", domain))
}
