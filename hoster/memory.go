package hoster

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/stager"
)

// Parts of the instance's memory that are held for callers and servers, as divisors.
const (
	// largeDivisor is that of all large bodies of requests, and of all large answers.
	largeDivisor = 8
	// shortDivisor is that of all short ones, and of the headers of running requests.
	shortDivisor = 16
	// defaultMemoryBytes is divided if the memory of the instance is not known.
	defaultMemoryBytes = 256 << 20
	// shareDivisor divides the part of all large answers into what one connection may hold.
	shareDivisor = 8
)

// heldBounds bounds the bytes that are held for callers and servers.
type heldBounds struct {
	largeBodies, shortBodies   int64
	largeAnswers, shortAnswers int64
	requestHeaders             int64
	// perConnection bounds what is held for one connection of a caller.
	perConnection int64
}

// newHeldBounds divides the memory of an instance. Zero means that it is not known.
func newHeldBounds(memoryBytes int64) heldBounds {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	large, short := memoryBytes/largeDivisor, memoryBytes/shortDivisor
	return heldBounds{
		largeBodies: large, shortBodies: short,
		largeAnswers: large, shortAnswers: short,
		requestHeaders: short,
		// An answer that is held as a whole must fit.
		perConnection: max(large/shareDivisor, forwarder.MaxBufferedAnswerBytes),
	}
}

// heldBytes holds the bodies of requests and the answers.
type heldBytes struct {
	bounds  heldBounds
	bodies  *stager.Stager
	answers *stager.Stager
}

func newHeldBytes(memoryBytes int64) heldBytes {
	bounds := newHeldBounds(memoryBytes)
	return heldBytes{
		bounds:  bounds,
		bodies:  stager.New(stager.Config{Total: bounds.largeBodies, ShortTotal: bounds.shortBodies}),
		answers: forwarder.NewAnswerStager(bounds.largeAnswers, bounds.shortAnswers),
	}
}

// connContext returns the context of a caller's connection, with its share of the memory.
func (h heldBytes) connContext(ctx context.Context) context.Context {
	return stager.WithShare(ctx, stager.NewShare(h.bounds.perConnection))
}

// export adds the metrics of what is held to a set.
func (h heldBytes) export(set *metrics.Set, callers *pipeliner.Server) {
	set.NewGauge(`pollencrank_held_bytes{of="bodies"}`, func() float64 { return float64(h.bodies.Reserved()) })
	set.NewGauge(`pollencrank_held_bytes{of="answers"}`, func() float64 { return float64(h.answers.Reserved()) })
	set.NewGauge(`pollencrank_held_bytes{of="headers"}`, func() float64 { return float64(callers.RequestBytes()) })
}
