package relayer

import (
	"context"
	"time"

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
	// Validity returns for how long a request may still be sent with its token, and Accept
	// a token of another instance that is valid for a while.
	Validity(token rationer.Token) time.Duration
	Accept(validity time.Duration) rationer.Token
}

// hasQuota reports whether a call needs a token of a quota here. The request of another
// instance of an earlier build has taken one there for all its attempts.
func (r *Relayer) hasQuota(call *forwarder.Call) bool {
	if call.Hop != nil && call.Hop.TokenUntil.IsZero() {
		return false
	}
	return r.config.Quotas != nil && call.Tenant != nil && call.Tenant.Quota.IsLimited()
}

// checkQuota refuses a call whose tenant's quota is known to be spent.
func (r *Relayer) checkQuota(call *forwarder.Call) error {
	if !r.hasQuota(call) || call.Hop != nil {
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
	token, err := r.firstToken(ctx, call)
	if err != nil {
		return err
	}
	call.TokenUntil = func() time.Time { return time.Now().Add(r.config.Quotas.Validity(token)) }
	call.BeforeSend = func(ctx context.Context) error { return r.config.Quotas.Renew(ctx, call.Tenant, &token) }
	return nil
}

// firstToken returns the token for the first attempt at a call. That of another instance's
// request was taken there.
func (r *Relayer) firstToken(ctx context.Context, call *forwarder.Call) (rationer.Token, error) {
	if call.Hop != nil {
		return r.config.Quotas.Accept(time.Until(call.Hop.TokenUntil)), nil
	}
	return r.config.Quotas.Take(ctx, call.Tenant)
}
