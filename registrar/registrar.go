// Package registrar knows the backend servers: what the platform's store says
// of them, and what this instance has seen of them itself.
//
// The list of usable servers is an immutable view behind an atomic pointer;
// requests read it without a lock. A server that starts again under its old ID
// is a new Backend, so that nothing seen of the old one counts for it.
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

// returnWindow is how long servers whose entries lapsed while the store was away
// have to write them again, before they count as gone.
const returnWindow = 2200 * time.Millisecond

// Server is what the platform says of a backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Incarnation tells starts under the same ID apart.
	Incarnation int64
	// IsLeaving says that the server takes no new work.
	IsLeaving bool
	// ColdUntil is when the server will have warmed up.
	ColdUntil time.Time
}

// Evacuation asks that the servers of a failure domain get nothing.
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

// Registrar keeps the backend servers. It is safe for concurrent use.
type Registrar struct {
	config Config
	view   atomic.Pointer[view]

	mu        sync.Mutex
	backends  map[string]*Backend
	evacuated map[string]bool
	// missing holds servers whose entries are gone, until the deadline by
	// which they must be back.
	missing     map[string]time.Time
	storeIsLost bool
	// believeAfter is the moment before which a removal may be the trace of an
	// outage of the store.
	believeAfter time.Time
}

// view is the servers that the store knows as serving. It is never changed.
type view struct {
	byService map[string][]*Backend
	byID      map[string]*Backend
	byAddress map[string]*Backend
}

// New returns a Registrar that knows no server.
func New(config Config) *Registrar {
	if config.Now == nil {
		config.Now = time.Now
	}
	r := &Registrar{
		config:    config,
		backends:  map[string]*Backend{},
		evacuated: map[string]bool{},
		missing:   map[string]time.Time{},
	}
	r.view.Store(&view{})
	return r
}

// Backends returns the servers of a service that the store knows as serving, in
// order of their IDs. The result must not be changed.
func (r *Registrar) Backends(service string) []*Backend {
	return r.view.Load().byService[service]
}

// Find returns the server with an ID that the store knows as serving, or nil.
func (r *Registrar) Find(id string) *Backend { return r.view.Load().byID[id] }

// At returns the server at an address that the store knows as serving, or nil.
func (r *Registrar) At(address string) *Backend { return r.view.Load().byAddress[address] }

// Known returns every server, also those that leave, and the failure domains that
// are to get nothing.
func (r *Registrar) Known() ([]Server, []Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := make([]Server, 0, len(r.backends))
	for _, b := range r.backends {
		server := b.Server()
		server.ColdUntil = b.warmAt()
		servers = append(servers, server)
	}
	evacuations := make([]Evacuation, 0, len(r.evacuated))
	for domain := range r.evacuated {
		evacuations = append(evacuations, Evacuation{FailureDomain: domain})
	}
	return servers, evacuations
}

// StoreLost says that the store does not answer this instance.
func (r *Registrar) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeIsLost = true
}

// StoreRegained says that the store answers again.
func (r *Registrar) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeIsLost = false
	r.believeAfter = r.config.Now().Add(returnWindow)
}

// Expire removes servers that did not come back in time. It is called now and
// then.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	changed := false
	for id, deadline := range r.missing {
		if r.storeIsLost || now.Before(deadline) {
			continue
		}
		delete(r.missing, id)
		r.drop(id)
		changed = true
	}
	if changed {
		r.rebuild()
	}
}

// Servers takes the entries of backend servers.
func (r *Registrar) Servers() follower.Handler[Server] { return serverHandler{r} }

// Evacuations takes the failure domains that are to get nothing.
func (r *Registrar) Evacuations() follower.Handler[Evacuation] { return evacuationHandler{r} }

type serverHandler struct{ *Registrar }

// Reset implements follower.Handler.
func (h serverHandler) Reset(items []follower.Item[Server]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Name] = true
		h.put(item.Value)
	}
	for id := range h.backends {
		if !listed[id] {
			h.remove(id)
		}
	}
	h.rebuild()
}

// Apply implements follower.Handler.
func (h serverHandler) Apply(items []follower.Item[Server]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range items {
		if item.Removed {
			h.remove(item.Name)
			continue
		}
		h.put(item.Value)
	}
	h.rebuild()
}

// put adds or updates a server. The lock is held.
func (r *Registrar) put(s Server) {
	delete(r.missing, s.ID)
	known := r.backends[s.ID]
	if known != nil && known.isSame(s) {
		if s.IsLeaving && !known.Server().IsLeaving {
			r.config.Log.Info("a backend server is leaving", recorder.EventServerLeaving.Attr(), slog.String("server", s.ID))
		}
		known.server.Store(&s)
		return
	}
	r.backends[s.ID] = newBackend(s)
	r.config.Log.Info("a backend server is in use", recorder.EventServerJoined.Attr(),
		slog.String("server", s.ID), slog.String("service", s.Service), slog.String("failureDomain", s.FailureDomain),
		slog.String("address", s.Address), slog.Int64("incarnation", s.Incarnation),
		slog.String("coldFor", max(0, s.ColdUntil.Sub(r.config.Now())).String()))
}

// remove forgets a server, or gives it time to return if its entry may have
// lapsed while the store was away. The lock is held.
func (r *Registrar) remove(id string) {
	if r.backends[id] == nil {
		return
	}
	if _, waiting := r.missing[id]; waiting {
		return
	}
	if r.config.Now().Before(r.believeAfter) {
		r.missing[id] = r.believeAfter
		return
	}
	r.drop(id)
}

// drop forgets a server. The lock is held.
func (r *Registrar) drop(id string) {
	delete(r.backends, id)
	r.config.Log.Info("a backend server is gone", recorder.EventServerGone.Attr(), slog.String("server", id))
}

// rebuild publishes a new view. The lock is held.
func (r *Registrar) rebuild() {
	next := &view{byService: map[string][]*Backend{}, byID: map[string]*Backend{}, byAddress: map[string]*Backend{}}
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
	asked := map[string]bool{}
	for _, item := range items {
		asked[item.Name] = true
	}
	for domain := range h.evacuated {
		if !asked[domain] {
			h.takeBack(domain)
		}
	}
	for domain := range asked {
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
			h.takeBack(item.Name)
			continue
		}
		h.evacuate(item.Name)
	}
	h.rebuild()
}

// evacuate empties a failure domain. The lock is held.
func (r *Registrar) evacuate(domain string) {
	if r.evacuated[domain] {
		return
	}
	r.evacuated[domain] = true
	r.config.Log.Info("a failure domain is to get nothing", recorder.EventDomainEvacuated.Attr(), slog.String("failureDomain", domain))
}

// takeBack ends an evacuation. The domain's servers may have become cold, and
// the store may not say so yet. The lock is held.
func (r *Registrar) takeBack(domain string) {
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
	r.config.Log.Info("a failure domain is taken back", recorder.EventDomainTakenBack.Attr(), slog.String("failureDomain", domain))
}
