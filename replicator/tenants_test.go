package replicator

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/internal/newspb"
	"github.com/pollencrank/pollencrank/router"
)

func testTenant(name string, keys ...string) router.Tenant {
	t := router.Tenant{
		Name: name, Priority: 3, HasPriority: true, HomeRegions: []string{"north"}, Quota: router.Quota{PerSecond: 2.5, Burst: 10}, Fault: "f",
	}
	for _, key := range keys {
		t.Keys = append(t.Keys, router.DigestKey(key))
	}
	return t
}

// configureAt puts a configuration into a state as the store does.
func configureAt(t require.TestingT, s *State, position follower.Position, c router.Configuration) {
	require.NoError(t, s.Configurations.ApplyChange(follower.Change[router.Configuration]{
		Position: position, IsWhole: true,
		Items: []follower.Item[router.Configuration]{{Name: configurationName, Revision: position, Value: c}},
	}))
}

// Guards against keys that get lost or stay behind when a configuration is sent as a change:
// an instance that fetches only some versions has the tenants and the exemptions of each.
func TestTenantsAreReplicatedWithEachVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newTestState(), newTestState()
		var cursor Cursor
		c := router.Configuration{Services: map[string]router.Service{}}
		for version := uint64(1); version <= 12; version++ {
			c.Version = version
			if version == 1 || rapid.Bool().Draw(t, "other tenants") {
				c.Tenants = nil
				for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
					keys := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2).Draw(t, "keys")
					c.Tenants = append(c.Tenants, testTenant(fmt.Sprint("t-", i), keys...))
				}
			}
			route := testRoute("r")
			route.IsAuthExempt = rapid.Bool().Draw(t, "exempt")
			c.Routes = []router.Route{route}
			configureAt(t, first, follower.Position(version+1), c)
			if !rapid.Bool().Draw(t, "fetched") {
				continue
			}
			update, next := first.Since(cursor)
			cursor = next
			require.NoError(t, second.Apply(transmit(t, update)))
			got, _ := second.Configurations.Value(configurationName)
			require.Equal(t, c.Tenants, got.Tenants)
			require.Equal(t, c.Routes, got.Routes)
		}
	})
}

func TestUnchangedTenantsAreNotSentAgain(t *testing.T) {
	s := newTestState()
	c := router.Configuration{Version: 1, Tenants: []router.Tenant{testTenant("north", "a")}}
	configureAt(t, s, 2, c)
	_, cursor := s.Since(Cursor{})
	c.Version, c.Routes = 2, []router.Route{testRoute("r")}
	configureAt(t, s, 3, c)
	update, _ := s.Since(cursor)
	m := encode(update, senderNow).GetConfiguration()
	require.Equal(t, newspb.TenantState_TENANT_STATE_AS_BASE, m.GetTenantState())
	require.Empty(t, m.GetTenants())
}

// Guards against a receiver that merges a change with another configuration of the same
// number, which a store may write after it came back from an earlier copy.
func TestAVersionOfTwoConfigurationsIsNoBase(t *testing.T) {
	s := newTestState()
	c := router.Configuration{Version: 1, Tenants: []router.Tenant{testTenant("north", "a")}}
	configureAt(t, s, 2, c)
	cursor := s.Cursor()
	for position := range follower.Position(maxRecent) {
		configureAt(t, s, 3+position, c)
	}
	other := router.Configuration{Version: 2, Tenants: c.Tenants}
	configureAt(t, s, 10, other)
	update, _ := s.Since(cursor)
	require.EqualValues(t, 1, update.Configuration.BaseVersion, "the same configuration again is no other one")

	c.Tenants = []router.Tenant{testTenant("north", "b")}
	s = newTestState()
	configureAt(t, s, 2, other)
	cursor = s.Cursor()
	configureAt(t, s, 3, router.Configuration{Version: 2, Tenants: c.Tenants})
	configureAt(t, s, 4, router.Configuration{Version: 3, Tenants: c.Tenants})
	update, _ = s.Since(cursor)
	require.Zero(t, update.Configuration.BaseVersion)
	require.Equal(t, c.Tenants, update.Configuration.Configuration.Tenants)
}

