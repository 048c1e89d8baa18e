package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/replicator"
)

// asSent returns an update as the build of the instance sends it.
func (n *node) asSent(update replicator.Update) replicator.Update {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.isOlder && update.Configuration != nil {
		configuration := *update.Configuration
		configuration.LacksTenants = true
		update.Configuration = &configuration
	}
	return update
}

// Guards against instances that get no configurations any more while the relay of their
// failure domain still runs a build that knows no tenants: they take them from the store.
func TestConfigurationsArriveBehindARelayThatKnowsNoTenants(t *testing.T) {
	for name, older := range map[string]int{"the relay": 1, "the first three": 3} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []int{5, 3}, func(t *testing.T, f *fleet) {
				f.modify(func() {
					for _, n := range f.nodes[:older] {
						n.isOlder = true
					}
				})
				for range 4 {
					f.write()
					time.Sleep(drainDeadline)
					f.mu.Lock()
					version := f.version
					for _, n := range f.nodes {
						require.NotEmpty(t, n.versions, n.ID)
						require.Equal(t, version, n.versions[len(n.versions)-1], n.ID)
					}
					f.mu.Unlock()
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}
