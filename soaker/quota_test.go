package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a soak that finds no violation of a quota, or one where there is none.
func TestQuotasAreCountedAtTheServers(t *testing.T) {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	// The quota allows 50 requests in a window, a tenth more, and 20.
	const allowed = 75
	run := func(count int, delay, length time.Duration) int {
		l := newLedger()
		l.setQuota("tenant-1", 10, 0, start)
		for n := range count {
			at := start.Add(time.Minute + length*time.Duration(n)/time.Duration(count))
			l.mu.Lock()
			l.recordTenantRun("tenant-1", at.Add(-delay), at)
			l.recordTenantRun("tenant-2", at, at)
			l.mu.Unlock()
		}
		_, violations := l.result()
		return len(violations)
	}
	require.Zero(t, run(allowed, 0, 4*time.Second))
	require.Equal(t, 1, run(allowed+1, 0, 4*time.Second))
	require.Zero(t, run(2*allowed, 0, 12*time.Second))
	require.Zero(t, run(2*allowed, quotaWindow, 4*time.Second), "they may have been sent before")
}

func TestALowerQuotaCountsAfterAGrace(t *testing.T) {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	l := newLedger()
	l.setQuota("tenant-1", 100, 0, start)
	l.setQuota("tenant-1", 10, 0, start.Add(time.Minute))
	l.setQuota("tenant-3", 0, 0, start)
	earlier, isLimited := l.tenants["tenant-1"].allowed(start.Add(time.Minute + quotaGrace))
	require.True(t, isLimited)
	require.InDelta(t, 570, earlier, 1e-9)
	later, _ := l.tenants["tenant-1"].allowed(start.Add(time.Minute + quotaGrace + time.Second))
	require.InDelta(t, 75, later, 1e-9)
	_, isLimited = l.tenants["tenant-3"].allowed(start)
	require.False(t, isLimited)
}
