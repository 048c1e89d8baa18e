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
	r.RecordReport(r.Find("n-1"), registrar.LoadReport{Running: 3, Waiting: 2}, now)
	require.False(t, r.TellsPace("parts"))
	require.Equal(t, 5.0, r.Find("n-1").Load(now))
	r.RecordReport(r.Find("n-1"), registrar.LoadReport{Running: 3, Waiting: 2, Pace: 1}, now)
	require.True(t, r.TellsPace("parts"))
	require.False(t, r.TellsPace("orders"))
}
