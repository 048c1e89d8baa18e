package forwarder

import (
	"context"
	"time"

	"github.com/pollencrank/pollencrank/rerouter"
)

// Priority is the rank of the call; 0 is the most urgent. That of the tenant goes before
// that of the route.
func (c *Call) Priority() int {
	if c.Tenant != nil && c.Tenant.HasPriority {
		return c.Tenant.Priority
	}
	return c.Route.Priority
}

// allowsRegion reports whether the call may be served in a region. The home regions of the
// route and of the tenant bind both.
func (c *Call) allowsRegion(region string) bool {
	return c.Route.AllowsRegion(region) && c.Tenant.AllowsRegion(region)
}

// hop tells another instance what has been done with the call.
func (c *Call) hop() rerouter.Hop {
	hop := rerouter.Hop{MaxAttempts: c.maxAttempts() - c.sent, IsCounted: c.isCounted, Version: c.Table.Version}
	if c.Tenant != nil {
		hop.Tenant, hop.HasTenantHomes = c.Tenant.Name, len(c.Tenant.HomeRegions) > 0
	}
	return hop
}

// beforeSend calls BeforeSend, if it is set. The deadline may pass meanwhile.
func (f *Forwarder) beforeSend(ctx context.Context, call *Call) error {
	if call.BeforeSend == nil {
		return nil
	}
	if err := call.BeforeSend(ctx); err != nil {
		return err
	}
	return f.checkDeadline(call, time.Now())
}
