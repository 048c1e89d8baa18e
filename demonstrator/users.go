// Package demonstrator runs the whole system in one process with small stand-ins
// for the systems around it, and counts broken promises outside the entries. It is
// a demonstration, not a cluster simulator.
//
// # Usage
//
//	report, err := demonstrator.Run(ctx, demonstrator.Config{User: "lakeshore", Duration: 20 * time.Second, Seed: 1})
//	report.Write(os.Stdout)
package demonstrator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pollencrank/pollencrank"
)

// service describes one workload of a user and its backend servers.
type service struct {
	name, path  string
	rank        pollencrank.Rank
	idempotent  bool
	servers     int
	slots       []int
	median      time.Duration
	answerBytes int
	// rate is the ordinary number of requests per second.
	rate int
}

// user is one of the brief's users.
type user struct {
	name           string
	linkMegabits   float64
	clientDistance time.Duration
	floors         map[pollencrank.Rank]float64
	services       []service
}

// users holds the two users of the brief by name.
var users = map[string]user{
	"lakeshore": {
		name:           "lakeshore",
		linkMegabits:   4000,
		clientDistance: time.Millisecond,
		floors:         map[pollencrank.Rank]float64{pollencrank.RankOrdinary: 0.15, pollencrank.RankBackground: 0.05},
		services: []service{
			{"catalogue", "/catalogue", pollencrank.RankUrgent, true, 14, []int{3, 4}, 40 * time.Millisecond, 2 << 10, 300},
			{"ordering", "/orders", pollencrank.RankOrdinary, false, 12, []int{3, 4}, 60 * time.Millisecond, 512, 120},
			{"drawings", "/drawings", pollencrank.RankBackground, true, 12, []int{3, 4}, 80 * time.Millisecond, 64 << 10, 100},
		},
	},
	"strengverk": {
		name:           "strengverk",
		linkMegabits:   280,
		clientDistance: 8 * time.Millisecond,
		floors:         map[pollencrank.Rank]float64{pollencrank.RankOrdinary: 0.3, pollencrank.RankBackground: 0.1},
		services: []service{
			{"routing", "/routing", pollencrank.RankUrgent, true, 16, []int{7}, 40 * time.Millisecond, 2 << 10, 350},
			{"ordering", "/orders", pollencrank.RankOrdinary, false, 12, []int{4}, 60 * time.Millisecond, 512, 120},
			{"manuals", "/manuals", pollencrank.RankBackground, true, 12, []int{3}, 80 * time.Millisecond, 64 << 10, 80},
		},
	},
}

const (
	regionCount      = 3
	domainsPerRegion = 2
	entryCount       = 8
)

func regionName(region int) string { return fmt.Sprintf("region-%d", region+1) }

func domainName(domain int) string {
	return fmt.Sprintf("domain-%d%c", domain/domainsPerRegion+1, 'a'+domain%domainsPerRegion)
}

// callerIP returns the address of a caller in a region. Each region has its
// own /16 on loopback.
func callerIP(region, caller int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+region, caller/250, 1+caller%250)
}

// configuration returns the user's configuration without servers.
func (u user) configuration() pollencrank.Configuration {
	c := pollencrank.Configuration{PresetInForce: "ordinary"}
	for r := range regionCount {
		c.Regions = append(c.Regions, pollencrank.Region{Name: regionName(r)})
		c.Locations = append(c.Locations, u.location(r))
		c.ClientBlocks = append(c.ClientBlocks, pollencrank.ClientBlock{
			Prefix:   netip.MustParsePrefix(fmt.Sprintf("127.%d.0.0/16", 10+r)),
			Location: "clients-" + regionName(r),
		})
		for other := range r {
			c.Links = append(c.Links, pollencrank.Link{From: regionName(other), To: regionName(r), LimitMegabitsPerSec: u.linkMegabits})
		}
	}
	for d := range regionCount * domainsPerRegion {
		c.FailureDomains = append(c.FailureDomains, pollencrank.FailureDomain{Name: domainName(d), Region: regionName(d / domainsPerRegion)})
	}
	for _, s := range u.services {
		c.Workloads = append(c.Workloads, pollencrank.Workload{
			Name:            s.name,
			Routes:          []pollencrank.Route{{PathPrefix: s.path}},
			Rank:            s.rank,
			Timeout:         2 * time.Second,
			Idempotent:      s.idempotent,
			KeyRequired:     !s.idempotent,
			KeyRetention:    10 * time.Minute,
			MaxRequestBytes: 64 << 10,
			MaxWaiting:      64,
		})
	}
	c.Presets = []pollencrank.Preset{u.preset("ordinary", 1), u.preset("peak", 0.5), u.preset("maintenance", 1)}
	return c
}

func (u user) location(region int) pollencrank.Location {
	const betweenRegions = 35 * time.Millisecond
	l := pollencrank.Location{Name: "clients-" + regionName(region), Distances: map[string]time.Duration{}}
	for r := range regionCount {
		l.Distances[regionName(r)] = u.clientDistance
		if r != region {
			l.Distances[regionName(r)] += betweenRegions
		}
	}
	return l
}

// preset returns a preset whose floors are scaled by a factor.
func (u user) preset(name string, scale float64) pollencrank.Preset {
	p := pollencrank.Preset{
		Name:         name,
		Floors:       map[pollencrank.Rank]float64{},
		RetryShare:   0.1,
		ForeignShare: 0.25,
		LookupCache:  time.Second,
	}
	for rank, floor := range u.floors {
		p.Floors[rank] = floor * scale
	}
	return p
}
