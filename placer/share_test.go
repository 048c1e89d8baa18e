package placer_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/placer"
)

// region is a region of callers with a share of objects that have a home there. Its servers
// take up to slots of work; what they can't take makes them fuller.
type region struct {
	share         *placer.Share
	slots, demand float64
	delayed       []float64
}

// play lets each region follow the reports of all for a time and returns the shares of the
// first region every two seconds. demand gives the demand of each region at a moment. Reports
// are a second old, and every third one is lost.
func play(regions []*region, length time.Duration, demand func(i int, at time.Duration) float64) []float64 {
	const step = 50 * time.Millisecond
	const delay = 20
	var windows []float64
	start := time.Unix(1000, 0)
	for tick := 0; time.Duration(tick)*step < length; tick++ {
		at := time.Duration(tick) * step
		fullness := make([]float64, len(regions))
		for i, r := range regions {
			r.demand = demand(i, at)
			fullness[i] = r.share.Near() * r.demand / r.slots
			for j, other := range regions {
				if j != i {
					fullness[i] += (1 - other.share.Near()) * other.demand / float64(len(regions)-1) / r.slots
				}
			}
			r.delayed = append(r.delayed, fullness[i])
		}
		if tick >= delay && tick%3 != 0 {
			for i, r := range regions {
				far, slots := 0.0, 0.0
				for j, other := range regions {
					if j != i {
						far += other.delayed[tick-delay] * other.slots
						slots += other.slots
					}
				}
				r.share.Update(r.delayed[tick-delay], far/slots, start.Add(at))
			}
		}
		if at%(2*time.Second) == 0 {
			windows = append(windows, regions[0].share.Near())
		}
	}
	return windows
}

func newRegions() []*region {
	return []*region{
		{share: placer.NewShare(0.45), slots: 30},
		{share: placer.NewShare(1), slots: 120},
		{share: placer.NewShare(1), slots: 144},
	}
}

// largestChange returns the largest change from one window to the next.
func largestChange(windows []float64) float64 {
	largest := 0.0
	for i := range windows[1:] {
		largest = max(largest, math.Abs(windows[i+1]-windows[i]))
	}
	return largest
}

// Waves of demand that do not coincide over the regions must neither make the shares swing
// nor move more of a region's requests in two seconds than deployments allow.
func TestWavesOfDemandMoveTheShareSlowly(t *testing.T) {
	wave := func(i int, at time.Duration) float64 {
		return 50 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/36+float64(i)/3)))
	}
	regions := newRegions()
	windows := play(regions, 30*time.Second, wave)
	require.Less(t, largestChange(windows), 0.08)
	turns := 0
	for i := range windows[2:] {
		if (windows[i+1]-windows[i])*(windows[i+2]-windows[i+1]) < 0 {
			turns++
		}
	}
	require.LessOrEqual(t, turns, 3)
}

// A step of demand in a region with little room moves its requests away, and back when the
// step is over.
func TestAStepOfDemandMovesTheShareAndBack(t *testing.T) {
	regions := newRegions()
	windows := play(regions, 60*time.Second, func(i int, at time.Duration) float64 {
		if i == 0 && at >= 10*time.Second && at < 25*time.Second {
			return 90
		}
		return 20
	})
	require.Less(t, largestChange(windows), 0.08)
	require.Less(t, windows[12], windows[5]-0.1, "moved away during the step")
	require.Greater(t, windows[29], windows[12]+0.1, "moved back after it")
	require.Equal(t, 1.0, regions[1].share.Near(), "regions with room keep their requests")
}

// Guards against a share of the time when only some of the servers were known.
func TestAShareGoesOnFromWhatTheServersAre(t *testing.T) {
	s, start := placer.NewShare(1), time.Unix(1000, 0)
	require.InDelta(t, 0.45, s.Shifted(-0.55).Near(), 1e-9)
	s.Update(9, 0, start)
	s.Update(9, 0, start.Add(500*time.Millisecond))
	require.InDelta(t, 0.785, s.Shifted(-0.2).Near(), 1e-9)
	require.Equal(t, 1.0, s.Shifted(0.5).Near())
}

// What lies between two updates is unknown: a view that was cut moves nothing at once.
func TestACutViewMovesTheShareOnlyALittle(t *testing.T) {
	s, start := placer.NewShare(0.5), time.Unix(1000, 0)
	s.Update(9, 0, start)
	require.Equal(t, 0.5, s.Near(), "one report says nothing of the time before")
	s.Update(9, 0, start.Add(time.Hour))
	require.InDelta(t, 0.485, s.Near(), 1e-9)
}
