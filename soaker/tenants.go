package soaker

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// tenantCount is the number of tenants, and firstKeys that of the keys of each at the
	// start.
	tenantCount = 3
	firstKeys   = 2
	// unknownKeyShare, noKeyShare and revokedKeyShare are the shares of requests with a key
	// that nobody holds, without a key, and with a key that has been revoked.
	unknownKeyShare = 0.05
	noKeyShare      = 0.05
	revokedKeyShare = 0.1
	// keyStart begins all keys.
	keyStart = "s3cr3t-"
	// exemptPrefix begins the paths of the route that needs no key.
	exemptPrefix = "/urgent/"
	// claimedTenant is what callers say of their tenant themselves.
	claimedTenant = "claimed"
)

// tenantFaultKinds are the kinds of fault of runs with tenants.
func (s *soak) tenantFaultKinds() []faultKind {
	return []faultKind{{"keyAdded", s.addKey}, {"keyRevoked", s.revokeKey}, {"quotaChanged", s.changeQuota}}
}

// needsTenants reports whether a run has tenants.
func (c Config) needsTenants() bool {
	return c.Tenants || slices.ContainsFunc((&soak{}).tenantFaultKinds(), func(k faultKind) bool { return slices.Contains(c.Only, k.name) })
}

// apiKey is a key of a tenant. A key that was revoked is never used again.
type apiKey struct {
	text, tenant string
	// isFirst is set if every version had the key until it was revoked.
	isFirst bool
	// addedAt is when the store accepted the first version with the key, and revokedAt when
	// it accepted the first one without it. Either is zero before that.
	addedAt, revokedAt time.Time
	// isRevoked is set as soon as a version without the key may be written.
	isRevoked bool
}

// keyRing holds all keys that there ever were. It is safe for concurrent use.
type keyRing struct {
	mu   sync.Mutex
	keys []*apiKey
	// quotas are the quotas of the tenants by their numbers, in the next version.
	quotas [tenantCount]imitator.QuotaConfig
}

// newKeyRing returns a keyRing with the first keys of each tenant.
func newKeyRing() *keyRing {
	r := &keyRing{}
	for i := range tenantCount * firstKeys {
		r.add(i % tenantCount).isFirst = true
	}
	return r
}

func tenantName(number int) string { return fmt.Sprint("tenant-", number) }

// add adds a key of a tenant.
func (r *keyRing) add(tenant int) *apiKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := &apiKey{text: fmt.Sprintf(keyStart+"%d-of-%d", len(r.keys), tenant), tenant: tenantName(tenant)}
	r.keys = append(r.keys, key)
	return key
}

// revoke marks a key as revoked, be it the last one of its tenant. It returns nil if too few
// keys would be left to send requests with.
func (r *keyRing) revoke(choice uint64) *apiKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []*apiKey
	for _, key := range r.keys {
		if !key.isRevoked {
			held = append(held, key)
		}
	}
	if len(held) <= firstKeys {
		return nil
	}
	key := held[choice%uint64(len(held))]
	key.isRevoked = true
	return key
}

// accept records that the store has accepted a version with the effect of change on a key.
func (r *keyRing) accept(key *apiKey, change func(*apiKey, time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(key, time.Now())
}

// tenants returns the tenants of the next version. A tenant may have no keys.
func (r *keyRing) tenants() []imitator.TenantConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	tenants := make([]imitator.TenantConfig, tenantCount)
	for i := range tenants {
		tenants[i].Name = tenantName(i)
		tenants[i].Quota = r.quotas[i]
		for _, key := range r.keys {
			if key.tenant == tenants[i].Name && !key.isRevoked {
				tenants[i].Keys = append(tenants[i].Keys, key.text)
			}
		}
	}
	return tenants
}

// find returns a copy of a key, or of one that nobody ever held.
func (r *keyRing) find(text string) apiKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range r.keys {
		if key.text == text {
			return *key
		}
	}
	return apiKey{}
}

// draw returns the key of a caller's next request, or none while none is held for certain.
func (r *keyRing) draw(random *rand.Rand) string {
	share, choice := random.Float64(), random.Uint64()
	switch {
	case share < unknownKeyShare:
		return fmt.Sprint(keyStart+"unknown-", choice%objectCount)
	case share < unknownKeyShare+noKeyShare:
		return ""
	}
	isRevoked := share < unknownKeyShare+noKeyShare+revokedKeyShare
	r.mu.Lock()
	defer r.mu.Unlock()
	var held, revoked []string
	for _, key := range r.keys {
		switch {
		case key.isRevoked:
			revoked = append(revoked, key.text)
		case key.isFirst || !key.addedAt.IsZero():
			held = append(held, key.text)
		}
	}
	if isRevoked && len(revoked) > 0 {
		held = revoked
	}
	if len(held) == 0 {
		return ""
	}
	return held[choice%uint64(len(held))]
}

