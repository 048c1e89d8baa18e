package rationer

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/router"
)

// Status is what this instance knows of a tenant's quota.
type Status struct {
	Tenant  string
	Quota   router.Quota
	Holders []string
	// IsHolder says that this instance holds a part, with so many Tokens of it left.
	IsHolder bool
	Tokens   float64
	// SpentUntil says until when other holders are not asked because they were spent, and
	// SilentUntil because they did not answer.
	SpentUntil, SilentUntil map[string]time.Time
}

// Describe returns what this instance knows of the quotas of tenants, ordered by name.
func (r *Rationer) Describe(tenants []router.Tenant) []Status {
	now, _ := r.read()
	var statuses []Status
	for i := range tenants {
		if isLimited(tenants[i].Quota) {
			statuses = append(statuses, r.describe(&tenants[i], now))
		}
	}
	slices.SortFunc(statuses, func(x, y Status) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return statuses
}

func (r *Rationer) describe(tenant *router.Tenant, now time.Time) Status {
	division := r.division(tenant.Name, now)
	status := Status{
		Tenant: tenant.Name, Quota: tenant.Quota, IsHolder: division.IsHolder,
		SpentUntil: map[string]time.Time{}, SilentUntil: map[string]time.Time{},
	}
	for _, holder := range division.Holders {
		status.Holders = append(status.Holders, holder.ID)
	}
	a := r.accountOf(tenant.Name, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if division.IsHolder {
		a.bucket.fill(r.ownPart(tenant, division), division.From, now)
		status.Tokens = a.bucket.tokens
	}
	for _, o := range a.others {
		if now.Before(o.spentUntil) {
			status.SpentUntil[o.id] = o.spentUntil
		}
		if now.Before(o.silentUntil) {
			status.SilentUntil[o.id] = o.silentUntil
		}
	}
	return status
}

// logSpent logs the first refusal of a tenant after a while without one.
func (r *Rationer) logSpent(a *account, tenant *router.Tenant, refusal error) {
	var notRun *pollencrank.NotRunError
	if !errors.As(refusal, &notRun) || notRun.Reason != pollencrank.ReasonQuotaSpent {
		return
	}
	a.mu.Lock()
	wasSpent := a.isSpent
	a.isSpent = true
	a.mu.Unlock()
	if wasSpent {
		return
	}
	r.config.Log.Info("the quota of a tenant is spent", recorder.EventQuotaSpent.Attr(), slog.String("tenant", a.name),
		slog.Float64("perSecond", tenant.Quota.PerSecond), slog.Float64("burst", tenant.Quota.Burst), slog.Time("retryAt", notRun.RetryAt))
}

// logFree logs that no request of a tenant was refused for a while.
func (r *Rationer) logFree(a *account, now time.Time) {
	a.mu.Lock()
	if !a.isSpent || now.Sub(a.refusedAt) < spentMemory {
		a.mu.Unlock()
		return
	}
	refusals := a.refusals
	a.isSpent, a.refusals = false, 0
	a.mu.Unlock()
	r.config.Log.Info("no request of a tenant is refused for its quota any more", recorder.EventQuotaFree.Attr(),
		slog.String("tenant", a.name), slog.Int("refusals", refusals))
}
