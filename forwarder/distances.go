package forwarder

import (
	"sync"
	"time"
)

const (
	// nearDistance and farDistance are the round-trip times that are assumed
	// within a region and between regions until one was observed.
	nearDistance = 2 * time.Millisecond
	farDistance  = 60 * time.Millisecond
	// distanceRise is the part of a longer observation that counts: most of
	// them waited for something else than the network.
	distanceRise = 0.05
)

// Location is where a server is.
type Location struct {
	Region        string
	FailureDomain string
}

// Distances keeps the network round-trip times from this instance, learnt from
// the opening of connections. It is safe for concurrent use.
type Distances struct {
	region string

	mu       sync.Mutex
	observed map[Location]time.Duration
}

// NewDistances returns the distances from a region.
func NewDistances(region string) *Distances {
	return &Distances{region: region, observed: map[Location]time.Duration{}}
}

// Observe takes the time in which a connection was opened.
func (d *Distances) Observe(p Location, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.observed[p]
	if !ok || took < known {
		d.observed[p] = took
		return
	}
	d.observed[p] = known + time.Duration(float64(took-known)*distanceRise)
}

// To returns the round-trip time to a place.
func (d *Distances) To(p Location) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.observed[p]; ok {
		return known
	}
	if p.Region == d.region {
		return nearDistance
	}
	return farDistance
}
