package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against HOME: the home regions of the route and of the tenant bind both, and the
// placement of one tenant is not used for another.
func TestHomesOfRouteAndTenantBindBoth(t *testing.T) {
	s := newSystem(t)
	for i, test := range []struct {
		route, tenant []string
		prefixes      []string
	}{
		{nil, []string{"south"}, []string{"s-"}},
		{nil, []string{"north"}, []string{"n-"}},
		{[]string{"south"}, []string{"north", "south"}, []string{"s-"}},
		{[]string{"north", "south"}, []string{"north"}, []string{"n-"}},
		{[]string{"south"}, []string{"north"}, nil},
		{[]string{"south"}, nil, []string{"s-"}},
	} {
		s.route.HomeRegions = test.route
		s.sender.sent = nil
		for j := range 10 {
			call := s.newCall(fmt.Sprintf("request-%d-%d", i, j), fmt.Sprint(j), "/x")
			call.Tenant = &router.Tenant{Name: "t", HomeRegions: test.tenant}
			_, err := s.Forward(t.Context(), call)
			if test.prefixes == nil {
				require.True(t, pollencrank.IsNotRun(err))
				continue
			}
			require.NoError(t, err)
		}
		for _, name := range s.sender.sent {
			require.True(t, strings.HasPrefix(name, test.prefixes[0]), "%v: %s", test, name)
		}
	}
}

func TestAnotherInstanceIsToldTheTenant(t *testing.T) {
	s, p := newReroutingSystem(t)
	p.isCutOff = true
	s.route.HomeRegions = []string{"north", "south"}
	call := s.newCall("request-1", "17", "/x")
	call.Tenant = &router.Tenant{Name: "t", HomeRegions: []string{"south", "west"}}
	_, err := s.Forward(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, "t", p.requests[0].Hop.Tenant)
	require.True(t, p.requests[0].Hop.HasTenantHomes)
	for region, isAllowed := range map[string]bool{"north": false, "south": true, "west": false} {
		require.Equal(t, isAllowed, p.requests[0].IsAllowed(region), region)
	}
}

func TestATenantsPriorityGoesFirst(t *testing.T) {
	s := newSystem(t)
	s.route.Priority = 2
	call := s.newCall("request-1", "17", "/x")
	require.Equal(t, 2, call.Priority())
	call.Tenant = &router.Tenant{Priority: 0}
	require.Equal(t, 2, call.Priority())
	call.Tenant.HasPriority = true
	require.Equal(t, 0, call.Priority())
}
