package forwarder

import (
	"sync"
	"time"
)

const (
	// defaultNearRTT and defaultFarRTT are the round-trip times that are assumed
	// within a region and between regions until one has been observed.
	defaultNearRTT = 2 * time.Millisecond
	defaultFarRTT  = 60 * time.Millisecond
	// rttIncreaseWeight is the weight of an observation that is longer than the
	// estimate: most such observations include waiting for something other than
	// the network.
	rttIncreaseWeight = 0.05
)

// Location is the region and failure domain of a server.
type Location struct {
	Region        string
	FailureDomain string
}

// Distances estimates the network round-trip times from this instance to locations by
// the time that it takes to open connections. It is safe for concurrent use.
type Distances struct {
	region string

	mu       sync.Mutex
	observed map[Location]time.Duration
}

// NewDistances returns the Distances of an instance in a region.
func NewDistances(region string) *Distances {
	return &Distances{region: region, observed: map[Location]time.Duration{}}
}

// Observe updates the estimate for a location with the time that it took to open a
// connection.
func (d *Distances) Observe(p Location, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.observed[p]
	if !ok || took < known {
		d.observed[p] = took
		return
	}
	d.observed[p] = known + time.Duration(float64(took-known)*rttIncreaseWeight)
}

// To returns the estimated round-trip time to a location.
func (d *Distances) To(p Location) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.observed[p]; ok {
		return known
	}
	if p.Region == d.region {
		return defaultNearRTT
	}
	return defaultFarRTT
}
