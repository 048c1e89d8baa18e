package rationer_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against an allowance that lies unused at one instance while another one refuses.
func TestAQuotaThatIsAllWantedIsUsed(t *testing.T) {
	senders := map[string]func(i *instance) bool{
		"one instance": func(i *instance) bool { return i.ID == "entry-5" },
		"one region":   func(i *instance) bool { return i.Region == "region-1" },
		"all":          everywhere,
	}
	for name, isSender := range senders {
		for _, quota := range []router.Quota{{PerSecond: 10}, {PerSecond: 100, Burst: 50}, {PerSecond: 1000, Burst: 100}} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(69, tenantWith(quota.PerSecond, quota.Burst))
				send := f.sendRate("tenant-1", 3*quota.PerSecond, isSender)
				f.run(2*time.Second, send)
				began := time.Now()
				const span = 10 * time.Second
				f.run(span, send)
				count := f.served("tenant-1", began)
				f.finish()
				f.requireBound(t)
				require.GreaterOrEqual(t, float64(count), 0.9*quota.PerSecond*span.Seconds(), "%s, %v", name, quota)
			})
		}
	}
}

// manyTenants returns tenants with a skewed demand of perSecond in all, and quotas above it.
func manyTenants(perSecond float64) ([]router.Tenant, map[string]float64) {
	const count = 77
	total := 0.0
	for n := range count {
		total += 1 / float64(n+2)
	}
	var tenants []router.Tenant
	demand := map[string]float64{}
	for n := range count {
		name := fmt.Sprint("tenant-", n+1)
		demand[name] = perSecond / float64(n+2) / total
		tenants = append(tenants, router.Tenant{Name: name, Quota: router.Quota{PerSecond: 2 * demand[name], Burst: 2 * demand[name]}})
	}
	return tenants, demand
}

// Tenants below their quotas are not refused, also beside one that asks for far more than its
// own, and the messages stay few.
func TestTenantsBelowTheirQuotasAreServed(t *testing.T) {
	const perInstance = 25.0
	for size, span := range map[int]time.Duration{69: 5 * time.Second, 650: 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			tenants, demand := manyTenants(perInstance * float64(size))
			f := newFleet(size, tenants...)
			const hot = "tenant-3"
			demand[hot] *= 7.5
			began, messages := time.Now(), f.messages.Load()
			requests := 0.0
			for _, perSecond := range demand {
				requests += perSecond * span.Seconds()
			}
			f.run(span, func(i *instance) {
				for _, tenant := range tenants {
					expected := demand[tenant.Name] * step.Seconds() / float64(size)
					for ; expected > f.draw(); expected-- {
						i.request(tenant.Name)
					}
				}
			})
			messages = f.messages.Load() - messages
			f.finish()
			refused := 0
			for name, count := range f.refusals {
				if name != hot {
					refused += count
				}
			}
			quota := tenants[2].Quota
			require.GreaterOrEqual(t, float64(f.served(hot, began)), 0.9*quota.PerSecond*span.Seconds())
			require.LessOrEqual(t, float64(refused), 0.001*requests)
			slices.Sort(f.waits)
			t.Logf("%d instances: %.1f loans a second and an instance, %d of %.0f refused, waits %v and %v at 0.5 and 0.99",
				size, float64(messages)/span.Seconds()/float64(size), refused, requests, f.waits[len(f.waits)/2], f.waits[len(f.waits)*99/100])
			require.LessOrEqual(t, float64(messages)/span.Seconds()/float64(size), 2*perInstance)
		})
	}
}

// Whoever loses most instances at once has all quotas again as soon as the members settle.
func TestQuotasRecoverAfterManyInstancesDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(69, tenantWith(100, 20))
		send := f.sendRate("tenant-1", 200, everywhere)
		f.run(2*time.Second, send)
		holders := f.holders()
		for _, i := range append(holders, f.instances[:35]...) {
			i.isDead.Store(true)
		}
		f.run(step, nil)
		f.spreadNews()
		f.run(newsDelay+2*time.Second+1250*time.Millisecond+newsDelay, send)
		began := time.Now()
		f.run(10*time.Second, send)
		require.GreaterOrEqual(t, f.served("tenant-1", began), 900)
		f.finish()
		f.requireBound(t)
	})
}

// A holder that does not answer delays some requests, but refuses none.
func TestASilentHolderStallsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(69, tenantWith(90, 30))
		f.holders()[0].isCutOff.Store(true)
		f.run(5*time.Second, f.sendRate("tenant-1", 30, func(i *instance) bool { return !i.isCutOff.Load() }))
		f.finish()
		require.LessOrEqual(t, slices.Max(f.waits), 600*time.Millisecond)
		require.Zero(t, f.refusals["tenant-1"])
	})
}

func TestRetryAtIsWhenATokenIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, tenantWith(4, 0))
		i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		var retryAt []time.Time
		for len(retryAt) < 3 {
			require.NoError(t, ignoreSpent(i.Check(tenant), &retryAt))
			if len(retryAt) == 0 {
				_, err := i.Take(t.Context(), tenant)
				require.NoError(t, err)
			}
		}
		for n, at := range retryAt {
			require.InDelta(t, 0.25*float64(n+1), time.Until(retryAt[0]).Seconds()+at.Sub(retryAt[0]).Seconds(), 0.26, "one token after the other")
		}
		for _, at := range retryAt {
			time.Sleep(time.Until(at) - time.Millisecond)
			require.Error(t, i.Check(tenant))
			time.Sleep(2 * time.Millisecond)
			_, err := i.Take(t.Context(), tenant)
			require.NoError(t, err)
		}
	})
}

// ignoreSpent appends the time of a refusal for a spent quota, and returns other errors.
func ignoreSpent(err error, retryAt *[]time.Time) error {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == pollencrank.ReasonQuotaSpent {
		*retryAt = append(*retryAt, notRun.RetryAt)
		return nil
	}
	return err
}

// Guards against requests that are held back and then sent together: their tokens are old.
func TestATokenIsValidForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, tenantWith(100, 0))
		i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		var tokens []rationer.Token
		f.run(10*time.Second, func(i *instance) {
			for i.Check(tenant) == nil {
				token, err := i.Take(t.Context(), tenant)
				require.NoError(t, err)
				tokens = append(tokens, token)
			}
		})
		require.Greater(t, len(tokens), 900)
		sent := 0
		for n := range tokens {
			if i.Renew(t.Context(), tenant, &tokens[n]) == nil {
				sent++
			}
		}
		require.LessOrEqual(t, sent, 60)
	})
}

// Guards against an instance that goes on after a suspension as if no time had passed.
func TestASuspendedInstanceHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, tenantWith(100, 100))
		i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		token, err := i.Take(t.Context(), tenant)
		require.NoError(t, err)
		require.NoError(t, i.Renew(t.Context(), tenant, &token))
		time.Sleep(time.Minute)
		i.suspended.Add(int64(time.Minute))
		require.Error(t, i.Renew(t.Context(), tenant, &token))
		_, isHolder := i.Lend("tenant-1", 1)
		require.False(t, isHolder)
	})
}

func TestQuotasThatMakeNoSenseAreHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1e300} {
			for _, y := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
				f := newFleet(1, tenantWith(x, y))
				i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
				i.SetBounds(rationer.Bounds{Window: time.Duration(-1), Excess: y, Slack: x})
				for range 3 {
					_, err := i.Take(t.Context(), tenant)
					require.True(t, err == nil || pollencrank.IsNotRun(err))
					i.Lend("tenant-1", math.MaxInt)
				}
			}
		}
	})
}

// The validity of a borrowed token counts from before it was asked for.
func TestABorrowedTokenIsNoYoungerThanItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(69, tenantWith(100, 50))
		holders := f.holders()
		borrower, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		require.NotContains(t, holders, borrower)
		for _, i := range holders {
			i.stalledUntil.Store(time.Now().Add(150 * time.Millisecond).UnixNano())
		}
		began := time.Now()
		token, err := borrower.Take(t.Context(), tenant)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
		messages := f.messages.Load()
		late := token
		time.Sleep(time.Until(began.Add(390 * time.Millisecond)))
		require.NoError(t, borrower.Renew(t.Context(), tenant, &token))
		require.Equal(t, messages, f.messages.Load())
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, borrower.Renew(t.Context(), tenant, &late))
		require.Greater(t, f.messages.Load(), messages, "another one is borrowed")
		f.finish()
	})
}

// Guards against a part that is held by an instance that stops, which hears no news, and by
// its successor.
func TestAStoppingInstanceOnlyBorrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, tenantWith(100, 50))
		i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		_, isHolder := i.Lend("tenant-1", 1)
		require.True(t, isHolder)
		i.Stop()
		_, isHolder = i.Lend("tenant-1", 1)
		require.False(t, isHolder)
		messages := f.messages.Load()
		_, err := i.Take(t.Context(), tenant)
		require.NoError(t, err)
		require.Greater(t, f.messages.Load(), messages)
	})
}

// Guards against repeats that nobody counts, and against tokens that another instance has
// taken and that are used late or for longer than any token is valid.
func TestATokenPermitsOneSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, tenantWith(1, 0))
		i, tenant := f.instances[0], (*f.instances[0].tenants.Load())["tenant-1"]
		f.run(20*time.Second, nil)
		sent := 0
		token, err := i.Take(t.Context(), tenant)
		require.NoError(t, err)
		for i.Renew(t.Context(), tenant, &token) == nil {
			sent++
		}
		require.Equal(t, 12, sent, "the whole bucket")
		require.Zero(t, i.Validity(i.Accept(-time.Second)))
		token = i.Accept(time.Hour)
		require.Equal(t, 400*time.Millisecond, i.Validity(token))
		require.NoError(t, i.Renew(t.Context(), tenant, &token))
		require.Error(t, i.Renew(t.Context(), tenant, &token), "a repeat needs another one")
		late := i.Accept(100 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		require.Error(t, i.Renew(t.Context(), tenant, &late))
	})
}
