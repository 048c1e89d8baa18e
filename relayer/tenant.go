package relayer

import (
	"time"

	"github.com/pollencrank/pollencrank"
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

// nameOf returns the name of a tenant, or an empty one.
func nameOf(tenant *router.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}
