package registrar

import "time"

const (
	// returnWindow is the time after an outage of the store in which servers can
	// write expired entries again before they are removed.
	returnWindow = 2200 * time.Millisecond
	// minLapsedShare is the share of a service's servers from which entries that are
	// missing after an outage are treated as expired. A smaller share is treated as
	// servers that have left: in an outage of the store no server can renew its
	// entry, so dozens of entries expire, while an outage that affects only this
	// instance expires none.
	minLapsedShare = 0.25
)

// lapses tracks entries that may have expired while the store was unavailable. The
// Registrar's lock guards it.
type lapses struct {
	// missing holds servers without an entry that may write it again until
	// returnBy.
	missing            map[string]bool
	isStoreUnavailable bool
	// returnBy is the deadline by which expired entries must have been written again.
	returnBy time.Time
}

// MarkStoreUnavailable records that the store does not answer this instance.
func (r *Registrar) MarkStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStoreUnavailable = true
}

// MarkStoreAvailable records that the store answers again. Only the first call after
// an outage starts the return window.
func (r *Registrar) MarkStoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isStoreUnavailable {
		return
	}
	r.isStoreUnavailable = false
	r.returnBy = r.config.Now().Add(returnWindow)
}

// Expire removes servers whose entries were not written again in time. It has to be
// called periodically.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 || r.isStoreUnavailable || r.config.Now().Before(r.returnBy) {
		return
	}
	for id := range r.missing {
		r.remove(id)
	}
	clear(r.missing)
	r.rebuild()
}

// removeOrKeepMissing removes servers, or keeps them until returnBy if their entries
// may have expired while the store was unavailable. The lock is held.
func (r *Registrar) removeOrKeepMissing(ids []string) {
	mayHaveLapsed := r.isStoreUnavailable || r.config.Now().Before(r.returnBy)
	for _, id := range ids {
		if r.backends[id] != nil {
			r.missing[id] = true
		}
	}
	missingShares := r.missingShares()
	for _, id := range ids {
		b := r.backends[id]
		if b == nil {
			continue
		}
		if mayHaveLapsed && missingShares[b.Server().Service] >= minLapsedShare {
			continue
		}
		delete(r.missing, id)
		r.remove(id)
	}
}

// missingShares returns, for each service, the share of its servers whose entries
// are missing. The lock is held.
func (r *Registrar) missingShares() map[string]float64 {
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
