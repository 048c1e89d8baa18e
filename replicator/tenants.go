package replicator

import (
	"fmt"
	"math"
	"slices"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/internal/newspb"
	"github.com/pollencrank/pollencrank/router"
)

// TenantsMissingError reports a configuration of an instance whose build knows no tenants.
// It is not applied, because requests would then need no API key. The instance follows
// another one, or watches the store itself.
type TenantsMissingError struct {
	Version uint64
}

// Error implements error.
func (e *TenantsMissingError) Error() string {
	return fmt.Sprintf("the sender of version %d knows no tenants", e.Version)
}

// shareTenants leaves the tenants out of a change whose base version has the same ones.
func (u *ConfigurationUpdate) shareTenants(base []router.Tenant) {
	isEqual := func(a, b router.Tenant) bool { return a.Equal(&b) }
	if slices.EqualFunc(base, u.Configuration.Tenants, isEqual) {
		u.HasBaseTenants = true
		u.Configuration.Tenants = nil
	}
}

// isAhead reports whether the state does not have the position of an update yet.
func (s *State) isAhead(update ConfigurationUpdate) bool {
	position, isLoaded := s.Configurations.Position()
	return !isLoaded || update.Position > position
}

// applyWithoutTenants applies an update whose sender knows no tenants, if it is a later
// position of the version in force: the sender has listed the store again.
func (s *State) applyWithoutTenants(update ConfigurationUpdate) error {
	position, _ := s.Configurations.Position()
	current, isKnown := s.Configurations.Value(configurationName)
	if !isKnown || current.Version != update.Configuration.Version {
		return &TenantsMissingError{Version: update.Configuration.Version}
	}
	return s.Configurations.ApplyChange(follower.Change[router.Configuration]{After: position, Position: update.Position})
}

func encodeTenants(update *ConfigurationUpdate) (newspb.TenantState, []*newspb.Tenant) {
	if update.HasBaseTenants {
		return newspb.TenantState_TENANT_STATE_AS_BASE, nil
	}
	var tenants []*newspb.Tenant
	for i := range update.Configuration.Tenants {
		tenants = append(tenants, encodeTenant(&update.Configuration.Tenants[i]))
	}
	return newspb.TenantState_TENANT_STATE_WHOLE, tenants
}

func encodeTenant(t *router.Tenant) *newspb.Tenant {
	m := &newspb.Tenant{
		Name: t.Name, HasPriority: t.HasPriority, Priority: int32(min(t.Priority, math.MaxInt32)), HomeRegions: t.HomeRegions,
		PerSecond: t.Quota.PerSecond, Burst: t.Quota.Burst, Fault: t.Fault,
	}
	for _, key := range t.Keys {
		m.KeyDigests = append(m.KeyDigests, key[:])
	}
	return m
}

// decodeTenants adds the tenants of a message to an update.
func decodeTenants(m *newspb.ConfigurationChange, update *ConfigurationUpdate) error {
	switch m.GetTenantState() {
	case newspb.TenantState_TENANT_STATE_WHOLE:
	case newspb.TenantState_TENANT_STATE_AS_BASE:
		if update.BaseVersion == 0 {
			return fmt.Errorf("%w: the tenants of a base version, but none is named", errMalformed)
		}
		update.HasBaseTenants = true
		return nil
	default:
		update.LacksTenants = true
		return nil
	}
	for _, t := range m.GetTenants() {
		tenant, err := decodeTenant(t)
		if err != nil {
			return err
		}
		update.Configuration.Tenants = append(update.Configuration.Tenants, tenant)
	}
	return nil
}

func decodeTenant(m *newspb.Tenant) (router.Tenant, error) {
	t := router.Tenant{
		Name: m.GetName(), HasPriority: m.GetHasPriority(), Priority: int(m.GetPriority()), HomeRegions: m.GetHomeRegions(),
		Quota: router.Quota{PerSecond: m.GetPerSecond(), Burst: m.GetBurst()}, Fault: m.GetFault(),
	}
	if t.Name == "" && t.Fault == "" {
		return router.Tenant{}, fmt.Errorf("%w: a tenant without a name", errMalformed)
	}
	if isInvalid(t.Quota.PerSecond) || isInvalid(t.Quota.Burst) {
		return router.Tenant{}, fmt.Errorf("%w: the quota of tenant %q", errMalformed, t.Name)
	}
	for _, digest := range m.GetKeyDigests() {
		if len(digest) != len(router.KeyDigest{}) {
			return router.Tenant{}, fmt.Errorf("%w: a key of tenant %q", errMalformed, t.Name)
		}
		t.Keys = append(t.Keys, router.KeyDigest(digest))
	}
	return t, nil
}

// isInvalid reports whether a number is negative or not finite.
func isInvalid(amount float64) bool { return !(amount >= 0 && amount <= math.MaxFloat64) }
