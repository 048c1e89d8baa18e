package standin

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/steerer"
)

// Size is the size of a synthetic configuration.
type Size struct {
	Regions        int
	FailureDomains int
	Sites          int
	Locations      int
	Blocks         int
	ServersPerSite int
	// Seed makes the generated locations and client blocks reproducible.
	Seed uint64
}

// DesignSize is the size that the system is designed for.
var DesignSize = Size{
	Regions:        4,
	FailureDomains: 15,
	Sites:          140,
	Locations:      280,
	Blocks:         370_000,
	ServersPerSite: 6,
	Seed:           1,
}

// DomainName returns the name of a failure domain of a synthetic configuration.
func DomainName(domain int) string { return fmt.Sprintf("domain-%02d", domain) }

// RegionName returns the name of a region of a synthetic configuration.
func RegionName(region int) string { return fmt.Sprintf("region-%d", region) }

// workloads are the workloads of a synthetic configuration, one for each rank.
var workloads = [pollencrank.RankCount]string{"lookup", "order", "download"}

// MakeConfiguration returns a synthetic configuration of the given size.
func MakeConfiguration(size Size) *pollencrank.Configuration {
	c := &pollencrank.Configuration{PresetInForce: "ordinary"}
	random := rand.New(rand.NewPCG(size.Seed, 0))
	for r := range size.Regions {
		c.Regions = append(c.Regions, pollencrank.Region{Name: RegionName(r)})
	}
	for d := range size.FailureDomains {
		c.FailureDomains = append(c.FailureDomains, pollencrank.FailureDomain{Name: DomainName(d), Region: RegionName(d % size.Regions)})
	}
	for i, name := range workloads {
		c.Workloads = append(c.Workloads, pollencrank.Workload{
			Name:            name,
			Routes:          []pollencrank.Route{{PathPrefix: "/" + name}},
			Rank:            pollencrank.Rank(i),
			Timeout:         2 * time.Second,
			Idempotent:      name != "order",
			MaxRequestBytes: 1 << 20,
		})
	}
	for s := range size.Sites {
		addSite(c, size, s)
	}
	for l := range size.Locations {
		c.Locations = append(c.Locations, makeLocation(c, size, l, random))
	}
	c.ClientBlocks = makeBlocks(size, random)
	c.Presets = []pollencrank.Preset{makePreset("ordinary"), makePreset("peak")}
	return c
}

func makePreset(name string) pollencrank.Preset {
	return pollencrank.Preset{
		Name:         name,
		Floors:       map[pollencrank.Rank]float64{pollencrank.RankOrdinary: 0.2, pollencrank.RankBackground: 0.05},
		RetryShare:   0.1,
		ForeignShare: 0.25,
		LookupCache:  2 * time.Second,
	}
}

func addSite(c *pollencrank.Configuration, size Size, number int) {
	const slots, firstPort = 4, 10_000
	domain := number % size.FailureDomains
	site := pollencrank.Site{Name: fmt.Sprintf("site-%03d", number), FailureDomain: DomainName(domain)}
	c.Sites = append(c.Sites, site)
	for i := range size.ServersPerSite {
		c.Servers = append(c.Servers, pollencrank.Server{
			Name:          fmt.Sprintf("server-%03d-%02d", number, i),
			Workload:      workloads[i%len(workloads)],
			FailureDomain: site.FailureDomain,
			Site:          site.Name,
			Address:       fmt.Sprintf("127.1.%d.%d:%d", number, i, firstPort),
			Slots:         slots,
		})
	}
}

// makeLocation returns a location with its distance to each region. One region
// is near, the others are 35 ms further away.
func makeLocation(c *pollencrank.Configuration, size Size, number int, random *rand.Rand) pollencrank.Location {
	l := pollencrank.Location{Name: fmt.Sprintf("location-%03d", number), Distances: map[string]time.Duration{}}
	for r := range size.Regions {
		distance := time.Duration(5+random.IntN(5)) * time.Millisecond
		if r != number%size.Regions {
			const betweenRegions = 35 * time.Millisecond
			distance += betweenRegions
		}
		l.Distances[RegionName(r)] = distance
	}
	return l
}

// makeBlocks returns disjoint IPv4 prefixes of /20 to /24 in ascending order. As
// with real client blocks, their density varies over the address space.
func makeBlocks(size Size, random *rand.Rand) []pollencrank.ClientBlock {
	const firstAddress, shortestPrefix, prefixLengths = 0x01000000, 20, 5
	blocks := make([]pollencrank.ClientBlock, 0, size.Blocks)
	address := uint32(firstAddress)
	for range size.Blocks {
		length := shortestPrefix + random.IntN(prefixLengths)
		step := uint32(1) << (32 - length)
		address = (address + step - 1) &^ (step - 1)
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], address)
		blocks = append(blocks, pollencrank.ClientBlock{
			Prefix:   netip.PrefixFrom(netip.AddrFrom4(b), length),
			Location: fmt.Sprintf("location-%03d", random.IntN(max(size.Locations, 1))),
		})
		const maxStride = 4
		address += step * uint32(1+random.IntN(maxStride))
	}
	return blocks
}

// MakeMembers returns running instances spread evenly over the failure domains
// of a configuration.
func MakeMembers(c *pollencrank.Configuration, count int) []pollencrank.Instance {
	var members []pollencrank.Instance
	for i := range count {
		domain := c.FailureDomains[i%len(c.FailureDomains)]
		members = append(members, pollencrank.Instance{
			ID:            fmt.Sprintf("entry-%03d", i),
			Incarnation:   1,
			FailureDomain: domain.Name,
			Region:        domain.Region,
			CallerAddress: fmt.Sprintf("127.2.%d.%d:8080", i/250, i%250),
			PeerAddress:   fmt.Sprintf("127.2.%d.%d:8081", i/250, i%250),
		})
	}
	return members
}

// SiteOwners returns the owners of a configuration's servers in the form from
// which the look-up table is built. Owners maps server names to instance IDs;
// servers whose owner is not a member are omitted.
func SiteOwners(c *pollencrank.Configuration, members []pollencrank.Instance, owners map[string]string) []steerer.Owner {
	byID := map[string]pollencrank.Instance{}
	for _, m := range members {
		byID[m.ID] = m
	}
	var result []steerer.Owner
	for _, s := range c.Servers {
		if owner, ok := byID[owners[s.Name]]; ok {
			result = append(result, steerer.Owner{Instance: owner, Workload: s.Workload, Site: s.SiteName(), Slots: s.Slots})
		}
	}
	return result
}
