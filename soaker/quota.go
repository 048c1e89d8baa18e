package soaker

import (
	"context"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// quotaWindow, quotaExcess and quotaSlack bound the requests of a tenant that run within
	// any window: what its quota allows, increased by the share quotaExcess, and quotaSlack.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// quotaGrace is the time after a change for which the earlier quota may still be in
	// force on some instance.
	quotaGrace = configurationBound + recoveryTime
)

// quotaBounds are the bounds as they stand in the settings of the instances.
var quotaBounds = []string{"quota-window=" + quotaWindow.String(), "quota-excess=0.1", "quota-slack=20"}

// tenantQuota is the quota of a tenant since a time.
type tenantQuota struct {
	perSecond, burst float64
	since            time.Time
}

// allowed returns the number of requests that a quota allows within a window.
func (q tenantQuota) allowed() float64 {
	return (q.perSecond*quotaWindow.Seconds()+q.burst)*(1+quotaExcess) + quotaSlack
}

// tenantRuns are the quotas of a tenant, the last one in force, and the requests that ran.
type tenantRuns struct {
	quotas []tenantQuota
	runs   []tenantRun
}

// tenantRun is a request that a server ran. The instance has sent it between sentAt, when the
// caller did, and arrivedAt.
type tenantRun struct{ sentAt, arrivedAt time.Time }

// setQuota records that a configuration with a tenant's quota was accepted. A quota without
// a limit is not checked.
func (l *ledger) setQuota(tenant string, perSecond, burst float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tenants == nil {
		l.tenants = map[string]*tenantRuns{}
	}
	if l.tenants[tenant] == nil {
		l.tenants[tenant] = &tenantRuns{}
	}
	t := l.tenants[tenant]
	t.quotas = append(t.quotas, tenantQuota{perSecond: perSecond, burst: burst, since: now})
}

// recordTenantRun checks the window that ends when a request of a tenant arrives at the
// server that runs it. The caller holds the lock.
func (l *ledger) recordTenantRun(tenant string, sentAt, arrivedAt time.Time) {
	t := l.tenants[tenant]
	if t == nil {
		return
	}
	t.runs = append(t.runs, tenantRun{sentAt: sentAt, arrivedAt: arrivedAt})
	begin := arrivedAt.Add(-quotaWindow)
	var kept []tenantRun
	for _, run := range t.runs {
		// A request that was sent before the window does not count in it.
		if run.sentAt.After(begin) {
			kept = append(kept, run)
		}
	}
	t.runs = kept
	allowed, isLimited := t.allowed(begin)
	if isLimited && float64(len(kept)) > allowed {
		l.addViolation("a tenant's quota holds for all instances together", "%s: %d requests ran in %s, allowed are %.1f",
			tenant, len(kept), quotaWindow, allowed)
	}
}

// allowed returns the largest number of requests that the quotas allow in a window that
// begins at a time, and reports false if one of them has no limit.
func (t *tenantRuns) allowed(begin time.Time) (float64, bool) {
	allowed := 0.0
	for i, quota := range t.quotas {
		isOver := i+1 < len(t.quotas) && begin.After(t.quotas[i+1].since.Add(quotaGrace))
		if isOver {
			continue
		}
		if quota.perSecond <= 0 {
			return 0, false
		}
		allowed = max(allowed, quota.allowed())
	}
	return allowed, true
}

// soakQuotas are the quotas that a tenant may get. Its callers send more than the smallest
// ones allow.
var soakQuotas = []imitator.QuotaConfig{{}, {PerSecond: 10, Burst: 5}, {PerSecond: 30, Burst: 30}}

// changeQuota changes the quota of a tenant.
func (s *soak) changeQuota(_ context.Context, _ time.Duration, choice uint64) {
	tenant := int(choice % tenantCount)
	quota := soakQuotas[choice/tenantCount%uint64(len(soakQuotas))]
	s.keys.setQuota(tenant, quota)
	// A higher quota may be in force as soon as the store has it.
	s.ledger.setQuota(tenantName(tenant), quota.PerSecond, quota.Burst, time.Now())
	if err := s.configure(); err != nil {
		s.ledger.reportViolation("a configuration is accepted", "%v", err)
	}
}

// setQuota sets the quota of a tenant in the next version.
func (r *keyRing) setQuota(tenant int, quota imitator.QuotaConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quotas[tenant] = quota
}

// isLimited reports whether a tenant has a quota with a limit.
func (r *keyRing) isLimited(tenant string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, quota := range r.quotas {
		if tenantName(i) == tenant {
			return quota.PerSecond > 0
		}
	}
	return false
}
