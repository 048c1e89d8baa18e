package registrar

import "time"

const (
	// returnWindow is how long servers whose entries lapsed while the store was
	// away have to write them again, before they count as gone.
	returnWindow = 2200 * time.Millisecond
	// lapsedShare is the share of a service's servers from which entries that are
	// missing after an outage are taken for lapsed. Fewer have left: when the
	// store is away, servers cannot write and lapse by the dozen, and when only
	// this instance was cut off from it, none does.
	lapsedShare = 0.25
)

// lapses is what a Registrar keeps of entries that may have lapsed while the
// store was away. The Registrar's lock guards it.
type lapses struct {
	// missing are servers whose entries are gone and that may return until
	// returnBy.
	missing     map[string]bool
	storeIsLost bool
	// returnBy is the deadline by which lapsed entries must be back.
	returnBy time.Time
}

// MarkStoreUnavailable says that the store does not answer this instance.
func (r *Registrar) MarkStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeIsLost = true
}

// MarkStoreAvailable says that the store answers again. The first call after an outage
// counts.
func (r *Registrar) MarkStoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeIsLost {
		return
	}
	r.storeIsLost = false
	r.returnBy = r.config.Now().Add(returnWindow)
}

// Expire removes servers that did not come back in time. It is called now and
// then.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 || r.storeIsLost || r.config.Now().Before(r.returnBy) {
		return
	}
	for id := range r.missing {
		r.drop(id)
	}
	clear(r.missing)
	r.rebuild()
}

// remove forgets servers, or gives them time to return if their entries may have
// lapsed while the store was away. The lock is held.
func (r *Registrar) remove(ids []string) {
	mayHaveLapsed := r.storeIsLost || r.config.Now().Before(r.returnBy)
	for _, id := range ids {
		if r.backends[id] != nil {
			r.missing[id] = true
		}
	}
	absent := r.absent()
	for _, id := range ids {
		b := r.backends[id]
		if b == nil {
			continue
		}
		if mayHaveLapsed && absent[b.Server().Service] >= lapsedShare {
			continue
		}
		delete(r.missing, id)
		r.drop(id)
	}
}

// absent returns, for each service, the share of its servers whose entries are
// missing. The lock is held.
func (r *Registrar) absent() map[string]float64 {
	all, missing := map[string]int{}, map[string]int{}
	for id, b := range r.backends {
		service := b.Server().Service
		all[service]++
		if r.missing[id] {
			missing[service]++
		}
	}
	shares := make(map[string]float64, len(all))
	for service, count := range all {
		shares[service] = float64(missing[service]) / float64(count)
	}
	return shares
}
