package hoster_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/router"
)

// secret begins every key of these tests.
const secret = "s3cr3t-"

// setTenants writes a configuration with tenants, each with one key that is named after it.
func (s *store) setTenants(version uint64, tenants ...router.Tenant) {
	for i := range tenants {
		tenants[i].Keys = []router.KeyDigest{router.DigestKey(secret + tenants[i].Name)}
	}
	s.configurations.set("main", router.Configuration{
		Version: version, Tenants: tenants,
		Routes: []router.Route{{
			Name: "r", Host: "a.example", PathPrefix: "/", Kind: router.Idempotent, MaxAttempts: 2, Timeout: 5 * time.Second,
			Shares: []router.Share{{Service: "parts", Weight: 1}},
		}},
		Services: map[string]router.Service{"parts": {Name: "parts", MaxConnections: 100, ColdRate: 6}},
	}, false)
}

// tellTenant answers with the names of tenants that the server gets, and notes any key.
type tellTenant struct {
	mu   sync.Mutex
	keys []string
}

func (s *tellTenant) serve(w http.ResponseWriter, r *http.Request) {
	if header := fmt.Sprint(r.Header); strings.Contains(header, secret) {
		s.mu.Lock()
		s.keys = append(s.keys, header)
		s.mu.Unlock()
	}
	_, _ = fmt.Fprint(w, strings.Join(r.Header.Values(wire.HeaderTenant), ","))
}

func (s *tellTenant) requireNoKey(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.keys)
}

// getAs sends a request with the key of a tenant, and a forged name.
func (e *entry) getAs(t *testing.T, tenant, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.CallerAddress+path, nil)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", "id-"+path)
	r.Header.Set(wire.HeaderCredential, secret+tenant)
	r.Header.Set(wire.HeaderTenant, "forged")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func (e *entry) requireNoKeyLogged(t *testing.T) {
	t.Helper()
	require.False(t, e.log.contains(secret), "a key was logged")
}

func TestServersAreToldTheTenantAndNotTheKey(t *testing.T) {
	s := newStore()
	servers := &tellTenant{}
	s.startServer(t, "i-1", servers.serve)
	s.setTenants(1, router.Tenant{Name: "north"}, router.Tenant{Name: "lost", HomeRegions: []string{"nort"}})
	e := s.start(t, "entry-1", 1)
	eventually(t, "the tenant is served", func() bool {
		status, body := e.getAs(t, "north", "/1")
		return status == http.StatusOK && body == "north"
	})
	status, _, _ := e.get(t, "/2")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = e.getAs(t, "unknown", "/3")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = e.getAs(t, "lost", "/4")
	require.Equal(t, http.StatusServiceUnavailable, status, "a tenant is served in its home regions only")
	require.True(t, e.log.has(recorder.EventPartUnreadable) && e.log.contains("nort"), "an unknown region is logged")

	s.setTenants(2, router.Tenant{Name: "south"})
	eventually(t, "the new key is in force", func() bool {
		status, body := e.getAs(t, "south", "/5")
		return status == http.StatusOK && body == "south"
	})
	status, _ = e.getAs(t, "north", "/6")
	require.Equal(t, http.StatusUnauthorized, status)
	e.requireNoKeyLogged(t)
	servers.requireNoKey(t)
}

// Guards against a request that loses its tenant, or shows its key, on the way through another
// instance.
func TestATenantIsKeptThroughAnotherInstance(t *testing.T) {
	s := newStore()
	servers := &tellTenant{}
	for i := range 3 {
		s.startServer(t, fmt.Sprint("i-", i), servers.serve)
	}
	s.setTenants(1, router.Tenant{Name: "north", HomeRegions: []string{"north"}}, router.Tenant{Name: "any"})
	other := s.start(t, "entry-2", 1)
	cutOff, links := s.startBehindLinks(t, "entry-1")
	for _, e := range []*entry{other, cutOff} {
		eventually(t, "the instance serves", func() bool {
			status, _ := e.getAs(t, "any", "/1")
			return status == http.StatusOK && e.isReady(t)
		})
	}
	for _, l := range links {
		l.set(t, linkRefuses)
	}
	for _, name := range []string{"north", "any"} {
		eventually(t, "served through the other instance", func() bool {
			status, body := cutOff.getAs(t, name, "/2")
			return status == http.StatusOK && body == name
		})
	}
	require.True(t, cutOff.log.has(recorder.EventCutOff) || cutOff.log.has(recorder.EventRequestRetried))
	status, _ := cutOff.getAs(t, "unknown", "/3")
	require.Equal(t, http.StatusUnauthorized, status)
	cutOff.requireNoKeyLogged(t)
	other.requireNoKeyLogged(t)
	servers.requireNoKey(t)
}
