package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	defaultHealthPath = "/healthz"
	probeTimeout      = time.Second
)

// HeaderLeaving is set to "true" in the health answer of a server that is
// about to stop.
const HeaderLeaving = "X-Leaving"

// HeaderLoad is the number of requests that a server says it runs, in its
// health answer.
const HeaderLoad = "X-Load"

// UnknownLoad is the load of a server that reports none.
const UnknownLoad = -1

// Health is what a server says of itself.
type Health struct {
	OK      bool
	Leaving bool
	// Load is the number of requests that the server says it runs, or
	// UnknownLoad. The owner's own count goes before it.
	Load int
	// At is when the answer arrived.
	At time.Time
}

// Probe asks a server for its health. An error means that it did not answer.
func (d *Dispatcher) Probe(ctx context.Context, target Target) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := target.HealthPath
	if path == "" {
		path = defaultHealthPath
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, err)
	}
	response, err := d.transport(target).RoundTrip(request)
	if err != nil {
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, err)
	}
	discard(response)
	load, err := strconv.Atoi(response.Header.Get(HeaderLoad))
	if err != nil || load < 0 {
		load = UnknownLoad
	}
	return Health{
		OK:      response.StatusCode == http.StatusOK,
		Load:    load,
		Leaving: response.Header.Get(HeaderLeaving) == "true",
		At:      time.Now(),
	}, nil
}

// Warm opens connections by probing a server several times at once, so that
// the first requests find them ready.
func (d *Dispatcher) Warm(ctx context.Context, target Target, connections int) (Health, error) {
	var wait sync.WaitGroup
	for range connections - 1 {
		wait.Go(func() { _, _ = d.Probe(ctx, target) })
	}
	health, err := d.Probe(ctx, target)
	wait.Wait()
	return health, err
}
