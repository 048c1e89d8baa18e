package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/gossiper"
)

// An owner may be allocated servers before its address has arrived by gossip. A
// look-up must not return it until then.
func TestOnlyKnownOwnersAreAdvertised(t *testing.T) {
	c := &pollencrank.Configuration{Servers: []pollencrank.Server{
		{Name: "a", Workload: "w", FailureDomain: "north-1", Site: "one", Slots: 2},
		{Name: "b", Workload: "w", FailureDomain: "north-1", Site: "two", Slots: 3},
		{Name: "c", Workload: "w", FailureDomain: "north-1", Slots: 4},
		{Name: "d", Workload: "w", FailureDomain: "south-1", Slots: 5},
		{Name: "e", Workload: "w", FailureDomain: "north-1", Slots: 6},
	}}
	c.Drains = []pollencrank.Drain{{Server: "e", Start: time.Now()}}
	entry := pollencrank.Instance{ID: "entry-1", Region: "north", CallerAddress: "127.0.0.1:1"}
	other := pollencrank.Instance{ID: "entry-2", Region: "south", CallerAddress: "127.0.0.2:1"}
	roster := gossiper.NewRoster([]pollencrank.Instance{entry, other})
	owners := map[string]string{"a": "entry-1", "b": "entry-1", "c": "not known yet", "d": "entry-2", "e": "entry-1"}
	advertised := advertisedOwners(c, roster, owners, time.Now())
	require.Len(t, advertised, 3)
	for _, o := range advertised {
		require.NotEmpty(t, o.Instance.CallerAddress)
	}
	require.Equal(t, []balancer.Owner{{Instance: entry, Workload: "w", Slots: 5}}, regionalOwners(advertised, "north"))
}
