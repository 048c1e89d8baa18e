package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// secret begins every key of these tests.
const secret = "s3cr3t-"

func tenant(name string, keys ...string) router.Tenant {
	t := router.Tenant{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, router.DigestKey(secret+key))
	}
	return t
}

// newTenantTable returns a table with a route that needs keys and one that does not.
func newTenantTable(version uint64, tenants ...router.Tenant) *router.Table {
	return router.NewTable(router.Configuration{
		Version: version, Tenants: tenants,
		Routes: []router.Route{
			{Name: "r", Host: "a.example", PathPrefix: "/x/", Kind: router.Idempotent, Priority: 2},
			{Name: "open", Host: "a.example", PathPrefix: "/open/", Kind: router.Idempotent, IsAuthExempt: true},
			{Name: "faulty", Host: "a.example", PathPrefix: "/faulty/", Fault: "home-regions cannot be read"},
		},
	})
}

// gate is a Relayer whose table can be changed. It records what servers would get.
type gate struct {
	*relayer.Relayer
	table atomic.Pointer[router.Table]
	log   bytes.Buffer

	mu    sync.Mutex
	calls []*forwarder.Call
}

func newGate(table *router.Table) *gate {
	g := &gate{}
	g.table.Store(table)
	g.Relayer = relayer.New(relayer.Config{
		Table: g.table.Load, Dialect: dialect{}, SampleEvery: 1, Log: slog.New(slog.NewTextHandler(&g.log, nil)),
		Forwarder: forwardFunc(func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.calls = append(g.calls, call)
			return answer("whole"), nil
		}),
	})
	return g
}

// last returns the last call, or nil, and forgets it.
func (g *gate) last() *forwarder.Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.calls) == 0 {
		return nil
	}
	call := g.calls[len(g.calls)-1]
	g.calls = nil
	return call
}

func newRequest(path string, header http.Header) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "http://a.example"+path, nil)
	r.Header = header.Clone()
	return r
}

func (g *gate) serve(path string, header http.Header) int {
	w := httptest.NewRecorder()
	g.ServeHTTP(w, newRequest(path, header))
	return w.Code
}

func key(name string) http.Header { return http.Header{"Test-Key": {secret + name}} }

func TestWhoIsServedByKey(t *testing.T) {
	unreadable := tenant("unreadable", "u")
	unreadable.Fault = "home-regions cannot be read"
	g := newGate(newTenantTable(7, tenant("north", "a", "b"), tenant("south", "c", "shared"), tenant("west", "shared"), tenant("keyless"), unreadable))
	for name, test := range map[string]struct {
		path   string
		header http.Header
		status int
		tenant string
	}{
		"a key":                      {"/x/1", key("b"), 200, "north"},
		"another tenant":             {"/x/1", key("c"), 200, "south"},
		"a foreign name":             {"/x/1", http.Header{"Test-Key": {secret + "a"}, "Test-Tenant": {"south", "west"}}, 200, "north"},
		"a name listed as hop only":  {"/x/1", http.Header{"Test-Key": {secret + "a"}, "Connection": {"Test-Tenant"}}, 200, "north"},
		"no key":                     {"/x/1", http.Header{}, 401, ""},
		"only a name":                {"/x/1", http.Header{"Test-Tenant": {"north"}}, 401, ""},
		"an empty key":               {"/x/1", http.Header{"Test-Key": {""}}, 401, ""},
		"two keys":                   {"/x/1", http.Header{"Test-Key": {secret + "a", secret + "b"}}, 401, ""},
		"an unknown key":             {"/x/1", key("z"), 401, ""},
		"a key of two tenants":       {"/x/1", key("shared"), 401, ""},
		"an unreadable tenant":       {"/x/1", key("u"), 503, ""},
		"no route goes first":        {"/y", http.Header{}, 404, ""},
		"a faulty route":             {"/faulty/1", key("a"), 503, ""},
		"a faulty route without key": {"/faulty/1", http.Header{}, 401, ""},
		"an exempt route":            {"/open/1", http.Header{"Test-Tenant": {"north"}}, 200, ""},
		"an exempt route, unknown":   {"/open/1", key("z"), 200, ""},
		"an exempt route with a key": {"/open/1", key("a"), 200, "north"},
		"exempt, unreadable tenant":  {"/open/1", key("u"), 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.status, g.serve(test.path, test.header))
			call := g.last()
			if test.status != 200 {
				require.Nil(t, call, "the request must not run")
				return
			}
			require.NotContains(t, call.Request.Header, "Test-Key")
			require.Equal(t, test.tenant, strings.Join(call.Request.Header.Values("Test-Tenant"), ","))
			require.Equal(t, test.tenant != "", call.Tenant != nil)
		})
	}
	require.NotContains(t, g.log.String(), secret)
}

