package pollencrank

import (
	"net/netip"
	"time"
)

// Generation is the number of an accepted configuration. Each accepted change
// increments it.
type Generation uint64

// Region is a group of failure domains with short distances between them.
type Region struct {
	Name string `yaml:"name" json:"name"`
}

// FailureDomain is a part of a region that fails, or loses its network
// connection, as a unit.
type FailureDomain struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Link is the network link between two regions. The limit holds for each
// direction.
type Link struct {
	From                string  `yaml:"from" json:"from"`
	To                  string  `yaml:"to" json:"to"`
	LimitMegabitsPerSec float64 `yaml:"limitMegabitsPerSec" json:"limitMegabitsPerSec"`
}

// Site is a target within a failure domain to which callers are steered.
type Site struct {
	Name          string `yaml:"name" json:"name"`
	FailureDomain string `yaml:"failureDomain" json:"failureDomain"`
}

// Location is a group of client blocks with the same network distances.
type Location struct {
	Name string `yaml:"name" json:"name"`
	// Distances maps the name of a region, failure domain or site to the
	// network round-trip time from this location. For a site, its own distance
	// takes precedence over that of its failure domain, and that over its
	// region's.
	Distances map[string]time.Duration `yaml:"distances" json:"distances"`
}

// ClientBlock assigns a network prefix of callers to a location.
type ClientBlock struct {
	Prefix   netip.Prefix `yaml:"prefix" json:"prefix"`
	Location string       `yaml:"location" json:"location"`
}

// Route selects requests of a workload. Empty fields match everything.
type Route struct {
	Host       string   `yaml:"host,omitempty" json:"host,omitempty"`
	PathPrefix string   `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"`
	Methods    []string `yaml:"methods,omitempty" json:"methods,omitempty"`
}

// Workload is a class of requests with its own limits and backend servers.
type Workload struct {
	Name            string        `yaml:"name" json:"name"`
	Routes          []Route       `yaml:"routes" json:"routes"`
	Rank            Rank          `yaml:"rank" json:"rank"`
	Timeout         time.Duration `yaml:"timeout" json:"timeout"`
	Idempotent      bool          `yaml:"idempotent" json:"idempotent"`
	KeyRequired     bool          `yaml:"keyRequired,omitempty" json:"keyRequired,omitempty"`
	KeyRetention    time.Duration `yaml:"keyRetention,omitempty" json:"keyRetention,omitempty"`
	MaxRequestBytes int64         `yaml:"maxRequestBytes" json:"maxRequestBytes"`
	MaxWaiting      int           `yaml:"maxWaiting,omitempty" json:"maxWaiting,omitempty"`
	// HealthPath is the path of the health check that polls each server. The
	// default is /healthz.
	HealthPath string `yaml:"healthPath,omitempty" json:"healthPath,omitempty"`
}

// Server is one backend server of a workload.
type Server struct {
	Name           string `yaml:"name" json:"name"`
	Workload       string `yaml:"workload" json:"workload"`
	FailureDomain  string `yaml:"failureDomain" json:"failureDomain"`
	Site           string `yaml:"site,omitempty" json:"site,omitempty"`
	Address        string `yaml:"address" json:"address"`
	Slots          int    `yaml:"slots" json:"slots"`
	MaxConnections int    `yaml:"maxConnections" json:"maxConnections"`
}

// Preset is a named set of policies. Exactly one preset is in force.
type Preset struct {
	Name string `yaml:"name" json:"name"`
	// Floors maps a rank to the least share of slots that it gets when a more
	// urgent rank could use all slots.
	Floors map[Rank]float64 `yaml:"floors" json:"floors"`
	// RetryShare is the largest share of requests that may be retries.
	RetryShare float64 `yaml:"retryShare" json:"retryShare"`
	// ForeignShare is the largest share of a region's slots that requests from
	// callers of other regions may use.
	ForeignShare float64 `yaml:"foreignShare" json:"foreignShare"`
	// ShiftShare is the largest share of a workload's callers in one region
	// that may be moved to a different region within ShiftInterval.
	ShiftShare    float64       `yaml:"shiftShare,omitempty" json:"shiftShare,omitempty"`
	ShiftInterval time.Duration `yaml:"shiftInterval,omitempty" json:"shiftInterval,omitempty"`
	// SpareDomain keeps capacity free in each region: as much as its largest
	// failure domain has.
	SpareDomain bool `yaml:"spareDomain,omitempty" json:"spareDomain,omitempty"`
	// LookupCache is the time for which callers may cache the answer to a
	// look-up.
	LookupCache time.Duration `yaml:"lookupCache" json:"lookupCache"`
}

// Defaults of a Preset's caps on shifts.
const (
	DefaultShiftShare    = 0.3
	DefaultShiftInterval = 30 * time.Second
)

// ShiftCap returns the cap on shifts: the share of callers that may be moved,
// and the interval for which the share holds.
func (p Preset) ShiftCap() (float64, time.Duration) {
	share, interval := p.ShiftShare, p.ShiftInterval
	if share == 0 {
		share = DefaultShiftShare
	}
	if interval == 0 {
		interval = DefaultShiftInterval
	}
	return share, interval
}

// SiteName returns the name of the site of s. A server without a site belongs
// to the site that has the name of its failure domain.
func (s Server) SiteName() string {
	if s.Site != "" {
		return s.Site
	}
	return s.FailureDomain
}

// Configuration is a complete configuration. An accepted configuration is
// immutable.
type Configuration struct {
	PresetInForce  string          `yaml:"presetInForce" json:"presetInForce"`
	Regions        []Region        `yaml:"regions" json:"regions"`
	FailureDomains []FailureDomain `yaml:"failureDomains" json:"failureDomains"`
	Links          []Link          `yaml:"links,omitempty" json:"links,omitempty"`
	Sites          []Site          `yaml:"sites,omitempty" json:"sites,omitempty"`
	Locations      []Location      `yaml:"locations,omitempty" json:"locations,omitempty"`
	ClientBlocks   []ClientBlock   `yaml:"clientBlocks,omitempty" json:"clientBlocks,omitempty"`
	Workloads      []Workload      `yaml:"workloads" json:"workloads"`
	Servers        []Server        `yaml:"servers" json:"servers"`
	Presets        []Preset        `yaml:"presets" json:"presets"`
	Drains         []Drain         `yaml:"drains,omitempty" json:"drains,omitempty"`
	// Plan is computed by the planner. Operators' documents do not contain it.
	Plan *Plan `yaml:"-" json:"plan,omitempty"`
}

// Preset returns the preset in force. It returns the zero preset if
// PresetInForce names no preset, which validation rules out.
func (c *Configuration) Preset() Preset {
	for _, p := range c.Presets {
		if p.Name == c.PresetInForce {
			return p
		}
	}
	return Preset{}
}

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (c *Configuration) RegionOf(failureDomain string) string {
	for _, d := range c.FailureDomains {
		if d.Name == failureDomain {
			return d.Region
		}
	}
	return ""
}

// NearestRegion returns the region with the smallest distance from a location,
// or "" if the location has no distance to any region.
func (c *Configuration) NearestRegion(l Location) string {
	nearest := ""
	for _, r := range c.Regions {
		distance, ok := l.Distances[r.Name]
		if !ok {
			continue
		}
		if nearest == "" || distance < l.Distances[nearest] {
			nearest = r.Name
		}
	}
	return nearest
}
