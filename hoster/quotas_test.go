package hoster_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/router"
)

// configureTenant writes a configuration with a tenant that has a quota.
func (s *store) configureTenant(version uint64, quota router.Quota) {
	s.configurations.set("main", router.Configuration{
		Version: version,
		Routes:  []router.Route{{Name: "r", Host: "a.example", PathPrefix: "/x/", Shares: []router.Share{{Service: "parts", Weight: 1}}}},
		Tenants: []router.Tenant{
			{Name: "tenant-1", Keys: []router.KeyDigest{router.DigestKey("secret")}, Quota: quota},
			{Name: "tenant-2"},
		},
		Services: map[string]router.Service{"parts": {Name: "parts", MaxConnections: 100, ColdRate: 6}},
	}, false)
}

// askForQuota asks an entry for tokens of a tenant's quota.
func askForQuota(t *testing.T, e *entry, body string) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+e.PeerAddress+"/quotas/loans", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(answer)
}

// An instance lends of its part once nobody else can hold it, says when the next token is
// there, and shows what it holds to operators without the keys.
func TestAnInstanceLendsOfItsPartOfAQuota(t *testing.T) {
	s := newStore()
	s.configureTenant(1, router.Quota{PerSecond: 0.5, Burst: 2})
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	eventually(t, "ready", func() bool { return e.isReady(t) })
	status, _ := askForQuota(t, e, `{"tenant":"tenant-1","count":1}`)
	require.Equal(t, http.StatusNotFound, status, "another instance may hold the part")
	const request = `{"tenant":"tenant-1","count":50}`
	eventually(t, "a token", func() bool {
		_, answer := askForQuota(t, e, request)
		return strings.HasPrefix(answer, `{"granted":`) && !strings.HasPrefix(answer, `{"granted":0`)
	})
	status, answer := askForQuota(t, e, request)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, answer, `{"granted":0,"retryAfterMs":`)

	response, err := http.Get("http://" + e.PeerAddress + "/quotas")
	require.NoError(t, err)
	defer response.Body.Close()
	var shown []struct {
		Tenant   string   `json:"tenant"`
		Holders  []string `json:"holders"`
		IsHolder bool     `json:"isHolder"`
	}
	page, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(page, &shown))
	require.Len(t, shown, 1, "tenants without a limit have no quota")
	require.Equal(t, "tenant-1", shown[0].Tenant)
	require.Equal(t, []string{"entry-1"}, shown[0].Holders)
	require.True(t, shown[0].IsHolder)
	require.NotContains(t, string(page), "secret")
}

func TestTokensAreRefusedForWhatIsMalformedOrNotKnown(t *testing.T) {
	s := newStore()
	s.configureTenant(1, router.Quota{PerSecond: 5})
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	eventually(t, "ready", func() bool { return e.isReady(t) })
	for body, want := range map[string]int{
		`{"tenant":"tenant-1","count":0}`:    http.StatusBadRequest,
		`{"tenant":"tenant-1","count":-3}`:   http.StatusBadRequest,
		`{"tenant":"tenant-1","count":1e99}`: http.StatusBadRequest,
		`{"count":1}`:                        http.StatusBadRequest,
		`no JSON`:                            http.StatusBadRequest,
		`{"tenant":"` + strings.Repeat("x", 5000) + `","count":1}`: http.StatusBadRequest,
		`{"tenant":"tenant-2","count":1}`:                          http.StatusNotFound,
		`{"tenant":"tenant-9","count":1,"new":true}`:               http.StatusNotFound,
	} {
		status, _ := askForQuota(t, e, body)
		require.Equal(t, want, status, body)
	}
}
