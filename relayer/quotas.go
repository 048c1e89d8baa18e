package relayer

import (
	"context"

	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/router"
)

// Quotas keeps the quotas of tenants. rationer.Rationer implements it.
type Quotas interface {
	// Check returns the error with which Take would refuse a request at once, or nil.
	Check(tenant *router.Tenant) error
	// Take takes a token for one request.
	Take(ctx context.Context, tenant *router.Tenant) (rationer.Token, error)
	// Renew has to be called right before the request is sent.
	Renew(ctx context.Context, tenant *router.Tenant, token *rationer.Token) error
}

// hasQuota reports whether a call takes a token of a quota here. The request of another
// instance has taken one there.
func (r *Relayer) hasQuota(call *forwarder.Call) bool {
	return r.config.Quotas != nil && call.Hop == nil && call.Tenant != nil && call.Tenant.Quota.IsLimited()
}

// checkQuota refuses a call whose tenant's quota is known to be spent.
func (r *Relayer) checkQuota(call *forwarder.Call) error {
	if !r.hasQuota(call) {
		return nil
	}
	return r.config.Quotas.Check(call.Tenant)
}

// takeQuota takes a token of the quota of a call's tenant, and lets the forwarder renew it
// for an attempt that comes late.
func (r *Relayer) takeQuota(ctx context.Context, call *forwarder.Call) error {
	if !r.hasQuota(call) {
		return nil
	}
	token, err := r.config.Quotas.Take(ctx, call.Tenant)
	if err != nil {
		return err
	}
	call.BeforeSend = func(ctx context.Context) error { return r.config.Quotas.Renew(ctx, call.Tenant, &token) }
	return nil
}