func TestWithoutTenantsHeadersPassAsTheyAre(t *testing.T) {
	g := newGate(newTenantTable(7))
	header := http.Header{"Test-Key": {secret + "a"}, "Test-Tenant": {"mine", "too"}, "Other": {"y"}}
	require.Equal(t, 200, g.serve("/x/1", header))
	require.Equal(t, header, g.last().Request.Header)
}

func TestATenantsPriorityGoesBeforeTheRoutes(t *testing.T) {
	urgent := tenant("urgent", "u")
	urgent.HasPriority = true
	g := newGate(newTenantTable(7, urgent, tenant("other", "o")))
	require.Equal(t, 200, g.serve("/x/1", key("u")))
	require.Equal(t, 0, g.last().Priority())
	require.Equal(t, 200, g.serve("/x/1", key("o")))
	require.Equal(t, 2, g.last().Priority())
}

func TestKeysComeAndGoWithVersions(t *testing.T) {
	g := newGate(nil)
	require.Equal(t, 503, g.serve("/x/1", key("a")), "an instance without a configuration knows no key")
	g.table.Store(newTenantTable(1, tenant("north", "a")))
	require.Equal(t, 200, g.serve("/x/1", key("a")))
	require.Equal(t, 401, g.serve("/x/1", key("b")))
	g.table.Store(newTenantTable(2, tenant("north", "a", "b")))
	require.Equal(t, 200, g.serve("/x/1", key("b")))
	g.table.Store(newTenantTable(3, tenant("north")))
	require.Equal(t, 401, g.serve("/x/1", key("a")), "the last key of a tenant may go")
	require.Equal(t, 401, g.serve("/x/1", key("b")))
	g.table.Store(newTenantTable(4, tenant("north"), tenant("south", "a")))
	require.Equal(t, 200, g.serve("/x/1", key("a")))
	require.Equal(t, "south", g.last().Tenant.Name)
}

// Guards against a request that is checked by one version and served by another.
func TestARequestIsServedByTheVersionThatKnowsItsKey(t *testing.T) {
	tables := []*router.Table{newTenantTable(1, tenant("north", "a")), newTenantTable(2, tenant("south", "a"))}
	g := newGate(tables[0])
	stop := make(chan struct{})
	var reloads, callers sync.WaitGroup
	reloads.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				g.table.Store(tables[i%2])
			}
		}
	})
	for range 4 {
		callers.Go(func() {
			for range 200 {
				g.serve("/x/1", key("a"))
			}
		})
	}
	callers.Wait()
	close(stop)
	reloads.Wait()
	require.Len(t, g.calls, 800)
	for _, call := range g.calls {
		require.Equal(t, call.Table.TenantOf(secret+"a"), call.Tenant)
		require.Equal(t, call.Tenant.Name, call.Request.Header.Get("Test-Tenant"))
	}
}

// slowBody is a body that arrives after a call of before.
type slowBody struct{ before func() }

// Read implements io.Reader.
func (b slowBody) Read([]byte) (int, error) {
	b.before()
	return 0, io.EOF
}