// addKey gives a tenant another key.
func (s *soak) addKey(_ context.Context, _ time.Duration, choice uint64) {
	key := s.keys.add(int(choice % tenantCount))
	if err := s.configure(); err != nil {
		s.ledger.reportViolation("a configuration is accepted", "%v", err)
		return
	}
	s.keys.accept(key, func(k *apiKey, now time.Time) { k.addedAt = now })
}

// revokeKey takes a key away.
func (s *soak) revokeKey(_ context.Context, _ time.Duration, choice uint64) {
	key := s.keys.revoke(choice)
	if key == nil {
		return
	}
	if err := s.configure(); err != nil {
		s.ledger.reportViolation("a configuration is accepted", "%v", err)
		return
	}
	s.keys.accept(key, func(k *apiKey, now time.Time) { k.revokedAt = now })
}

// checkLogs checks that no instance has logged a key.
func (s *soak) checkLogs() {
	for _, p := range s.instances {
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			s.ledger.reportViolation("a log is written", "%s: %v", p.id, err)
			continue
		}
		if bytes.Contains(log, []byte(keyStart)) {
			s.ledger.reportViolation("no key is logged", "%s", p.id)
		}
	}
}

func isExempt(a imitator.Attempt) bool {
	return len(a.Path) >= len(exemptPrefix) && a.Path[:len(exemptPrefix)] == exemptPrefix
}

// hasHeldKey reports whether an attempt has a key that a tenant holds, if its route needs one.
func (l *ledger) hasHeldKey(a imitator.Attempt) bool {
	if l.keys == nil || isExempt(a) {
		return true
	}
	key := l.keys.find(a.Key)
	return key.text != "" && !key.isRevoked
}

// isServable reports whether an attempt has to be served when nothing is wrong: its key is
// held, and its tenant has no quota that may be spent.
func (l *ledger) isServable(a imitator.Attempt) bool {
	return l.hasHeldKey(a) && (l.keys == nil || !l.keys.isLimited(l.keys.find(a.Key).tenant))
}

// checkTenant checks whom a server was told, and that it was told no key. The caller holds the
// lock.
func (l *ledger) checkTenant(s *sentAttempt, run imitator.Run) {
	if run.HasKey {
		l.addViolation("no key is passed on to a server", "%s at %s by %s", s.ID, run.Server, s.instance.id)
	}
	if l.keys == nil {
		return
	}
	key := l.keys.find(s.Key)
	if run.Tenant != key.tenant && !(run.Tenant == "" && l.mayLackTenant(s, key)) {
		l.addViolation("a server is told the tenant that holds the key", "%s at %s by %s: %q instead of %q", s.ID, run.Server, s.instance.id, run.Tenant, key.tenant)
	}
	isGone := !key.revokedAt.IsZero() && l.mustHaveApplied(s, change{at: key.revokedAt, bound: configurationBound})
	switch {
	case isExempt(s.Attempt):
		if isGone && run.Tenant != "" {
			l.addViolation("a revoked key identifies nobody", "%s at %s by %s, %s after its revocation", s.ID, run.Server, s.instance.id, run.At.Sub(key.revokedAt))
		}
	case key.text == "":
		l.addViolation("nothing runs with an unknown key", "%s at %s by %s", s.ID, run.Server, s.instance.id)
	case isGone:
		l.addViolation("nothing runs with a revoked key", "%s at %s by %s, %s after its revocation", s.ID, run.Server, s.instance.id, run.At.Sub(key.revokedAt))
	}
}

// mayLackTenant reports whether an attempt may run without the tenant of its key, because its
// route needs no key and the version in force may lack that key. The caller holds the lock.
func (l *ledger) mayLackTenant(s *sentAttempt, key apiKey) bool {
	return isExempt(s.Attempt) && (key.isRevoked || !l.mustKnow(s, key))
}

// mustKnow reports whether an attempt was sent after its key must have been in force, unless
// it was revoked since. The caller holds the lock.
func (l *ledger) mustKnow(s *sentAttempt, key apiKey) bool {
	return key.isFirst || !key.addedAt.IsZero() && l.mustHaveApplied(s, change{at: key.addedAt, bound: configurationBound})
}

// checkUnauthorized checks that a request got 401 only where a version permits it. The caller
// holds the lock.
func (l *ledger) checkUnauthorized(s *sentAttempt) {
	l.checkRefusal(s)
	if l.hasHeldKey(s.Attempt) {
		key := l.keyOf(s.Attempt)
		if isExempt(s.Attempt) || l.mustKnow(s, key) {
			l.addViolation("a key that is held is served", "%s got %d from %s", s.ID, http.StatusUnauthorized, s.instance.id)
		}
	}
}

// keyOf returns the key of an attempt. Without tenants every key counts as held.
func (l *ledger) keyOf(a imitator.Attempt) apiKey {
	if l.keys == nil {
		return apiKey{isFirst: true}
	}
	return l.keys.find(a.Key)
}
