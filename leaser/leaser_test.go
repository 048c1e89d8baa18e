package leaser_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/leaser"
)

const lifetime = 10 * time.Second

func newLeaser(store *standin.Store, holder string) *leaser.Leaser {
	return leaser.New(leaser.Config{Store: store, Key: "leases/test", Holder: holder, Lifetime: lifetime})
}

func TestALeaseIsHeldByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ctx := standin.NewStore(), context.Background()
		one, two := newLeaser(store, "one"), newLeaser(store, "two")
		first, err := one.Acquire(ctx)
		require.NoError(t, err)
		_, err = two.Acquire(ctx)
		var held *leaser.HeldError
		require.ErrorAs(t, err, &held)
		require.Equal(t, "one", held.Holder)
		time.Sleep(lifetime / 2)
		renewed, err := one.Acquire(ctx)
		require.NoError(t, err)
		require.Equal(t, first.Token, renewed.Token)
		require.NoError(t, one.Release(ctx))
		acquired, err := two.Acquire(ctx)
		require.NoError(t, err)
		require.Greater(t, acquired.Token, first.Token)
	})
}

func TestAPausedHolderDetectsThatItsLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ctx := standin.NewStore(), context.Background()
		one, two := newLeaser(store, "one"), newLeaser(store, "two")
		first, err := one.Acquire(ctx)
		require.NoError(t, err)
		_, _ = two.Acquire(ctx)
		time.Sleep(2 * lifetime)
		require.False(t, first.Valid(time.Now()))
		second, err := two.Acquire(ctx)
		require.NoError(t, err)
		require.Greater(t, second.Token, first.Token)
		_, err = one.Acquire(ctx)
		var held *leaser.HeldError
		require.ErrorAs(t, err, &held)
	})
}

// An instance whose lease expired must not continue under the old token, even if no
// other instance acquired the lease in between.
func TestAHolderWhoseLeaseExpiredGetsANewToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ctx := standin.NewStore(), context.Background()
		one := newLeaser(store, "one")
		first, err := one.Acquire(ctx)
		require.NoError(t, err)
		time.Sleep(2 * lifetime)
		again, err := one.Acquire(ctx)
		require.NoError(t, err)
		require.Greater(t, again.Token, first.Token)
	})
}

func TestALostAnswerIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ctx := standin.NewStore(), context.Background()
		store.LoseAnswers(1)
		lease, err := newLeaser(store, "one").Acquire(ctx)
		require.NoError(t, err)
		require.True(t, lease.Valid(time.Now()))
	})
}

// holder is a simulated instance in TestAtMostOneInstanceHoldsAValidLease.
type holder struct {
	leaser *leaser.Leaser
	lease  leaser.Lease
}

// At any time at most one instance holds a valid lease, and tokens never decrease,
// even if instances pause, answers of the store are lost or the store is unavailable.
func TestAtMostOneInstanceHoldsAValidLease(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const steps = 60
		count := rapid.IntRange(2, 4).Draw(r, "holders")
		actions := rapid.SliceOfN(rapid.IntRange(0, 99), steps, steps).Draw(r, "actions")
		actors := rapid.SliceOfN(rapid.IntRange(0, count-1), steps, steps).Draw(r, "actors")
		waits := rapid.SliceOfN(rapid.IntRange(0, 6000), steps, steps).Draw(r, "waits")
		var failure error
		synctest.Test(t, func(*testing.T) { failure = runHolders(count, actions, actors, waits) })
		require.NoError(r, failure)
	})
}

func runHolders(count int, actions, actors, waits []int) error {
	store := standin.NewStore()
	holders := make([]*holder, count)
	for i := range holders {
		holders[i] = &holder{leaser: newLeaser(store, fmt.Sprint(i))}
	}
	highest := uint64(0)
	for step := range actions {
		// An instance does nothing between its steps, as if it were paused.
		time.Sleep(time.Duration(waits[step]) * time.Millisecond)
		h := holders[actors[step]]
		switch action := actions[step]; {
		case action < 10:
			store.LoseAnswers(1)
		case action < 20:
			store.SetDown(true)
		case action < 25:
			_ = h.leaser.Release(context.Background())
			h.lease = leaser.Lease{}
		default:
			if action < 60 {
				store.SetDown(false)
			}
			before := highest
			if lease, err := h.leaser.Acquire(context.Background()); err == nil {
				h.lease = lease
				highest = max(highest, lease.Token)
				if lease.Token < before {
					return fmt.Errorf("token decreased: %d after %d", lease.Token, before)
				}
			}
		}
		valid := 0
		for _, h := range holders {
			if h.lease.Valid(time.Now()) {
				valid++
			}
		}
		if valid > 1 {
			return errors.New("two instances hold valid leases")
		}
	}
	return nil
}
