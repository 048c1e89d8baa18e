package parser

import (
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/versioner"
)

// Limits of configured values.
const (
	maxTimeout      = 5 * time.Minute
	maxSlots        = 10_000
	maxNameBytes    = 63
	maxRequestLimit = 64 << 20
	maxLookupCache  = time.Minute
	// minShiftInterval is the shortest step of a plan: a shorter one would end
	// before all instances have received the next step.
	minShiftInterval = 100 * time.Millisecond
	maxShiftInterval = time.Hour
	maxFloors        = 0.9
	// maxKeyRetention equals the time for which instances remember members that
	// left.
	maxKeyRetention = 10 * time.Minute
)

// checker collects the faults of a configuration, and the names that it defines.
type checker struct {
	c      *pollencrank.Configuration
	faults Faults

	regions, domains, sites, locations, workloads, servers, presets []string
}

func (k *checker) add(path, suggestion, format string, args ...any) {
	k.faults = append(k.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...), Suggestion: suggestion})
}

// Check returns all faults of a configuration.
func Check(c *pollencrank.Configuration) Faults {
	k := &checker{c: c}
	k.checkTopology()
	k.checkBlocks()
	k.checkWorkloads()
	k.checkServers()
	k.checkPresets()
	k.checkDrains()
	return k.faults
}

// checkName checks that a name is well formed and not in seen, and adds it to seen.
func (k *checker) checkName(path, name string, seen *[]string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\n\",") {
		k.add(path+".name", "use letters, digits and hyphens", "%q is not a name of 1 to %d characters without spaces, slashes, commas or quotes", name, maxNameBytes)
	}
	if slices.Contains(*seen, name) {
		k.add(path+".name", "choose another name", "%q is used twice", name)
	}
	*seen = append(*seen, name)
}

// checkReference checks that a referenced name is one of the defined names.
func (k *checker) checkReference(path, kind, name string, names []string) {
	if slices.Contains(names, name) {
		return
	}
	k.add(path, suggestName(name, names), "%s %q does not exist", kind, name)
}

// suggestName suggests the name that has the longest common prefix with name.
func suggestName(name string, names []string) string {
	if len(names) == 0 {
		return "none is configured"
	}
	best, longest := names[0], -1
	for _, n := range names {
		common := 0
		for common < len(n) && common < len(name) && n[common] == name[common] {
			common++
		}
		if common > longest {
			best, longest = n, common
		}
	}
	return fmt.Sprintf("did you mean %q?", best)
}

