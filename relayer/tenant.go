package relayer

import (
	"net/http"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
)

// identify returns the tenant of a request under a configuration, or nil if the request
// needs none, or the reason why it is refused. hop is set for the request of another
// instance, which has checked the key already and names the tenant.
//
// The reasons hold no key, because they are logged.
func identify(table *router.Table, route *router.Route, key string, hop *rerouter.Hop, now time.Time) (*router.Tenant, error) {
	if hop != nil && hop.Tenant != "" {
		tenant := table.FindTenant(hop.Tenant)
		if tenant == nil {
			return nil, temporaryRefusal(pollencrank.ReasonNotReady, now, "tenant %s is not known here", hop.Tenant)
		}
		return tenant, checkTenant(tenant, now)
	}
	if !table.HasTenants() {
		return nil, nil
	}
	if tenant := holder(table, key); tenant != nil {
		return tenant, checkTenant(tenant, now)
	}
	if route.IsAuthExempt {
		return nil, nil
	}
	return nil, pollencrank.NotRun(pollencrank.ReasonUnknownKey, "no tenant of version %d holds the key", table.Version)
}

// holder returns the tenant that holds a key, or nil. An empty key is none.
func holder(table *router.Table, key string) *router.Tenant {
	if key == "" {
		return nil
	}
	return table.TenantOf(key)
}

// checkTenant refuses the requests of a tenant that cannot be served.
func checkTenant(tenant *router.Tenant, now time.Time) error {
	if tenant.Fault == "" {
		return nil
	}
	err := pollencrank.NotRun(pollencrank.ReasonTenantUnreadable, "tenant %s: %s", tenant.Name, tenant.Fault)
	err.RetryAt = now.Add(routeFaultRetryDelay)
	return err
}

// headerFor returns the header of a request as a server gets it.
func (r *Relayer) headerFor(tenant *router.Tenant, table *router.Table, incoming http.Header) http.Header {
	header := pollencrank.EndToEnd(incoming)
	r.setTenant(header, tenant, table)
	return header
}

// setTenant puts the name of a tenant, or none, in place of the key and of what the caller
// says. Without tenants in the configuration headers pass as they are.
func (r *Relayer) setTenant(header http.Header, tenant *router.Tenant, table *router.Table) {
	if table.HasTenants() {
		r.config.Dialect.SetTenant(header, nameOf(tenant))
	}
}

// confirmTenant identifies the caller again by the table in force, after a body that may have
// taken long: meanwhile the key may have been revoked, or the first tenants may have come.
// The route stays the one by which the request was admitted.
func (r *Relayer) confirmTenant(incoming *http.Request, call *forwarder.Call, key string) error {
	table, now := r.config.Table(), time.Now()
	if call.Hop != nil || incoming.ContentLength == 0 || table == call.Table {
		return nil
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	if route == nil {
		route = call.Route
	}
	tenant, err := identify(table, route, key, nil, now)
	if err != nil {
		return err
	}
	if nameOf(tenant) != nameOf(call.Tenant) {
		return temporaryRefusal(pollencrank.ReasonNotReady, now, "by version %d, in force since the body arrived, the tenant is another one", table.Version)
	}
	r.setTenant(call.Request.Header, tenant, table)
	return nil
}

// nameOf returns the name of a tenant, or an empty one.
func nameOf(tenant *router.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}
