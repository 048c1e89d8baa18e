package selector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/selector"
)

const work = 200 * time.Millisecond

func free(distance time.Duration, knows bool) selector.Option {
	return selector.Option{Distance: distance, Slots: 4, Slowness: 1, ServedObject: knows}
}

func loaded(o selector.Option, load float64) selector.Option {
	o.Load = load
	return o
}

func TestChoose(t *testing.T) {
	near, far := 2*time.Millisecond, 70*time.Millisecond
	slow := free(near, true)
	slow.Slowness = 5
	failing := free(near, true)
	failing.FailureShare = 0.6
	for name, test := range map[string]struct {
		options []selector.Option
		want    int
	}{
		"the first while it is free":                {[]selector.Option{free(near, true), free(near, false)}, 0},
		"not the far one for a short queue":         {[]selector.Option{loaded(free(near, true), 4), free(far, true)}, 0},
		"the far one for a long queue":              {[]selector.Option{loaded(free(near, true), 8), free(far, true)}, 1},
		"one that does not know it for a longer":    {[]selector.Option{loaded(free(near, true), 12), free(near, false)}, 1},
		"not one that does not know it too early":   {[]selector.Option{loaded(free(near, true), 6), free(near, false)}, 0},
		"not a slow one":                            {[]selector.Option{slow, free(far, true)}, 1},
		"not one that fails":                        {[]selector.Option{failing, free(far, true)}, 1},
		"the least loaded if all are overloaded":    {[]selector.Option{loaded(free(near, true), 16), loaded(free(near, true), 12)}, 1},
		"a server without slots counts as having 1": {[]selector.Option{{Slowness: 1, Load: 3, ServedObject: true}, free(far, true)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			choice, ok := selector.Choose(test.options, work)
			require.True(t, ok)
			require.Equal(t, test.want, choice.Index)
		})
	}
}

func TestChooseAmongNone(t *testing.T) {
	_, ok := selector.Choose(nil, work)
	require.False(t, ok)
}

func TestWorkTimesFollowTheFastAnswers(t *testing.T) {
	lookups := selector.RequestClass{Route: "route", Service: "parts"}
	times := selector.NewServiceTimes()
	require.Equal(t, work, times.Estimate(lookups, work))
	for i := range 2000 {
		took := work
		if i%2 == 0 {
			took = 4 * work
		}
		times.Observe(lookups, took)
	}
	require.InDelta(t, float64(work), float64(times.Estimate(lookups, 0)), float64(work)/2)
}