func (k *checker) checkTopology() {
	for i, r := range k.c.Regions {
		k.checkName(fmt.Sprintf("$.regions[%d]", i), r.Name, &k.regions)
	}
	if len(k.regions) == 0 {
		k.add("$.regions", "add a region", "there is no region")
	}
	for i, d := range k.c.FailureDomains {
		path := fmt.Sprintf("$.failureDomains[%d]", i)
		k.checkName(path, d.Name, &k.domains)
		k.checkReference(path+".region", "region", d.Region, k.regions)
	}
	for i, l := range k.c.Links {
		path := fmt.Sprintf("$.links[%d]", i)
		k.checkReference(path+".from", "region", l.From, k.regions)
		k.checkReference(path+".to", "region", l.To, k.regions)
		if l.LimitMegabitsPerSec <= 0 {
			k.add(path+".limitMegabitsPerSec", "give the link's capacity each way", "%v is not a positive limit", l.LimitMegabitsPerSec)
		}
	}
	for i, s := range k.c.Sites {
		path := fmt.Sprintf("$.sites[%d]", i)
		k.checkName(path, s.Name, &k.sites)
		k.checkReference(path+".failureDomain", "failure domain", s.FailureDomain, k.domains)
	}
	places := slices.Concat(k.regions, k.domains, k.sites)
	for i, l := range k.c.Locations {
		path := fmt.Sprintf("$.locations[%d]", i)
		k.checkName(path, l.Name, &k.locations)
		for _, place := range sortedKeys(l.Distances) {
			k.checkReference(path+".distances", "region, failure domain or site", place, places)
			if l.Distances[place] < 0 {
				k.add(path+".distances", "give a round-trip time such as 8ms", "the distance to %q is negative", place)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (k *checker) checkBlocks() {
	locations := map[string]bool{}
	for _, l := range k.locations {
		locations[l] = true
	}
	seen := map[string]bool{}
	for i, b := range k.c.ClientBlocks {
		path := fmt.Sprintf("$.clientBlocks[%d]", i)
		if !locations[b.Location] {
			k.checkReference(path+".location", "location", b.Location, k.locations)
		}
		if !b.Prefix.IsValid() {
			k.add(path+".prefix", "write an address and a length, such as 198.51.100.0/24", "the prefix is not valid")
			continue
		}
		if b.Prefix.Addr().Is6() && b.Prefix.Bits() > versioner.MaxLength6 {
			k.add(path+".prefix", "use a shorter prefix", "IPv6 prefixes are at most /%d", versioner.MaxLength6)
		}
		key := b.Prefix.Masked().String()
		if seen[key] {
			k.add(path+".prefix", "remove one of them", "%s is listed twice", key)
		}
		seen[key] = true
	}
}

func (k *checker) checkWorkloads() {
	for i, w := range k.c.Workloads {
		path := fmt.Sprintf("$.workloads[%d]", i)
		k.checkName(path, w.Name, &k.workloads)
		if len(w.Routes) == 0 {
			k.add(path+".routes", "add a route with a pathPrefix", "no request can reach the workload")
		}
		for j, r := range w.Routes {
			if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
				k.add(fmt.Sprintf("%s.routes[%d].pathPrefix", path, j), fmt.Sprintf("write %q", "/"+r.PathPrefix), "%q does not begin with a slash", r.PathPrefix)
			}
		}
		if w.Timeout <= 0 || w.Timeout > maxTimeout {
			k.add(path+".timeout", "such as 2s", "%s is not between 0 and %s", w.Timeout, maxTimeout)
		}
		if w.MaxRequestBytes < 0 || w.MaxRequestBytes > maxRequestLimit {
			k.add(path+".maxRequestBytes", "", "%d is not between 0 and %d", w.MaxRequestBytes, maxRequestLimit)
		}
		if w.MaxWaiting < 0 {
			k.add(path+".maxWaiting", "leave it out for the default", "%d is negative", w.MaxWaiting)
		}
		if w.KeyRetention < 0 || w.KeyRetention > maxKeyRetention {
			k.add(path+".keyRetention", "leave it out for the default", "%s is not between 0 and %s", w.KeyRetention, maxKeyRetention)
		}
	}
	if len(k.workloads) == 0 {
		k.add("$.workloads", "add a workload", "there is no workload")
	}
}

func (k *checker) checkServers() {
	addresses := map[string]string{}
	for i, s := range k.c.Servers {
		path := fmt.Sprintf("$.servers[%d]", i)
		k.checkName(path, s.Name, &k.servers)
		k.checkReference(path+".workload", "workload", s.Workload, k.workloads)
		k.checkReference(path+".failureDomain", "failure domain", s.FailureDomain, k.domains)
		if s.Site != "" {
			k.checkReference(path+".site", "site", s.Site, k.sites)
		}
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			k.add(path+".address", "write an IP number and a port", "%q is not an address with a port", s.Address)
		}
		if other, ok := addresses[s.Address]; ok {
			k.add(path+".address", "give each server its own address", "%s is the address of %q as well", s.Address, other)
		}
		addresses[s.Address] = s.Name
		if s.Slots < 1 || s.Slots > maxSlots {
			k.add(path+".slots", "give the number of requests that the server runs at once", "%d is not between 1 and %d", s.Slots, maxSlots)
		}
		if s.MaxConnections < 0 || (s.MaxConnections > 0 && s.MaxConnections < s.Slots) {
			k.add(path+".maxConnections", fmt.Sprintf("at least %d", s.Slots), "%d connections cannot fill %d slots", s.MaxConnections, s.Slots)
		}
	}
}

func (k *checker) checkPresets() {
	for i, p := range k.c.Presets {
		path := fmt.Sprintf("$.presets[%d]", i)
		k.checkName(path, p.Name, &k.presets)
		sum := 0.0
		for _, r := range pollencrank.Ranks() {
			floor := p.Floors[r]
			sum += floor
			if floor < 0 || floor > 1 {
				k.add(path+".floors", "give a share such as 0.2", "the floor of rank %s, %v, is not between 0 and 1", r, floor)
			}
		}
		if sum > maxFloors {
			k.add(path+".floors", "lower some of them", "the floors add up to %v, more than %v", sum, maxFloors)
		}
		if p.RetryShare < 0 || p.RetryShare > 1 {
			k.add(path+".retryShare", "such as 0.1", "%v is not between 0 and 1", p.RetryShare)
		}
		if p.ForeignShare < 0 || p.ForeignShare > 1 {
			k.add(path+".foreignShare", "such as 0.25", "%v is not between 0 and 1", p.ForeignShare)
		}
		if p.ShiftShare < 0 || p.ShiftShare > 1 {
			k.add(path+".shiftShare", "such as 0.3", "%v is not between 0 and 1", p.ShiftShare)
		}
		if p.ShiftInterval != 0 && (p.ShiftInterval < minShiftInterval || p.ShiftInterval > maxShiftInterval) {
			k.add(path+".shiftInterval", "such as 30s", "%s is not between %s and %s", p.ShiftInterval, minShiftInterval, maxShiftInterval)
		}
		if p.LookupCache < 0 || p.LookupCache > maxLookupCache {
			k.add(path+".lookupCache", "such as 2s", "%s is not between 0 and %s", p.LookupCache, maxLookupCache)
		}
	}
	k.checkReference("$.presetInForce", "preset", k.c.PresetInForce, k.presets)
}

func (k *checker) checkDrains() {
	var seen []pollencrank.DrainTarget
	for i, d := range k.c.Drains {
		path := fmt.Sprintf("$.drains[%d]", i)
		if len(d.Targets()) != 1 {
			k.add(path, "give one of server, instance, failureDomain and region", "a drain has %d targets", len(d.Targets()))
			continue
		}
		target := d.Target()
		k.checkDrainTarget(path, target)
		if slices.Contains(seen, target) {
			k.add(path+"."+string(target.Kind), "remove one of them", "%q is drained twice", target.Name)
		}
		seen = append(seen, target)
		if !d.Deadline.IsZero() && d.Deadline.Before(d.Start) {
			k.add(path+".deadline", "give a moment after the start", "the deadline is before the start")
		}
	}
}

// checkDrainTarget checks that a target exists. Instances are not checked: they start
// and stop at any time and are not in the configuration.
func (k *checker) checkDrainTarget(path string, target pollencrank.DrainTarget) {
	switch target.Kind {
	case pollencrank.DrainServer:
		k.checkReference(path+".server", "server", target.Name, k.servers)
	case pollencrank.DrainFailureDomain:
		k.checkReference(path+".failureDomain", "failure domain", target.Name, k.domains)
	case pollencrank.DrainRegion:
		k.checkReference(path+".region", "region", target.Name, k.regions)
	}
}
