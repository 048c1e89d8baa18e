package soaker

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

var unauthorized = imitator.Reply{Status: http.StatusUnauthorized}

// Checks that each broken promise about tenants is reported once, and what is permitted is not.
func TestLedgerReportsWhatTenantsMustNotGet(t *testing.T) {
	for name, test := range map[string]struct {
		path, key string
		run       *imitator.Run
		reply     imitator.Reply
		count     int
	}{
		"a key that is held":         {"/lookup/1", "first", &imitator.Run{Tenant: "tenant-0"}, served, 0},
		"another tenant":             {"/lookup/1", "first", &imitator.Run{Tenant: "tenant-1"}, served, 1},
		"no tenant":                  {"/lookup/1", "first", &imitator.Run{}, served, 1},
		"what the caller claims":     {"/urgent/1", "", &imitator.Run{Tenant: claimedTenant}, served, 1},
		"the key":                    {"/lookup/1", "first", &imitator.Run{Tenant: "tenant-0", HasKey: true}, served, 1},
		"an unknown key":             {"/lookup/1", "unknown", &imitator.Run{}, served, 1},
		"an unknown key is refused":  {"/lookup/1", "unknown", nil, unauthorized, 0},
		"a held key is refused":      {"/lookup/1", "first", nil, unauthorized, 1},
		"a revoked key":              {"/lookup/1", "revoked", &imitator.Run{Tenant: "tenant-1"}, served, 1},
		"a revoked key is refused":   {"/lookup/1", "revoked", nil, unauthorized, 0},
		"a key that was just added":  {"/lookup/1", "added", nil, unauthorized, 0},
		"a key of an exempt route":   {"/urgent/1", "first", &imitator.Run{Tenant: "tenant-0"}, served, 0},
		"an exempt route, no tenant": {"/urgent/1", "first", &imitator.Run{}, served, 1},
		"exempt, just added":         {"/urgent/1", "added", &imitator.Run{}, served, 0},
		"exempt, added long ago":     {"/urgent/1", "known", &imitator.Run{}, served, 1},
		"exempt, revoked":            {"/urgent/1", "revoked", &imitator.Run{}, served, 0},
		"exempt, revoked long ago":   {"/urgent/1", "revoked", &imitator.Run{Tenant: "tenant-1"}, served, 1},
		"no key, exempt route":       {"/urgent/1", "", &imitator.Run{}, served, 0},
		"an exempt route refuses":    {"/urgent/1", "unknown", nil, unauthorized, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture()
				ring := newKeyRing()
				s.keys = ring
				revoked := ring.add(1)
				added, known := ring.add(0), ring.add(2)
				ring.accept(revoked, func(k *apiKey, now time.Time) {
					k.addedAt, k.revokedAt, k.isRevoked = now.Add(-time.Minute), now.Add(-time.Minute), true
				})
				ring.accept(added, func(k *apiKey, now time.Time) { k.addedAt = now })
				ring.accept(known, func(k *apiKey, now time.Time) { k.addedAt = now.Add(-time.Minute) })
				texts := map[string]string{"first": ring.keys[0].text, "revoked": revoked.text, "added": added.text, "known": known.text, "unknown": "s3cr3t-unknown"}
				a := s.beginAttempt(imitator.Attempt{ID: "a", Path: test.path, Key: texts[test.key]}, s.instance)
				if test.run != nil {
					run := *test.run
					run.Server, run.RequestID, run.Path, run.At = "s1", "a", test.path, time.Now()
					s.recordRun(run)
				}
				s.endAttempt(a, test.reply)
				_, violations := s.result()
				require.Len(t, violations, test.count, "%v", violations)
			})
		})
	}
}

func TestSomeKeysAreAlwaysHeld(t *testing.T) {
	ring := newKeyRing()
	for choice := range uint64(20) {
		ring.revoke(choice)
	}
	random := rand.New(rand.NewPCG(1, 1))
	held := 0
	for range 100 {
		if key := ring.find(ring.draw(random)); key.text != "" && !key.isRevoked {
			held++
		}
	}
	require.Positive(t, held)
}

// Guards against a crash while only keys are left that no accepted version has yet.
func TestARequestWithoutAKeyIsDrawnIfNoneIsHeld(t *testing.T) {
	ring := &keyRing{}
	ring.add(0)
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		require.Empty(t, ring.find(ring.draw(random)).text)
	}
}

// Guards seeds of earlier runs: without tenants the same faults are drawn as before.
func TestRunsWithoutTenantsDrawTheSameFaults(t *testing.T) {
	without := (&soak{}).faultKinds()
	with := (&soak{config: Config{Tenants: true}}).faultKinds()
	require.Len(t, with, len(without)+3)
	for i, kind := range without {
		require.Equal(t, kind.name, with[i].name)
	}
}
