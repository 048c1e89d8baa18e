package executor_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/limiter"
)

// refusingSender simulates servers that refuse connections while down is set.
type refusingSender struct {
	*fakeSender
	down bool
}

func (r *refusingSender) Probe(ctx context.Context, target dispatcher.Target) (dispatcher.Health, error) {
	if r.down {
		return dispatcher.Health{}, fmt.Errorf("probe: %w", syscall.ECONNREFUSED)
	}
	return dispatcher.Health{OK: true}, nil
}

func (r *refusingSender) Warm(ctx context.Context, target dispatcher.Target, _ int) (dispatcher.Health, error) {
	return r.Probe(ctx, target)
}

// A server that was down has cold caches, so it does not get all its slots at once: one
// slot is used at first, and one more after every eight answers.
func TestAColdServerGetsItsSlotsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &refusingSender{fakeSender: &fakeSender{servers: map[string]func() (*pollencrank.Answer, error){"a": ok}}}
		e := executor.New(executor.Config{Sender: sender, Budget: limiter.NewRetryBudget(limiter.RetryConfig{})})
		const slots = 4
		e.Assign(executor.Assignment{
			Workloads: []pollencrank.Workload{{Name: "w"}},
			Servers:   []pollencrank.Server{{Name: "a", Workload: "w", Slots: slots}},
			Preset:    pollencrank.Preset{ForeignShare: 1},
		})
		probe := func(down bool) {
			sender.down = down
			e.Probe(context.Background())
			time.Sleep(time.Minute)
			e.Probe(context.Background())
		}
		probe(false)
		require.Equal(t, slots, e.Load("w").Slots, "the server was not down before")
		probe(true)
		probe(false)
		require.Equal(t, 1, e.Load("w").Slots)
		slotCounts := []int{}
		for range 30 {
			require.NoError(t, send(t, e, "/", true))
			if openSlots := e.Load("w").Slots; len(slotCounts) == 0 || slotCounts[len(slotCounts)-1] != openSlots {
				slotCounts = append(slotCounts, openSlots)
			}
		}
		require.Equal(t, []int{1, 2, 3, 4}, slotCounts)
		probe(false)
		require.Equal(t, slots, e.Load("w").Slots)
	})
}
