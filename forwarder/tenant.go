package forwarder

import "context"

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

// beforeSend calls BeforeSend, if it is set.
func (c *Call) beforeSend(ctx context.Context) error {
	if c.BeforeSend == nil {
		return nil
	}
	return c.BeforeSend(ctx)
}
