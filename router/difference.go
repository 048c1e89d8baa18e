package router

import (
	"slices"
)

// Equal reports whether two routes serve the same requests in the same way.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix && r.Kind == other.Kind &&
		r.Timeout == other.Timeout && r.LatencyObjective == other.LatencyObjective && r.Priority == other.Priority &&
		r.MaxAttempts == other.MaxAttempts && r.HasAffinity == other.HasAffinity && r.Fault == other.Fault &&
		slices.Equal(r.Shares, other.Shares) && slices.Equal(r.HomeRegions, other.HomeRegions)
}

// Diff returns the routes of next that base lacks or has differently, and
// the names of those that only base has. It reports false if names are not
// unique: then the routes cannot be told by them.
func Diff(base, next []Route) (changed []Route, removed []string, ok bool) {
	known := make(map[string]*Route, len(base))
	for i := range base {
		known[base[i].Name] = &base[i]
	}
	if len(known) != len(base) {
		return nil, nil, false
	}
	seen := make(map[string]bool, len(next))
	for i := range next {
		route := &next[i]
		if seen[route.Name] {
			return nil, nil, false
		}
		seen[route.Name] = true
		if old := known[route.Name]; old == nil || !old.Equal(route) {
			changed = append(changed, *route)
		}
	}
	for name := range known {
		if !seen[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed, true
}

// Merge returns base with the changed routes in place of those with the same
// name, and without the removed ones.
func Merge(base, changed []Route, removed []string) []Route {
	gone := make(map[string]bool, len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	news := make(map[string]*Route, len(changed))
	for i := range changed {
		news[changed[i].Name] = &changed[i]
	}
	merged := make([]Route, 0, len(base)+len(changed))
	for _, route := range base {
		if gone[route.Name] {
			continue
		}
		if replacement := news[route.Name]; replacement != nil {
			route = *replacement
			delete(news, route.Name)
		}
		merged = append(merged, route)
	}
	for _, route := range changed {
		if news[route.Name] != nil {
			merged = append(merged, route)
		}
	}
	return merged
}
