package receiver

import (
	"cmp"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/steerer"
)

// View holds what the receiver reads from one generation of the configuration.
// It is immutable, and a request uses the same view from start to end.
type View struct {
	Generation pollencrank.Generation
	Region     string
	Preset     pollencrank.Preset
	Table      *steerer.Table
	routes     []route
	workloads  map[string]*pollencrank.Workload
	// nearestRegion maps a location to its nearest region.
	nearestRegion map[string]string
}

// route is a configured route with its workload.
type route struct {
	pollencrank.Route
	workload *pollencrank.Workload
}

// NewView returns the view of a configuration.
func NewView(generation pollencrank.Generation, c *pollencrank.Configuration, table *steerer.Table, region string) *View {
	v := &View{
		Generation:    generation,
		Region:        region,
		Preset:        c.Preset(),
		Table:         table,
		workloads:     map[string]*pollencrank.Workload{},
		nearestRegion: map[string]string{},
	}
	for i := range c.Workloads {
		w := &c.Workloads[i]
		v.workloads[w.Name] = w
		for _, r := range w.Routes {
			v.routes = append(v.routes, route{r, w})
		}
	}
	slices.SortStableFunc(v.routes, compareRoutes)
	for _, l := range c.Locations {
		v.nearestRegion[l.Name] = c.NearestRegion(l)
	}
	return v
}

// compareRoutes orders routes from specific to general: routes with a host
// first, then longer path prefixes, then routes with methods.
func compareRoutes(a, b route) int {
	return cmp.Or(
		cmp.Compare(specificFirst(a.Host != ""), specificFirst(b.Host != "")),
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(specificFirst(len(a.Methods) > 0), specificFirst(len(b.Methods) > 0)),
	)
}

// specificFirst is a sort key that puts specific values before general ones.
func specificFirst(specific bool) int {
	if specific {
		return 0
	}
	return 1
}

// match returns the workload of the first route that matches a request, or nil.
func (v *View) match(request *http.Request) *pollencrank.Workload {
	host := request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range v.routes {
		if r.Host != "" && !strings.EqualFold(r.Host, host) {
			continue
		}
		if !hasPathPrefix(request.URL.Path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, request.Method) {
			continue
		}
		return r.workload
	}
	return nil
}

// hasPathPrefix reports whether path begins with prefix and the match ends at a
// segment boundary.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || prefix == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// CallersRegion returns the region nearest to a caller. For a caller in no client
// block it returns the region of this entry.
func (v *View) CallersRegion(caller netip.Addr) string {
	if nearest := v.nearestRegion[v.Table.Locate(caller)]; nearest != "" {
		return nearest
	}
	return v.Region
}
