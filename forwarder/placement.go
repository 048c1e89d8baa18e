package forwarder

import (
	"sync"
	"sync/atomic"

	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
)

// placement holds the servers of a service that may serve requests with a given set
// of home regions, at one version of the registrar's view. It is immutable.
type placement struct {
	version  uint64
	backends []*registrar.Backend
	// candidates and locations have the same indices as backends.
	candidates []placer.Candidate
	locations  []Location
	table      *placer.Table
}

// placementID identifies a placement.
type placementID struct {
	service string
	// homes and tenantHomes are the texts of the regions that may serve by the route and by
	// the tenant; empty means all regions.
	homes, tenantHomes string
}

// placements caches a placement for each service and set of home regions in use. It
// is safe for concurrent use.
type placements struct {
	config Config
	byID   sync.Map
}

// of returns the placement for a call and rebuilds it if the servers have changed.
func (p *placements) of(call *Call) *placement {
	id := placementID{service: call.service.Name, homes: call.Route.HomeRegionsKey(), tenantHomes: call.Tenant.HomeRegionsKey()}
	stored, ok := p.byID.Load(id)
	if !ok {
		stored, _ = p.byID.LoadOrStore(id, &atomic.Pointer[placement]{})
	}
	pointer := stored.(*atomic.Pointer[placement])
	cached := pointer.Load()
	version := p.config.Registrar.Version()
	if cached != nil && cached.version == version {
		return cached
	}
	next := p.build(call, version, cached)
	pointer.Store(next)
	return next
}

// build returns a placement of the servers that may serve a call. It reuses the table
// of the previous placement, with the orders cached in it, if the servers are the same.
func (p *placements) build(call *Call, version uint64, previous *placement) *placement {
	next := &placement{version: version}
	for _, b := range p.config.Registrar.Backends(call.service.Name) {
		s := b.Server()
		if !call.allowsRegion(s.Region) {
			continue
		}
		next.backends = append(next.backends, b)
		next.candidates = append(next.candidates, placer.Candidate{ID: s.ID, Region: s.Region, Slots: s.Slots})
		next.locations = append(next.locations, Location{Region: s.Region, FailureDomain: s.FailureDomain})
	}
	config := placer.Config{Candidates: next.candidates, Region: p.config.Region, Regions: p.config.Regions}
	if previous != nil && previous.table.Matches(config) {
		next.table = previous.table
		return next
	}
	next.table = placer.NewTable(config)
	return next
}
