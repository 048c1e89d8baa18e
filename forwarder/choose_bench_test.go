package forwarder

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/placer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/warmer"
)

// BenchmarkChoose measures the choice of a server for requests about a few hundred
// objects, for several numbers of servers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := registrar.New(registrar.Config{Log: slog.New(slog.DiscardHandler)})
			var items []follower.Item[registrar.Server]
			for i := range count {
				region := []string{"north", "south", "west"}[i%3]
				id := fmt.Sprintf("i-%010x", i)
				items = append(items, follower.Item[registrar.Server]{Name: id, Value: registrar.Server{
					ID: id, Service: "parts", Address: id, FailureDomain: region + "-a", Region: region, Slots: 5,
				}})
			}
			servers.Servers().Reset(items)
			f := New(Config{
				Region: "north", Regions: 3, Registrar: servers, Warmer: warmer.New(apportioner.NewMembership(apportioner.MembershipConfig{})), Splitter: router.NewSplitter(),
				Budgets: NewBudgets(BudgetsConfig{Membership: apportioner.NewMembership(apportioner.MembershipConfig{})}), Distances: NewDistances("north"),
			})
			route := &router.Route{Name: "r", HasAffinity: true, LatencyObjective: time.Second}
			call := &Call{
				Route: route, ObjectKey: "x", service: router.Service{Name: "parts"},
				Request: &pollencrank.Request{Deadline: time.Now().Add(time.Hour)},
			}
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				call.key = placer.Key("parts", "x") + uint64(i%300)*0x9e3779b97f4a7c15
				_, err := f.choose(b.Context(), call, now, 1)
				require.NoError(b, err)
			}
		})
	}
}

// A choice allocates nothing where room is not shared.
func TestAChoiceAllocatesNothing(t *testing.T) {
	servers := registrar.New(registrar.Config{Log: slog.New(slog.DiscardHandler)})
	servers.Servers().Reset([]follower.Item[registrar.Server]{{Name: "n-1", Value: registrar.Server{
		ID: "n-1", Service: "parts", Address: "n-1", FailureDomain: "north-a", Region: "north", Slots: 5,
	}}})
	membership := apportioner.NewMembership(apportioner.MembershipConfig{})
	f := New(Config{
		Region: "north", Regions: 1, Registrar: servers, Warmer: warmer.New(membership), Splitter: router.NewSplitter(),
		Budgets: NewBudgets(BudgetsConfig{Membership: membership}), Distances: NewDistances("north"),
	})
	call := &Call{
		Route: &router.Route{Name: "r", LatencyObjective: time.Second}, ObjectKey: "x", service: router.Service{Name: "parts"},
		Request: &pollencrank.Request{Deadline: time.Now().Add(time.Hour)},
	}
	now := time.Now()
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, err := f.choose(t.Context(), call, now, 1)
		require.NoError(t, err)
	}))
}

// An answer takes no lock that all calls share unless a request waits.
func TestAnAnswerTakesNoLockWhereNothingWaits(t *testing.T) {
	r := newRoom()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(nil, time.Now())
}

// BenchmarkChooseLimited measures the refusal of a request when every server names a rate
// limit and none has a token left.
func BenchmarkChooseLimited(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := registrar.New(registrar.Config{Log: slog.New(slog.DiscardHandler)})
			var items []follower.Item[registrar.Server]
			for i := range count {
				id := fmt.Sprintf("i-%010x", i)
				items = append(items, follower.Item[registrar.Server]{Name: id, Value: registrar.Server{
					ID: id, Service: "parts", Address: id, FailureDomain: "north-a", Region: "north", Slots: 5,
				}})
			}
			servers.Servers().Reset(items)
			now := time.Now()
			for _, backend := range servers.Backends("parts") {
				backend.RecordLimit(registrar.RateLimit{IsNamed: true, PerSecond: 1, HeardAt: now})
			}
			f := New(Config{
				Region: "north", Regions: 3, Registrar: servers, Warmer: warmer.New(apportioner.NewMembership(apportioner.MembershipConfig{})), Splitter: router.NewSplitter(),
				Budgets: NewBudgets(BudgetsConfig{Membership: apportioner.NewMembership(apportioner.MembershipConfig{})}), Distances: NewDistances("north"),
				// An instance that has just started holds no share.
				Limits: apportioner.New(apportioner.Config{Membership: apportioner.NewMembership(apportioner.MembershipConfig{
					Self: apportioner.Member{ID: "entry-1"}, StartedAt: now.Add(-time.Minute),
				})}),
			})
			route := &router.Route{Name: "r", HasAffinity: true, LatencyObjective: time.Second}
			call := &Call{
				Route: route, ObjectKey: "x", service: router.Service{Name: "parts"},
				Request: &pollencrank.Request{Deadline: now.Add(time.Hour)},
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				call.key = placer.Key("parts", "x") + uint64(i%300)*0x9e3779b97f4a7c15
				_, err := f.choose(b.Context(), call, now, 1)
				require.Error(b, err)
			}
		})
	}
}
