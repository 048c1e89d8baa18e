package forwarder

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/selector"
	"github.com/pollencrank/pollencrank/warmer"
)

// newChooser returns a Forwarder in the north with servers of one service in three regions.
func newChooser(perRegion [3]int) *Forwarder {
	servers := registrar.New(registrar.Config{Log: slog.New(slog.DiscardHandler)})
	var items []follower.Item[registrar.Server]
	for r, region := range []string{"north", "south", "west"} {
		for i := range perRegion[r] {
			id := fmt.Sprintf("%s-%d", region, i)
			items = append(items, follower.Item[registrar.Server]{Name: id, Value: registrar.Server{
				ID: id, Service: "parts", Address: id, FailureDomain: region + "-a", Region: region, Slots: 3,
			}})
		}
	}
	servers.Servers().Reset(items)
	membership := apportioner.NewMembership(apportioner.MembershipConfig{})
	return New(Config{
		Region: "north", Regions: 3, Registrar: servers, Warmer: warmer.New(membership), Splitter: router.NewSplitter(),
		Budgets: NewBudgets(BudgetsConfig{Membership: membership}), Distances: NewDistances("north"),
	})
}

func newChooserCall(object int, now time.Time) *Call {
	return &Call{
		Route:     &router.Route{Name: "r", HasAffinity: true, LatencyObjective: time.Minute},
		ObjectKey: "x", service: router.Service{Name: "parts"}, key: placer.Key("parts", fmt.Sprint(object)),
		Request: &pollencrank.Request{Deadline: now.Add(time.Hour)},
	}
}

// chooseEven is the rule for servers that tell no pace, written out: of the first two servers
// of the object's order, the one with the shorter expected time.
func chooseEven(f *Forwarder, call *Call, now time.Time) selector.Choice {
	var candidates []placer.Candidate
	backends := f.config.Registrar.Backends("parts")
	for _, b := range backends {
		candidates = append(candidates, placer.Candidate{ID: b.ID(), Region: b.Server().Region, Slots: 3})
	}
	table := placer.NewTable(placer.Config{Candidates: candidates, Region: "north", Regions: 3})
	var options []selector.Option
	for i, index := range table.First(call.key, nil) {
		if i == 2 {
			break
		}
		b := backends[index]
		health := b.Health(now)
		options = append(options, selector.Option{
			Distance: f.distance(b.Server()), Load: b.Load(now), Slots: 3, Slowness: health.Slowness, FailureShare: health.FailureShare,
			ServedObject: i == 0 || f.objectHistory.ServedRecently(b.ID(), call.key, now),
		})
	}
	choice, _ := selector.Choose(options, f.serviceTimes.Estimate(call.requestClass(), initialServiceTime(call)))
	return choice
}

// Servers that tell no pace are chosen as before, whatever they tell of their load and
// whatever answers have shown.
func TestServersThatTellNoPaceAreChosenAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newChooser([3]int{rapid.IntRange(1, 6).Draw(t, "north"), rapid.IntRange(1, 6).Draw(t, "south"), rapid.IntRange(0, 6).Draw(t, "west")})
		now := time.Unix(1000, 0)
		for _, b := range f.config.Registrar.Backends("parts") {
			f.config.Registrar.RecordReport(b, registrar.LoadReport{
				Running: rapid.IntRange(0, 3).Draw(t, "running"), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
			}, now)
			for range rapid.IntRange(0, 4).Draw(t, "own") {
				b.Begin(now, time.Second)
			}
			if rapid.Bool().Draw(t, "wasObserved") {
				b.RecordSuccess(rapid.Float64Range(0.5, 6).Draw(t, "ratio"), time.Time{}, now)
			}
		}
		class := newChooserCall(0, now).requestClass()
		f.serviceTimes.Observe(class, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond)
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond)
		for object := range 10 {
			call := newChooserCall(object, now)
			if rapid.Bool().Draw(t, "hasHistory") {
				f.objectHistory.Record(f.config.Registrar.Backends("parts")[0].ID(), call.key, now)
			}
			chosen, err := f.choose(t.Context(), call, now, 2)
			require.NoError(t, err)
			want := chooseEven(f, call, now)
			require.Equal(t, want, chosen.choice)
		}
	})
}
