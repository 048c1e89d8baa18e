package router

import (
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of an API key. It stands for the key wherever keys are
// stored, compared or sent to other instances, so that nothing discloses the key itself and
// the time of a comparison depends on no key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota is a tenant's share of requests over the whole fleet. The zero value has no limit.
type Quota struct {
	// PerSecond is the number of requests a second. Zero means that there is no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once beyond PerSecond.
	Burst float64
}

// IsLimited reports whether the quota has a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Tenant is a customer of the operator, whose callers identify themselves by API keys.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions are the only regions that may serve the tenant's requests, beside those
	// of the route. Empty means all.
	HomeRegions []string
	Quota       Quota
	// Fault says why no request of the tenant can be served: a setting that determines where
	// or how often requests run could not be parsed.
	Fault string

	// homeRegionsKey is the result of HomeRegionsKey, computed by NewTable.
	homeRegionsKey string
}

// HomeRegionsKey returns the HomeRegions as one string, which serves as a map key. A nil
// Tenant has none.
func (t *Tenant) HomeRegionsKey() string {
	if t == nil {
		return ""
	}
	if t.homeRegionsKey == "" {
		return joinRegions(t.HomeRegions)
	}
	return t.homeRegionsKey
}

// Equal reports whether two tenants have the same keys and are served in the same way.
func (t *Tenant) Equal(other *Tenant) bool {
	return t.Name == other.Name && t.Priority == other.Priority && t.HasPriority == other.HasPriority && t.Quota == other.Quota &&
		t.Fault == other.Fault && slices.Equal(t.Keys, other.Keys) && slices.Equal(t.HomeRegions, other.HomeRegions)
}

// AllowsRegion reports whether the tenant's requests may be served in a region. A nil
// Tenant allows all.
func (t *Tenant) AllowsRegion(region string) bool {
	return t == nil || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// HasTenants reports whether requests need an API key, unless their route is exempt.
func (t *Table) HasTenants() bool { return len(t.Tenants) > 0 }

// TenantOf returns the tenant that holds an API key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.tenantsByKey[DigestKey(key)] }

// FindTenant returns the tenant with a name, or nil.
func (t *Table) FindTenant(name string) *Tenant { return t.tenantsByName[name] }

// indexTenants builds the indices of the tenants. A key that two tenants hold identifies
// neither of them.
func (t *Table) indexTenants() {
	t.tenantsByName = make(map[string]*Tenant, len(t.Tenants))
	t.tenantsByKey = make(map[KeyDigest]*Tenant, len(t.Tenants))
	for i := range t.Tenants {
		tenant := &t.Tenants[i]
		tenant.homeRegionsKey = joinRegions(tenant.HomeRegions)
		t.tenantsByName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			holder, isHeld := t.tenantsByKey[key]
			if isHeld && holder != tenant {
				t.tenantsByKey[key] = nil
				continue
			}
			t.tenantsByKey[key] = tenant
		}
	}
}

// Home is a home region of a tenant.
type Home struct{ Tenant, Region string }

// UnknownHomes returns the home regions of tenants that isKnown does not know.
func (t *Table) UnknownHomes(isKnown func(region string) bool) []Home {
	var unknown []Home
	for i := range t.Tenants {
		for _, region := range t.Tenants[i].HomeRegions {
			if !isKnown(region) {
				unknown = append(unknown, Home{Tenant: t.Tenants[i].Name, Region: region})
			}
		}
	}
	return unknown
}
