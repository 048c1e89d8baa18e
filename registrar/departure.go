package registrar

import (
	"time"

	"github.com/pollencrank/pollencrank/follower"
)

const (
	// departureMemory is how long a server that has left is remembered. It is longer than
	// the age of any copy of the store.
	departureMemory = 2 * time.Minute
	// quarantineTime is the time after which the store removes the entry of a server that
	// does not renew it.
	quarantineTime = 6 * time.Second
)

// departures remembers the servers that have left, because a store that comes back from
// an earlier copy may list them again. The Registrar's lock guards it.
type departures struct {
	byID map[string]departure
	// era is the latest era of the store that an item has shown.
	era uint64
}

// departure is the end of one start of a server, as the store showed it.
type departure struct {
	incarnation int64
	era         uint64
	at          time.Time
}

func (r *Registrar) observeEra(position follower.Position) { r.era = max(r.era, position.Era()) }

// recordDeparture remembers that a server has left. The lock is held.
func (r *Registrar) recordDeparture(b *Backend) {
	if b == nil {
		return
	}
	now := r.config.Now()
	for id, d := range r.departures.byID {
		if now.Sub(d.at) > departureMemory {
			delete(r.departures.byID, id)
		}
	}
	s := b.Server()
	r.departures.byID[s.ID] = departure{incarnation: s.Incarnation, era: r.era, at: now}
}

// isReturned reports whether a listed server had left in an earlier era of the store. The
// lock is held.
func (r *Registrar) isReturned(item follower.Item[Server]) bool {
	r.observeEra(item.Revision)
	d, hasLeft := r.departures.byID[item.Name]
	return hasLeft && r.backends[item.Name] == nil && d.incarnation == item.Value.Incarnation && item.Revision.Era() > d.era
}

// isEarlierStart reports whether an earlier copy of the store lists an earlier start of a
// server than the known one. The lock is held.
func (r *Registrar) isEarlierStart(item follower.Item[Server]) bool {
	known := r.backends[item.Name]
	return known != nil && item.Value.Incarnation < known.Server().Incarnation && item.Revision.Era() > known.era
}

// withKnownColdness returns the server of an item. An earlier copy of the store does not
// show that a server has become cold since. The lock is held.
func (r *Registrar) withKnownColdness(item follower.Item[Server]) Server {
	s := item.Value
	known := r.backends[item.Name]
	if known == nil || !known.isSame(s) || item.Revision.Era() <= known.era {
		return s
	}
	if known.Server().ColdUntil.After(s.ColdUntil) {
		s.ColdUntil = known.Server().ColdUntil
	}
	return s
}

// quarantine keeps new requests from a server until the store must have removed its entry,
// or the server has written it again. The lock is held.
func (r *Registrar) quarantine(id string) {
	b := r.backends[id]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantinedUntil = r.config.Now().Add(quarantineTime)
}

// endQuarantine lets a server receive requests that has written its entry.
func (b *Backend) endQuarantine() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantinedUntil = time.Time{}
}
