package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// settlingTime passes between the start of the entries and the first request: the bound
// contact.
const settlingTime = 4 * time.Second

// dose is how often and how long upstreams are faulty.
type dose struct {
	// upstreams is the number of faulty upstreams, the first ones.
	upstreams int
	// share is the share of their answers that are concerned.
	share float64
	// span is how long they are faulty, pause how long they are not after that, and times
	// how often this comes.
	span, pause time.Duration
	times       int

	began atomic.Pointer[time.Time]
}

// begin begins the first span and returns the end of the last pause.
func (d *dose) begin() time.Time {
	now := time.Now()
	d.began.Store(&now)
	return now.Add(time.Duration(d.times) * (d.span + d.pause))
}

// strikes decides at random whether the next answer of an upstream is concerned.
func (d *dose) strikes(upstream int) bool {
	began := d.began.Load()
	return upstream < d.upstreams && began != nil && time.Since(*began)%(d.span+d.pause) < d.span && rand.Float64() < d.share
}
