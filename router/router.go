// Package router finds the route of a request, and the service that serves the
// request if the route is split between services.
//
// A Table is immutable: each new configuration gets a new table. A Splitter is kept
// when the table changes, so that a change of another route does not disturb the
// shares of a route.
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

// Kind says whether requests may run more than once, and which bodies are large.
type Kind uint8

// Kinds of routes. The zero value is the most restrictive one.
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
	// Timeout is the operator's limit for the duration of a request. Zero means that
	// only the caller's deadline applies.
	Timeout time.Duration
	// LatencyObjective is the target for the time until the answer. A later answer is
	// worth less.
	LatencyObjective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the largest number of servers that one request may be sent to.
	MaxAttempts int
	// HasAffinity says that servers answer faster for objects that they have served
	// recently.
	HasAffinity bool
	// HomeRegions are the only regions that may serve the requests. Empty
	// means all.
	HomeRegions []string
	// IsAuthExempt says that requests need no API key.
	IsAuthExempt bool
	// Fault says why no request of the route can be served: a setting of the route that
	// determines where or how often requests run could not be parsed.
	Fault string

	// homeRegionsKey is the result of HomeRegionsKey, computed in advance.
	homeRegionsKey string
}

// HomeRegionsKey returns the HomeRegions as one string, which serves as a map key.
func (r *Route) HomeRegionsKey() string {
	if r.homeRegionsKey == "" && len(r.HomeRegions) > 0 {
		return joinRegions(r.HomeRegions)
	}
	return r.homeRegionsKey
}

func joinRegions(regions []string) string { return strings.Join(regions, ",") }

// AllowsRegion reports whether the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// entries together.
	MaxConnections int
	// Warmup is how long a server stays cold after its start.
	Warmup time.Duration
	// ColdRate is the largest number of requests a second that a cold server can handle.
	ColdRate float64
}

// Limits are the bounds on the requests and connections of a caller.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one whole configuration of routes and services.
type Configuration struct {
	// Version increases with every configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants are the tenants whose callers may send requests. If there are none, requests
	// need no API key.
	Tenants []Tenant
}

// Table is an index of the routes and tenants of one configuration.
type Table struct {
	Configuration
	hosts         map[string]*host
	tenantsByName map[string]*Tenant
	// tenantsByKey holds nil for a key of two tenants.
	tenantsByKey map[KeyDigest]*Tenant
}

// host is an index of the routes of one host.
type host struct {
	byPrefix map[string]*Route
	// prefixLengths are the distinct lengths of the prefixes, the longest first.
	prefixLengths []int
}

// NewTable builds the index of a configuration's routes. Of several routes with the
// same host and prefix, the one with the smallest name is used.
func NewTable(configuration Configuration) *Table {
	t := &Table{Configuration: configuration, hosts: map[string]*host{}}
	t.Routes = slices.Clone(configuration.Routes)
	for i := range t.Routes {
		route := &t.Routes[i]
		route.homeRegionsKey = joinRegions(route.HomeRegions)
		h := t.hosts[route.Host]
		if h == nil {
			h = &host{byPrefix: map[string]*Route{}}
			t.hosts[route.Host] = h
		}
		if existing := h.byPrefix[route.PathPrefix]; existing == nil || route.Name < existing.Name {
			h.byPrefix[route.PathPrefix] = route
		}
	}
	for _, h := range t.hosts {
		h.collectPrefixLengths()
	}
	t.Tenants = slices.Clone(configuration.Tenants)
	t.indexTenants()
	return t
}

// collectPrefixLengths sets prefixLengths.
func (h *host) collectPrefixLengths() {
	seen := map[int]bool{}
	for prefix := range h.byPrefix {
		seen[len(prefix)] = true
	}
	for length := range seen {
		h.prefixLengths = append(h.prefixLengths, length)
	}
	slices.SortFunc(h.prefixLengths, func(a, b int) int { return b - a })
}

// Match returns the route of a host with the longest prefix of path, or nil. The host
// name may include a port. Match needs one map lookup for each distinct length of
// prefixes, independent of the number of routes.
func (t *Table) Match(hostName, path string) *Route {
	h := t.hosts[HostName(hostName)]
	if h == nil {
		return nil
	}
	for _, length := range h.prefixLengths {
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
