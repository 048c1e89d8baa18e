package forwarder

import (
	"sync"
	"sync/atomic"

	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
)

// placement is the servers of a service that may serve the requests of some
// homes, arranged for one version of the registrar's view. It is never changed.
type placement struct {
	version  uint64
	backends []*registrar.Backend
	// candidates and places are those of the backends.
	candidates []placer.Candidate
	places     []Location
	table      *placer.Table
}

// placementID tells placements apart.
type placementID struct {
	service string
	// homes are the only regions that may serve, as one text.
	homes string
}

// placements keeps a placement for each service and set of homes in use. It is
// safe for concurrent use.
type placements struct {
	config Config
	byID   sync.Map
}

// of returns the placement for a call, made anew if the servers have changed.
func (p *placements) of(call *Call) *placement {
	id := placementID{service: call.service.Name, homes: call.Route.Homes()}
	stored, ok := p.byID.Load(id)
	if !ok {
		stored, _ = p.byID.LoadOrStore(id, &atomic.Pointer[placement]{})
	}
	current := stored.(*atomic.Pointer[placement])
	known := current.Load()
	version := p.config.Registrar.Version()
	if known != nil && known.version == version {
		return known
	}
	next := p.build(call, version, known)
	current.Store(next)
	return next
}

// build arranges the servers that may serve a call. What the table of the last
// placement remembers is kept if the servers are the same.
func (p *placements) build(call *Call, version uint64, last *placement) *placement {
	next := &placement{version: version}
	for _, b := range p.config.Registrar.Backends(call.service.Name) {
		s := b.Server()
		if !call.Route.AllowsRegion(s.Region) {
			continue
		}
		next.backends = append(next.backends, b)
		next.candidates = append(next.candidates, placer.Candidate{ID: s.ID, Region: s.Region, Slots: s.Slots})
		next.places = append(next.places, Location{Region: s.Region, FailureDomain: s.FailureDomain})
	}
	config := placer.Config{Candidates: next.candidates, Region: p.config.Region, Regions: p.config.Regions}
	if last != nil && last.table.Holds(config) {
		next.table = last.table
		return next
	}
	next.table = placer.NewTable(config)
	return next
}
