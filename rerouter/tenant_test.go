package rerouter_test

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/rerouter"
)

// sentHeader returns the header that another instance gets with a request.
func sentHeader(t *testing.T, header http.Header, hop rerouter.Hop) http.Header {
	t.Helper()
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() }))
	defer server.Close()
	p := &peers{all: []namer.Instance{{ID: "entry-2", PeerAddress: strings.TrimPrefix(server.URL, "http://")}}}
	answer, err := p.newRerouter(t).Send(t.Context(), rerouter.Request{
		Request:   &pollencrank.Request{ID: "1", Method: http.MethodGet, Host: "a.example", URI: "/x/1", Header: header, Deadline: time.Now().Add(time.Minute)},
		IsAllowed: anyRegion, Hop: hop,
	})
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return got
}

func TestAHopNamesTheTenant(t *testing.T) {
	for _, hop := range []rerouter.Hop{
		{MaxAttempts: 2, Version: 7},
		{MaxAttempts: 2, Version: 7, Tenant: "north"},
		{MaxAttempts: 2, Version: 7, Tenant: "north and south", HasTenantHomes: true},
	} {
		header := sentHeader(t, http.Header{"Pollencrank-Version": {"9", "9 forged"}}, hop)
		first, err := strconv.ParseUint(header.Get("Pollencrank-Version"), 10, 64)
		require.NoError(t, err, "a build that knows no tenants reads the first value")
		require.Equal(t, hop.HasTenantHomes, first == math.MaxUint64, "and refuses a request that it might serve elsewhere")
		got, err := rerouter.DecodeHop(header)
		require.NoError(t, err)
		require.Equal(t, hop.Tenant, got.Tenant)
		require.Equal(t, hop.Version, got.Version)
		require.NotContains(t, header, "Pollencrank-Version")
	}
}

// A build that knows no tenants passes on what callers send, but replaces the version.
func TestNoTenantIsForgedThroughAnOlderBuild(t *testing.T) {
	header := http.Header{"Pollencrank-Version": {"7", "7 north"}}
	header.Set("Pollencrank-Version", "7")
	header.Set("Pollencrank-Rerouted", "2")
	header.Set("Pollencrank-Remaining", "1s")
	hop, err := rerouter.DecodeHop(header)
	require.NoError(t, err)
	require.Empty(t, hop.Tenant)
}

func TestAnyTenantIsReadAsItWasSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.StringMatching(`[!-~]([ -~]*[!-~])?`).Draw(rt, "name")
		header := http.Header{"Pollencrank-Rerouted": {"2"}, "Pollencrank-Remaining": {"1s"}, "Pollencrank-Version": {"7", "7 " + name}}
		hop, err := rerouter.DecodeHop(header)
		require.NoError(rt, err)
		require.Equal(rt, name, hop.Tenant)
	})
}

// Guards against a caller that gets 401 although its key is held, or its route needs none, by
// the version of the instance that it asked: the other one had another version and no key.
func TestAKeyThatAnotherInstanceMissesIsNotUnknown(t *testing.T) {
	p := &peers{}
	p.add(t, "only", "north", refuse(pollencrank.ReasonUnknownKey, true))
	_, err := send(t, p.newRerouter(t), anyRegion, "order")
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, pollencrank.ReasonNotReady, notRun.Reason)
}

// Guards against an instance that gets no request because it does not know one tenant yet.
func TestAnInstanceThatDoesNotKnowATenantGetsOtherRequests(t *testing.T) {
	for _, test := range []struct {
		reason pollencrank.Reason
		tenant string
		asked  []string
	}{
		{pollencrank.ReasonNotReady, "north", []string{"near", "far", "near", "far"}},
		{pollencrank.ReasonStopping, "north", []string{"near", "far", "far"}},
		{pollencrank.ReasonNotReady, "", []string{"near", "far", "far"}},
	} {
		p := &peers{}
		p.add(t, "near", "north", refuse(test.reason, true))
		p.add(t, "far", "south", serve)
		r := p.newRerouter(t)
		for range 2 {
			newRequest := func() *pollencrank.Request {
				return &pollencrank.Request{ID: "7", Method: http.MethodGet, Host: "a.example", URI: "/x", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)}
			}
			answer, err := r.Send(t.Context(), rerouter.Request{
				Request: newRequest(), NewBody: newRequest, IsAllowed: anyRegion, Hop: rerouter.Hop{MaxAttempts: 2, Version: 7, Tenant: test.tenant},
			})
			require.NoError(t, err)
			require.NoError(t, answer.Body.Close())
		}
		require.Equal(t, test.asked, p.asked)
	}
}

// Builds that know no tokens read the first two values.
func TestAHopCarriesTheRestOfAToken(t *testing.T) {
	hop := rerouter.Hop{MaxAttempts: 2, Version: 7, Tenant: "north", TokenUntil: time.Now().Add(time.Minute)}
	header := sentHeader(t, http.Header{}, hop)
	require.Equal(t, []string{"7", "7 north"}, header.Values("Pollencrank-Version")[:2])
	got, err := rerouter.DecodeHop(header)
	require.NoError(t, err)
	require.WithinDuration(t, hop.TokenUntil, got.TokenUntil, 10*time.Second)
	hop.TokenUntil = time.Time{}
	got, err = rerouter.DecodeHop(sentHeader(t, http.Header{}, hop))
	require.NoError(t, err)
	require.True(t, got.TokenUntil.IsZero())
	_, err = rerouter.DecodeHop(http.Header{"Pollencrank-Rerouted": {"2"}, "Pollencrank-Remaining": {"1s"}, "Pollencrank-Version": {"7", "7 north", "soon"}})
	require.Error(t, err)
}