// Guards against a caller who keeps a revoked key in use, or whose key reaches a server, by a
// body that arrives after the next version.
func TestAKeyIsCheckedAgainAfterTheBody(t *testing.T) {
	both := http.Header{"Test-Key": {secret + "a"}, "Test-Tenant": {"mine"}}
	onlyName := http.Header{"Test-Tenant": {"mine"}}
	none, north := newTenantTable(1), newTenantTable(1, tenant("north", "a"))
	faulty := tenant("north", "a")
	faulty.Fault = "home-regions cannot be read"
	for name, test := range map[string]struct {
		before, after *router.Table
		path          string
		header        http.Header
		status        int
		want          http.Header
	}{
		"revoked":              {north, newTenantTable(2, tenant("north", "b")), "/x/1", both, 401, nil},
		"moved":                {north, newTenantTable(2, tenant("north"), tenant("south", "a")), "/x/1", both, 503, nil},
		"unreadable":           {north, newTenantTable(2, faulty), "/x/1", both, 503, nil},
		"still held":           {north, newTenantTable(2, tenant("north", "a", "b")), "/x/1", both, 200, http.Header{"Test-Tenant": {"north"}}},
		"revoked, exempt":      {north, newTenantTable(2, tenant("north", "b")), "/open/1", both, 503, nil},
		"the last tenant goes": {north, newTenantTable(2), "/x/1", both, 503, nil},
		"the first comes":      {none, north, "/x/1", both, 503, nil},
		"and there is no key":  {none, north, "/x/1", onlyName, 401, nil},
		"and none is needed":   {none, north, "/open/1", onlyName, 200, http.Header{}},
		"no tenants":           {none, router.NewTable(router.Configuration{Version: 2}), "/x/1", both, 200, both},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(test.before)
			r := httptest.NewRequest(http.MethodPost, "http://a.example"+test.path, slowBody{func() { g.table.Store(test.after) }})
			r.Header = test.header.Clone()
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			require.Equal(t, test.status, w.Code)
			require.Equal(t, test.status == 503, w.Header().Get("Retry-After") != "")
			require.NotContains(t, g.log.String(), secret)
			call := g.last()
			require.Equal(t, test.status == 200, call != nil)
			if call != nil {
				require.Equal(t, test.want, call.Request.Header)
			}
		})
	}
}

// The other instance has checked the key, and answers for the tenant that it names.
func TestAReroutedRequestKeepsItsTenantWhileTheBodyArrives(t *testing.T) {
	g := newGate(newTenantTable(7, tenant("north", "a")))
	r := httptest.NewRequest(http.MethodPost, "http://a.example/x/1", slowBody{func() { g.table.Store(newTenantTable(8)) }})
	r.Header = http.Header{"Pollencrank-Rerouted": {"2"}, "Pollencrank-Remaining": {"300ms"}, "Pollencrank-Version": {"7", "7 north"}}
	require.Equal(t, 200, serveRerouted(g.Relayer, r).Code)
	require.Equal(t, "north", g.last().Request.Header.Get("Test-Tenant"))
}

func TestEachRequestOfAConnectionIsCheckedByItself(t *testing.T) {
	g := newGate(newTenantTable(7, tenant("north", "a"), tenant("south", "c")))
	conn, reader := connect(t, serveCallers(t, g.Relayer))
	send := func(headers string) string {
		return "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n" + headers + "Transfer-Encoding: chunked\r\nTrailer: Test-Tenant\r\n\r\n5\r\norder\r\n0\r\nTest-Tenant: west\r\n\r\n"
	}
	_, err := io.WriteString(conn, send("Test-Key: "+secret+"a\r\n")+send("")+send("test-key: "+secret+"c\r\n")+send("Test-Key: "+secret+"a\r\nTest-Key: \r\n"))
	require.NoError(t, err)
	var statuses []int
	for range 4 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		statuses = append(statuses, response.StatusCode)
	}
	require.Equal(t, []int{200, 401, 200, 401}, statuses)
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for _, call := range g.calls {
		require.Equal(t, "order", string(call.Body))
		names = append(names, strings.Join(call.Request.Header.Values("Test-Tenant"), ","))
	}
	require.ElementsMatch(t, []string{"north", "south"}, names)
	require.NotContains(t, g.log.String(), secret)
}

func (g *gate) serveHop(path string, header http.Header, versions ...string) *httptest.ResponseRecorder {
	r := newRequest(path, header)
	r.Header.Set("Pollencrank-Rerouted", "2")
	r.Header.Set("Pollencrank-Remaining", "300ms")
	r.Header["Pollencrank-Version"] = versions
	return serveRerouted(g.Relayer, r)
}

