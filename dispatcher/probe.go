package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	defaultHealthPath = "/healthz"
	probeTimeout      = time.Second
)

// HeaderLeaving is "true" in the health answer of a server that is about to stop.
const HeaderLeaving = "X-Leaving"

// HeaderLoad is the number of running requests that a server reports in its health
// answer.
const HeaderLoad = "X-Load"

// UnknownLoad is the load of a server that does not report its load.
const UnknownLoad = -1

// Health is the state that a server reports in its health answer.
type Health struct {
	OK      bool
	Leaving bool
	// Load is the number of running requests that the server reports, or
	// UnknownLoad. The count that the server's owner keeps takes precedence.
	Load int
	// At is when the answer arrived.
	At time.Time
}

// Probe requests the health of a server. It returns an error if the server did not
// answer. It needs none of the connections for requests.
func (d *Dispatcher) Probe(ctx context.Context, target Target) (Health, error) {
	return d.probe(ctx, target, d.transport(target).probes)
}

func (d *Dispatcher) probe(ctx context.Context, target Target, transport *http.Transport) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := target.HealthPath
	if path == "" {
		path = defaultHealthPath
	}
	var attempt attempt
	request, err := http.NewRequestWithContext(attempt.withTrace(ctx), http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, err)
	}
	if err := d.invalidAnswer(target, response, &attempt); err != nil {
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, err)
	}
	if !d.config.Dialect.IsAnswerTo(&pollencrank.Request{}, response.Header) {
		attempt.abandonConnection()
		_ = response.Body.Close()
		return Health{}, fmt.Errorf("probe server %s: %w", target.Name, foreignAnswer(target, response))
	}
	attempt.finish()
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

// Warm opens connections by sending concurrent probes to a server, so that the first
// requests need not wait for connections to be established.
func (d *Dispatcher) Warm(ctx context.Context, target Target, connections int) (Health, error) {
	transport := d.transport(target).requests
	var wait sync.WaitGroup
	for range connections - 1 {
		wait.Go(func() { _, _ = d.probe(ctx, target, transport) })
	}
	health, err := d.probe(ctx, target, transport)
	wait.Wait()
	return health, err
}