// Guards against keys that other instances could read.
func TestNoKeyIsSentToOtherInstances(t *testing.T) {
	s := newTestState()
	configureAt(t, s, 2, router.Configuration{Version: 1, Tenants: []router.Tenant{testTenant("north", "s3cr3t-a")}})
	update, _ := s.Since(Cursor{})
	data, err := proto.Marshal(encode(update, senderNow))
	require.NoError(t, err)
	require.Contains(t, string(data), "north")
	require.NotContains(t, string(data), "s3cr3t")
}

// olderWhole and olderChange are version 2, whole and as a change of version 1, as the build
// 6ab8dd1 wrote them. It knew no tenants.
const (
	olderWhole  = "100122580a0410051801180220052a041a0022003a460a03722d311209612e6578616d706c651a052f722d312f20032a02080132061080c6868f01380242090a057061727473100342070a036f6c641001480250015a056e6f727468"
	olderChange = "1001225a0a04080210051001180220052a041a0022003a460a03722d311209612e6578616d706c651a052f722d312f20032a02080132061080c6868f01380242090a057061727473100342070a036f6c641001480250015a056e6f727468"
)

func decodeOlder(t *testing.T, text string) Update {
	t.Helper()
	data, err := hex.DecodeString(text)
	require.NoError(t, err)
	var m newspb.News
	require.NoError(t, proto.Unmarshal(data, &m))
	update, err := decode(&m, receiverNow)
	require.NoError(t, err)
	return update
}

// Guards against an instance that takes the configuration of an older build, which leaves the
// tenants out, for one without tenants: it would serve everyone.
func TestAConfigurationOfABuildWithoutTenantsIsNotApplied(t *testing.T) {
	for name, text := range map[string]string{"whole": olderWhole, "change": olderChange} {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			c := router.Configuration{Version: 1, Tenants: []router.Tenant{testTenant("north", "a")}}
			configureAt(t, s, 2, c)
			var missing *TenantsMissingError
			require.ErrorAs(t, s.Apply(decodeOlder(t, text)), &missing)
			require.EqualValues(t, 2, missing.Version)
			got, _ := s.Configurations.Value(configurationName)
			require.Equal(t, c, got)
			require.EqualValues(t, 2, s.Cursor().Configurations, "the version is still missing")

			// What the store has given already is no fault of the sender.
			c.Version = 2
			configureAt(t, s, 5, c)
			require.NoError(t, s.Apply(decodeOlder(t, text)))
			got, _ = s.Configurations.Value(configurationName)
			require.Equal(t, c, got)
		})
	}
	var missing *TenantsMissingError
	require.ErrorAs(t, newTestState().Apply(decodeOlder(t, olderWhole)), &missing, "nor by an instance that has just started")
}

// Guards against a stream that ends because an older build has listed the store again: the
// version is the one in force, only its position is newer.
func TestAVersionInForceOfABuildWithoutTenantsAdvancesThePosition(t *testing.T) {
	for name, text := range map[string]string{"whole": olderWhole, "change": olderChange} {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			c := router.Configuration{Version: 2, Tenants: []router.Tenant{testTenant("north", "a")}}
			configureAt(t, s, 2, c)
			require.NoError(t, s.Apply(decodeOlder(t, text)))
			got, _ := s.Configurations.Value(configurationName)
			require.Equal(t, c, got)
			require.EqualValues(t, 5, s.Cursor().Configurations)
			update, _ := s.Since(Cursor{Positions: Positions{Configurations: 2}, Version: 2})
			require.NoError(t, s.Apply(update))
			got, _ = s.Configurations.Value(configurationName)
			require.Equal(t, c, got)
		})
	}
}

func TestMalformedTenantsAreRejected(t *testing.T) {
	good := &newspb.Range{After: 1, Position: 2}
	for name, tenant := range map[string]*newspb.Tenant{
		"no name":      {KeyDigests: [][]byte{make([]byte, 32)}},
		"short digest": {Name: "north", KeyDigests: [][]byte{make([]byte, 31)}},
		"rate":         {Name: "north", PerSecond: -1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(&newspb.News{Configuration: &newspb.ConfigurationChange{
				Range: good, TenantState: newspb.TenantState_TENANT_STATE_WHOLE, Tenants: []*newspb.Tenant{tenant},
			}}, receiverNow)
			require.ErrorIs(t, err, errMalformed)
		})
	}
	_, err := decode(&newspb.News{Configuration: &newspb.ConfigurationChange{Range: good, TenantState: newspb.TenantState_TENANT_STATE_AS_BASE}}, receiverNow)
	require.ErrorIs(t, err, errMalformed, "no base version")
}
