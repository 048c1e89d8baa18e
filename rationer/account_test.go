package rationer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/router"
)

// silentFleet is a fleet whose only holder is another instance that does not answer.
type silentFleet struct{ Fleet }

func (silentFleet) Self() apportioner.Member { return apportioner.Member{ID: "a"} }

func (silentFleet) Division(string, time.Time) apportioner.Division {
	return apportioner.Division{Holders: []apportioner.Member{{ID: "b"}}, Parts: 1}
}

func (silentFleet) Borrow(context.Context, string, string, int) (Loan, error) {
	return Loan{}, errors.New("no answer")
}

// Guards against two buckets of one part.
func TestAnAccountThatIsAboutToBeUsedIsNotDeleted(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	r := New(Config{Now: func() time.Time { return now }})
	idle := r.accountOf("tenant-1", now)
	now = now.Add(accountMemory + time.Second)
	used := r.accountOf("tenant-1", now)
	require.Same(t, idle, used)
	r.Sweep()
	require.Same(t, used, r.accountOf("tenant-1", now))
	now = now.Add(accountMemory + time.Second)
	r.Sweep()
	require.Empty(t, r.accounts)
}

func TestALogIsNotNeeded(t *testing.T) {
	tenant := &router.Tenant{Name: "tenant-1", Quota: router.Quota{PerSecond: 1, Burst: 1}}
	r := New(Config{Fleet: silentFleet{}, Lender: silentFleet{}, Find: func(string) *router.Tenant { return tenant }})
	_, err := r.Take(t.Context(), tenant)
	require.Error(t, err)
}
