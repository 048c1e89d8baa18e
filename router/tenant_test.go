package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/router"
)

func newTenantTable(tenants ...router.Tenant) *router.Table {
	return router.NewTable(router.Configuration{Tenants: tenants})
}

func tenant(name string, keys ...string) router.Tenant {
	t := router.Tenant{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, router.DigestKey(key))
	}
	return t
}

func TestAKeyIdentifiesItsTenant(t *testing.T) {
	table := newTenantTable(tenant("north", "a", "b"), tenant("south", "c"), tenant("keyless"))
	require.True(t, table.HasTenants())
	require.Equal(t, "north", table.TenantOf("a").Name)
	require.Equal(t, "north", table.TenantOf("b").Name)
	require.Equal(t, "south", table.TenantOf("c").Name)
	require.Nil(t, table.TenantOf("d"))
	require.Nil(t, table.TenantOf(""))
	require.Equal(t, "keyless", table.FindTenant("keyless").Name)
	require.Nil(t, table.FindTenant("west"))
}

func TestAKeyOfTwoTenantsIdentifiesNeither(t *testing.T) {
	table := newTenantTable(tenant("north", "shared", "a", "a"), tenant("south", "shared"), tenant("west", "shared"))
	require.Nil(t, table.TenantOf("shared"))
	require.Equal(t, "north", table.TenantOf("a").Name)
}

func TestATenantIsServedInItsHomeRegions(t *testing.T) {
	var none *router.Tenant
	require.True(t, none.AllowsRegion("north"))
	require.True(t, (&router.Tenant{}).AllowsRegion("north"))
	atHome := &router.Tenant{HomeRegions: []string{"south"}}
	require.True(t, atHome.AllowsRegion("south"))
	require.False(t, atHome.AllowsRegion("north"))
}

func TestAConfigurationWithoutTenantsNeedsNoKeys(t *testing.T) {
	require.False(t, newTenantTable().HasTenants())
}

func TestUnknownHomesAreFound(t *testing.T) {
	table := newTenantTable(router.Tenant{Name: "a", HomeRegions: []string{"north", "nort"}}, router.Tenant{Name: "b"})
	require.Equal(t, []router.Home{{Tenant: "a", Region: "nort"}}, table.UnknownHomes(func(region string) bool { return region == "north" }))
}

func TestTenantsDifferByEachSetting(t *testing.T) {
	base := tenant("a", "k")
	for name, change := range map[string]func(*router.Tenant){
		"name":     func(t *router.Tenant) { t.Name = "b" },
		"keys":     func(t *router.Tenant) { t.Keys = nil },
		"priority": func(t *router.Tenant) { t.HasPriority = true },
		"homes":    func(t *router.Tenant) { t.HomeRegions = []string{"north"} },
		"quota":    func(t *router.Tenant) { t.Quota.Burst = 1 },
		"fault":    func(t *router.Tenant) { t.Fault = "f" },
	} {
		other := base
		require.True(t, base.Equal(&other))
		change(&other)
		require.False(t, base.Equal(&other), name)
	}
	exempt, other := router.Route{IsAuthExempt: true}, router.Route{}
	require.False(t, exempt.Equal(&other))
}
