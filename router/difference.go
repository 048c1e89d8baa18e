package router

import (
	"slices"
)

// Equal reports whether two routes serve the same requests in the same way.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix && r.Kind == other.Kind &&
		r.Timeout == other.Timeout && r.LatencyObjective == other.LatencyObjective && r.Priority == other.Priority &&
		r.MaxAttempts == other.MaxAttempts && r.HasAffinity == other.HasAffinity && r.IsAuthExempt == other.IsAuthExempt && r.Fault == other.Fault &&
		slices.Equal(r.Shares, other.Shares) && slices.Equal(r.HomeRegions, other.HomeRegions)
}

// Diff returns the routes of next that are missing in base or differ from the route of
// that name in base, and the names of the routes that are in base only. It reports
// false if names are not unique, because routes are identified by name.
func Diff(base, next []Route) (changed []Route, removed []string, ok bool) {
	baseRoutes := make(map[string]*Route, len(base))
	for i := range base {
		baseRoutes[base[i].Name] = &base[i]
	}
	if len(baseRoutes) != len(base) {
		return nil, nil, false
	}
	seen := make(map[string]bool, len(next))
	for i := range next {
		route := &next[i]
		if seen[route.Name] {
			return nil, nil, false
		}
		seen[route.Name] = true
		if old := baseRoutes[route.Name]; old == nil || !old.Equal(route) {
			changed = append(changed, *route)
		}
	}
	for name := range baseRoutes {
		if !seen[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed, true
}

// Merge returns base with the changed routes added, or in place of the routes with the
// same names, and without the removed routes.
func Merge(base, changed []Route, removed []string) []Route {
	isRemoved := make(map[string]bool, len(removed))
	for _, name := range removed {
		isRemoved[name] = true
	}
	pending := make(map[string]*Route, len(changed))
	for i := range changed {
		pending[changed[i].Name] = &changed[i]
	}
	merged := make([]Route, 0, len(base)+len(changed))
	for _, route := range base {
		if isRemoved[route.Name] {
			continue
		}
		if replacement := pending[route.Name]; replacement != nil {
			route = *replacement
			delete(pending, route.Name)
		}
		merged = append(merged, route)
	}
	for _, route := range changed {
		if pending[route.Name] != nil {
			merged = append(merged, route)
		}
	}
	return merged
}
