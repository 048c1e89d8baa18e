// Package ejector decides which backend servers get no requests because this
// instance observed failures of them, and bounds how many may be ejected at once.
//
// # Usage
//
//	e := ejector.New(ejector.Config{})
//	e.Observe("catalogue-1", ejector.Failure, time.Now())
//	for _, name := range e.Ejected(names, time.Now()) {
//		// Send the server no requests.
//	}
package ejector

import (
	"slices"
	"sync"
	"time"
)

// Result is an observed outcome of a request to a server.
type Result uint8

// Results.
const (
	Success Result = iota
	Failure
)

const (
	defaultThreshold = 3
	defaultMaxShare  = 0.5
	firstEjection    = time.Second
	longestEjection  = 30 * time.Second
)

// Config is the configuration of an Ejector.
type Config struct {
	// Threshold is the number of failures in a row that eject a server.
	Threshold int
	// MaxShare is the largest share of the servers that may be ejected. If more
	// servers seem to fail, the measurement is taken to be wrong.
	MaxShare float64
}

// Ejector tracks the failures of servers and ejects those that fail repeatedly.
type Ejector struct {
	config Config

	mu      sync.Mutex
	servers map[string]*serverState
}

type serverState struct {
	failures  int
	ejections int
	until     time.Time
}

// New returns an Ejector.
func New(config Config) *Ejector {
	if config.Threshold <= 0 {
		config.Threshold = defaultThreshold
	}
	if config.MaxShare <= 0 {
		config.MaxShare = defaultMaxShare
	}
	return &Ejector{config: config, servers: map[string]*serverState{}}
}

// Observe records a result and reports whether it ejects the server.
func (e *Ejector) Observe(server string, result Result, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.servers[server]
	if r == nil {
		if result == Success {
			return false
		}
		r = &serverState{}
		e.servers[server] = r
	}
	if result == Success {
		delete(e.servers, server)
		return false
	}
	r.failures++
	if r.failures < e.config.Threshold || now.Before(r.until) {
		return false
	}
	r.until = now.Add(backoff(r.ejections))
	r.ejections++
	return true
}

// backoff returns the duration of an ejection, which doubles with each one in a row.
func backoff(ejections int) time.Duration {
	const maxDoublings = 5
	return min(longestEjection, firstEjection<<min(ejections, maxDoublings))
}

// Ejected returns the servers among names that get no requests now: those with the
// most failures first, and never more than the configured share.
func (e *Ejector) Ejected(names []string, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ejected []string
	for _, name := range names {
		if r := e.servers[name]; r != nil && now.Before(r.until) {
			ejected = append(ejected, name)
		}
	}
	slices.SortStableFunc(ejected, func(a, b string) int {
		return e.servers[b].failures - e.servers[a].failures
	})
	limit := int(float64(len(names)) * e.config.MaxShare)
	return ejected[:min(limit, len(ejected))]
}

// NextChange returns the earliest time at which an ejection ends, or the zero time
// if no server is ejected.
func (e *Ejector) NextChange(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next time.Time
	for _, r := range e.servers {
		if r.until.After(now) && (next.IsZero() || r.until.Before(next)) {
			next = r.until
		}
	}
	return next
}