func TestAnotherInstanceNamesTheTenant(t *testing.T) {
	atHome := tenant("home", "h")
	atHome.HomeRegions, atHome.HasPriority = []string{"north"}, true
	g := newGate(newTenantTable(7, atHome, tenant("other", "o")))
	w := g.serveHop("/x/1", http.Header{"Test-Tenant": {"other"}}, "18446744073709551615", "7 home")
	require.Equal(t, 200, w.Code)
	call := g.last()
	require.Equal(t, "home", call.Request.Header.Get("Test-Tenant"))
	require.Equal(t, []string{"north"}, call.Tenant.HomeRegions)
	require.Equal(t, 0, call.Priority())
	require.NotContains(t, call.Request.Header, "Pollencrank-Version")

	w = g.serveHop("/x/1", http.Header{}, "7", "7 gone")
	require.Equal(t, 503, w.Code)
	require.Equal(t, "notRun", w.Header().Get("Pollencrank-Outcome"))
	require.Equal(t, "notReady", w.Header().Get("Pollencrank-Reason"), "a third instance may know the tenant")
	w = g.serveHop("/x/1", http.Header{}, "18446744073709551615", "8 home")
	require.Equal(t, "notReady", w.Header().Get("Pollencrank-Reason"))
	require.Nil(t, g.last())
}

// Guards against keys that an instance of an older build has not checked.
func TestWithoutANamedTenantAReroutedRequestNeedsAKey(t *testing.T) {
	g := newGate(newTenantTable(7, tenant("north", "a")))
	require.Equal(t, 401, g.serveHop("/x/1", http.Header{"Test-Tenant": {"north"}}, "7").Code)
	require.Equal(t, 200, g.serveHop("/x/1", key("a"), "7").Code)
	call := g.last()
	require.Equal(t, "north", call.Request.Header.Get("Test-Tenant"))
	require.NotContains(t, call.Request.Header, "Test-Key")
}

func TestACallerCannotPassForAnInstance(t *testing.T) {
	g := newGate(newTenantTable(7, tenant("north", "a")))
	require.Equal(t, 401, g.serve("/x/1", http.Header{
		"Pollencrank-Rerouted": {"2"}, "Pollencrank-Remaining": {"300ms"}, "Pollencrank-Version": {"7", "7 north"}, "Test-Tenant": {"north"},
	}))
	require.Nil(t, g.last())
}

// For any tenants and any request, a server gets the name of the tenant that holds the key
// and never the key, and only the requests that it may get.
func TestServersGetTheNameAndNeverTheKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"n", "s", "w", "e"}), 1, 4, rapid.ID).Draw(t, "tenants")
		holders := map[string][]string{}
		var tenants []router.Tenant
		for _, name := range names {
			keys := rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2", "3", "4"}), 0, 3).Draw(t, "keys")
			tenants = append(tenants, tenant(name, keys...))
			for _, k := range keys {
				if !strings.Contains(fmt.Sprint(holders[k]), name) {
					holders[k] = append(holders[k], name)
				}
			}
		}
		g := newGate(newTenantTable(1, tenants...))
		k := rapid.SampledFrom([]string{"1", "2", "3", "4", "5"}).Draw(t, "key")
		path := rapid.SampledFrom([]string{"/x/1", "/open/1"}).Draw(t, "path")
		header := key(k)
		header["Test-Tenant"] = rapid.SliceOfN(rapid.SampledFrom(names), 0, 2).Draw(t, "forged")
		status := g.serve(path, header)
		call := g.last()
		require.NotContains(t, g.log.String(), secret)
		want := ""
		if len(holders[k]) == 1 {
			want = holders[k][0]
		}
		if want == "" && path == "/x/1" {
			require.Equal(t, 401, status)
			require.Nil(t, call)
			return
		}
		require.Equal(t, 200, status)
		require.NotContains(t, fmt.Sprint(call.Request.Header), secret)
		require.Equal(t, want, strings.Join(call.Request.Header.Values("Test-Tenant"), ","))
	})
}
