package selector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/selector"
)

const serviceTime = 200 * time.Millisecond

func idle(distance time.Duration, servedObject bool) selector.Option {
	return selector.Option{Distance: distance, Slots: 4, Slowness: 1, ServedObject: servedObject}
}

func loaded(o selector.Option, load float64) selector.Option {
	o.Load = load
	return o
}

func TestChoose(t *testing.T) {
	near, far := 2*time.Millisecond, 70*time.Millisecond
	slow := idle(near, true)
	slow.Slowness = 5
	failing := idle(near, true)
	failing.FailureShare = 0.6
	for name, test := range map[string]struct {
		options []selector.Option
		want    int
	}{
		"the first while it has free slots":                        {[]selector.Option{idle(near, true), idle(near, false)}, 0},
		"not a far one for a short queue":                          {[]selector.Option{loaded(idle(near, true), 4), idle(far, true)}, 0},
		"a far one for a long queue":                               {[]selector.Option{loaded(idle(near, true), 8), idle(far, true)}, 1},
		"one that has not served the object for a longer queue":    {[]selector.Option{loaded(idle(near, true), 12), idle(near, false)}, 1},
		"not one that has not served the object for a short queue": {[]selector.Option{loaded(idle(near, true), 6), idle(near, false)}, 0},
		"not a slow one":                            {[]selector.Option{slow, idle(far, true)}, 1},
		"not a failing one":                         {[]selector.Option{failing, idle(far, true)}, 1},
		"the least loaded if all are overloaded":    {[]selector.Option{loaded(idle(near, true), 16), loaded(idle(near, true), 12)}, 1},
		"a server without slots counts as having 1": {[]selector.Option{{Slowness: 1, Load: 3, ServedObject: true}, idle(far, true)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			choice, ok := selector.Choose(test.options, serviceTime)
			require.True(t, ok)
			require.Equal(t, test.want, choice.Index)
		})
	}
}

func TestChooseWithoutOptions(t *testing.T) {
	_, ok := selector.Choose(nil, serviceTime)
	require.False(t, ok)
}

// Half of the answers take four times as long, as those of requests that waited in a
// queue. The estimate of the service time must not include the wait.
func TestServiceTimesFollowTheFastAnswers(t *testing.T) {
	lookups := selector.RequestClass{Route: "route", Service: "parts"}
	times := selector.NewServiceTimes()
	require.Equal(t, serviceTime, times.Estimate(lookups, serviceTime))
	for i := range 2000 {
		took := serviceTime
		if i%2 == 0 {
			took = 4 * serviceTime
		}
		times.Observe(lookups, took)
	}
	require.InDelta(t, float64(serviceTime), float64(times.Estimate(lookups, 0)), float64(serviceTime)/2)
}
