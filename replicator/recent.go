package replicator

import (
	"slices"
	"sync"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/router"
)

// maxRecent is the number of configurations that changes can be sent against. An
// instance that lags further behind gets the whole configuration.
const maxRecent = 4

// recentConfigurations keeps the latest maxRecent configurations.
type recentConfigurations struct {
	mu   sync.Mutex
	last []router.Configuration
}

func (r *recentConfigurations) add(c router.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = slices.DeleteFunc(r.last, func(known router.Configuration) bool { return isSameBase(known, c) })
	r.last = append(r.last, c)
	if len(r.last) > maxRecent {
		r.last = slices.Delete(r.last, 0, 1)
	}
}

// find returns the configuration of a version. It reports false if there are several: a store
// that came back from an earlier copy may give a version to another configuration, and the
// receiver names its own by the version only.
func (r *recentConfigurations) find(version uint64) (router.Configuration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isVersion := func(c router.Configuration) bool { return c.Version == version }
	i := slices.IndexFunc(r.last, isVersion)
	if i < 0 || version == 0 || slices.ContainsFunc(r.last[i+1:], isVersion) {
		return router.Configuration{}, false
	}
	return r.last[i], true
}

// isSameBase reports whether changes against two configurations are the same.
func isSameBase(a, b router.Configuration) bool {
	return a.Version == b.Version &&
		slices.EqualFunc(a.Routes, b.Routes, func(x, y router.Route) bool { return x.Equal(&y) }) &&
		slices.EqualFunc(a.Tenants, b.Tenants, func(x, y router.Tenant) bool { return x.Equal(&y) })
}

// recordingHandler adds every configuration to recent before it passes it on.
type recordingHandler struct {
	follower.Handler[router.Configuration]
	recent *recentConfigurations
}

// Reset implements follower.Handler.
func (r recordingHandler) Reset(items []follower.Item[router.Configuration]) {
	r.record(items)
	r.Handler.Reset(items)
}

// Apply implements follower.Handler.
func (r recordingHandler) Apply(items []follower.Item[router.Configuration]) {
	r.record(items)
	r.Handler.Apply(items)
}

func (r recordingHandler) record(items []follower.Item[router.Configuration]) {
	for _, item := range items {
		if !item.Removed && item.Name == configurationName {
			r.recent.add(item.Value)
		}
	}
}
