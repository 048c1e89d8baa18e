package pollencrank_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
)

func TestADrainAppliesToServersAndInstancesOfItsTarget(t *testing.T) {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	server := pollencrank.Server{Name: "server-1", FailureDomain: "north-1"}
	entry := pollencrank.Instance{ID: "entry-1", FailureDomain: "north-1"}
	cases := []struct {
		kind             pollencrank.DrainKind
		name             string
		server, instance bool
	}{
		{pollencrank.DrainServer, "server-1", true, false},
		{pollencrank.DrainServer, "server-2", false, false},
		{pollencrank.DrainInstance, "entry-1", false, true},
		{pollencrank.DrainInstance, "entry-2", false, false},
		{pollencrank.DrainFailureDomain, "north-1", true, true},
		{pollencrank.DrainFailureDomain, "north-2", false, false},
		{pollencrank.DrainRegion, "north", true, true},
		{pollencrank.DrainRegion, "south", false, false},
	}
	for _, c := range cases {
		target := pollencrank.DrainTarget{Kind: c.kind, Name: c.name}
		configuration := &pollencrank.Configuration{
			FailureDomains: []pollencrank.FailureDomain{{Name: "north-1", Region: "north"}, {Name: "north-2", Region: "north"}},
			Drains:         []pollencrank.Drain{pollencrank.NewDrain(target, start, time.Time{})},
		}
		require.Equal(t, target, configuration.Drains[0].Target())
		require.Equal(t, c.server, configuration.IsDraining(server, start), "%v", target)
		require.Equal(t, c.instance, configuration.IsInstanceDraining(entry, start), "%v", target)
		early := start.Add(-time.Nanosecond)
		require.False(t, configuration.IsDraining(server, early) || configuration.IsInstanceDraining(entry, early))
	}
}
