// Package router finds the route of a request and the service that a split
// route sends it to.
//
// A Table is immutable: a new configuration makes a new table. A Splitter
// lives across tables, so that a change elsewhere does not disturb the shares
// of a route.
//
// # Usage
//
//	table := router.NewTable(configuration)
//	route := table.Match(request.Host, request.URL.Path)
//	if route == nil {
//		http.NotFound(w, request)
//		return
//	}
//	service := splitter.Pick(route)
package router

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes. The zero value is the most careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large answers.
	Download
	// Upload requests run at most once and have large bodies.
	Upload
)

// MayRepeat reports whether a request of kind k may run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Download }

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route selects requests by host and path prefix and says how they are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that the operator wants a request kept waiting.
	// Zero means that only the caller's deadline counts.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the largest number of servers one request may be sent to.
	MaxAttempts int
	// HasAffinity says that servers answer faster for objects they know.
	HasAffinity bool
	// HomeRegions are the only regions that may serve the requests. Empty
	// means all.
	HomeRegions []string
	// Fault says why no request of the route can be served: a part of it that
	// decides where or how often requests run could not be read.
	Fault string

	// homes are the HomeRegions as one text.
	homes string
}

// HomeRegionsKey returns the HomeRegions as one text, to tell sets of them apart.
func (r *Route) HomeRegionsKey() string {
	if r.homes == "" && len(r.HomeRegions) > 0 {
		return joinHomes(r.HomeRegions)
	}
	return r.homes
}

func joinHomes(regions []string) string { return strings.Join(regions, ",") }

// AllowsRegion reports whether the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all entries together.
	MaxConnections int
	// Warmup is how long a server stays cold after its start.
	Warmup time.Duration
	// ColdRate is the number of requests a second that a cold server bears.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one whole configuration of routes and services.
type Configuration struct {
	// Version only ever grows.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table is the routes of one configuration, arranged for look-ups.
type Table struct {
	Configuration
	hosts map[string]*host
}

// host is the routes of one host.
type host struct {
	byPrefix map[string]*Route
	// lengths are those of the prefixes, the longest first, each once.
	lengths []int
}

// NewTable arranges the routes of a configuration. Of several routes with the same
// host and prefix, the one with the smallest name counts.
func NewTable(configuration Configuration) *Table {
	t := &Table{Configuration: configuration, hosts: map[string]*host{}}
	t.Routes = slices.Clone(configuration.Routes)
	for i := range t.Routes {
		route := &t.Routes[i]
		route.homes = joinHomes(route.HomeRegions)
		h := t.hosts[route.Host]
		if h == nil {
			h = &host{byPrefix: map[string]*Route{}}
			t.hosts[route.Host] = h
		}
		if known := h.byPrefix[route.PathPrefix]; known == nil || route.Name < known.Name {
			h.byPrefix[route.PathPrefix] = route
		}
	}
	for _, h := range t.hosts {
		h.measure()
	}
	return t
}

// measure notes the lengths of the prefixes.
func (h *host) measure() {
	known := map[int]bool{}
	for prefix := range h.byPrefix {
		known[len(prefix)] = true
	}
	for length := range known {
		h.lengths = append(h.lengths, length)
	}
	slices.SortFunc(h.lengths, func(a, b int) int { return b - a })
}

// Match returns the route with the longest prefix of path on a host, or nil.
// The host may carry a port. It costs one look-up for each length of prefixes,
// however many routes there are.
func (t *Table) Match(name, path string) *Route {
	h := t.hosts[HostName(name)]
	if h == nil {
		return nil
	}
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if route := h.byPrefix[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}

// HostName returns a Host header's value without its port.
func HostName(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}
