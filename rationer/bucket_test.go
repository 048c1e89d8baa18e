package rationer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a burst that is spent twice: whoever holds a part anew does not know what
// was spent of it in between.
func TestABucketIsEmptyWhenItIsHeldAnew(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	size := part{rate: 10, capacity: 50}
	var b bucket
	b.fill(size, now.Add(-time.Minute), now)
	require.InDelta(t, 50, b.tokens, 1e-9)
	b.fill(size, now.Add(time.Second), now.Add(2*time.Second))
	require.InDelta(t, 10, b.tokens, 1e-9)
	b.fill(size, now.Add(-time.Hour), now.Add(3*time.Second))
	require.InDelta(t, 10, b.tokens, 1e-9, "no time counts twice")
	b.fill(part{rate: 10, capacity: 5}, now.Add(-time.Hour), now.Add(3*time.Second))
	require.InDelta(t, 5, b.tokens, 1e-9, "a lower quota counts at once")
}
