package registrar_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/registrar"
)

// newPacedServers returns two servers in the north and one in the south.
func newPacedServers(t *testing.T) *registrar.Registrar {
	t.Helper()
	r := registrar.New(registrar.Config{Log: slog.New(slog.DiscardHandler)})
	var items []follower.Item[registrar.Server]
	for id, region := range map[string]string{"n-1": "north", "n-2": "north", "s-1": "south"} {
		items = append(items, follower.Item[registrar.Server]{Name: id, Value: registrar.Server{
			ID: id, Service: "parts", Address: id, Region: region, Slots: 4,
		}})
	}
	r.Servers().Reset(items)
	return r
}

// The rules for uneven servers hold only for services that tell a pace.
func TestOnlyAToldPaceMakesAServiceTellIt(t *testing.T) {
	r, now := newPacedServers(t), time.Unix(1000, 0)
	r.RecordReport(r.Find("n-1"), registrar.LoadReport{Running: 3, Waiting: 2, Slots: 4}, now)
	require.False(t, r.TellsPace("parts"))
	require.Equal(t, 5.0, r.Find("n-1").Load(now))
	r.RecordReport(r.Find("n-1"), registrar.LoadReport{Running: 3, Waiting: 2, Slots: 4, Pace: 1}, now)
	require.True(t, r.TellsPace("parts"))
	require.False(t, r.TellsPace("orders"))
}

// A server that was slow when it was last heard must be found again: what it told gives way
// to what the others of its region tell.
func TestAnOldReportGivesWayToTheMeanOfTheRegion(t *testing.T) {
	r, now := newPacedServers(t), time.Unix(1000, 0)
	slow := r.Find("n-1")
	require.Equal(t, 1.0, slow.Pace(now))
	r.RecordReport(slow, registrar.LoadReport{Running: 4, Waiting: 6, Slots: 5, Pace: 2.5}, now)
	standing := slow.Standing(now)
	require.Equal(t, 2.5, standing.Pace)
	require.Equal(t, 10.0, standing.Load)
	require.Equal(t, 5, standing.Slots)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		r.RecordReport(r.Find("n-2"), registrar.LoadReport{Running: 2, Slots: 4, Pace: 1}, now)
	}
	standing = slow.Standing(now)
	require.InDelta(t, 1, standing.Pace, 0.01)
	require.InDelta(t, 2.5, standing.Load, 0.05, "half of its five slots, as in the region")
}

// Guards against a server that looks empty while this instance's own requests are there.
func TestStandingCountsOwnRequests(t *testing.T) {
	r, now := newPacedServers(t), time.Unix(1000, 0)
	b := r.Find("n-1")
	r.RecordReport(b, registrar.LoadReport{Slots: 4, Pace: 1}, now)
	for range 6 {
		b.Begin(now, time.Second)
	}
	require.Equal(t, 6.0, b.Standing(now).Load)
	require.Equal(t, 6.0, b.Standing(now.Add(time.Minute)).Load)
}
