package disseminator_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/disseminator"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
)

// Guards against a message that its receiver cuts off, and against verdicts that are dropped
// because there are too many for one message.
func TestManyVerdictsGoInSeveralMessages(t *testing.T) {
	const count = 2*disseminator.MaxVerdicts + 10
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		sent := map[string]int{}
		d := disseminator.New(disseminator.Config{
			Peers: func() []namer.Instance { return []namer.Instance{{ID: "entry-0"}} },
			Holds: func(v prober.Verdict) bool { return v.Instance != "retracted" },
			Send: func(_ context.Context, _ namer.Instance, verdicts []prober.Verdict) error {
				mu.Lock()
				defer mu.Unlock()
				require.LessOrEqual(t, len(verdicts), disseminator.MaxVerdicts)
				for _, v := range verdicts {
					sent[v.Instance]++
				}
				return nil
			},
			Log: slog.New(slog.DiscardHandler),
		})
		d.Tell(prober.Verdict{Instance: "retracted", IsDead: true})
		for i := range count {
			d.Tell(prober.Verdict{Instance: fmt.Sprintf("entry-%d", i+1), IsDead: true})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.ErrorIs(t, d.Run(ctx), context.DeadlineExceeded)
		require.Len(t, sent, count)
		for id, times := range sent {
			require.Equal(t, 1, times, id)
		}
	})
}

// Guards against news that nobody is told, because it names all that could be told: so it is
// for an instance that was cut off and has just found the others again.
func TestNewsOfSeveralGoesToThemToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []namer.Instance{{ID: "entry-1"}, {ID: "entry-2"}}
		var mu sync.Mutex
		told := map[string]int{}
		d := disseminator.New(disseminator.Config{
			Peers: func() []namer.Instance { return peers },
			Holds: func(prober.Verdict) bool { return true },
			Send: func(_ context.Context, to namer.Instance, verdicts []prober.Verdict) error {
				mu.Lock()
				defer mu.Unlock()
				told[to.ID] += len(verdicts)
				return nil
			},
			Log: slog.New(slog.DiscardHandler),
		})
		for _, i := range peers {
			d.Tell(prober.Verdict{Instance: i.ID, Incarnation: 1})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, d.Run(ctx), context.DeadlineExceeded)
		require.Equal(t, map[string]int{"entry-1": 2, "entry-2": 2}, told)
	})
}

// Guards against an answer to a probe that is longer than others read, so that they take its
// sender for dead.
func TestVerdictsThatAreShownHaveABoundedLength(t *testing.T) {
	const (
		dead = 60
		// maxIDBytes and maxVerdicts are what the limit of 4 KiB of an answer leaves room for.
		maxIDBytes  = 1280
		maxVerdicts = 20
	)
	for _, idLength := range []int{8, 64, 100, 253} {
		d := disseminator.New(disseminator.Config{Holds: func(prober.Verdict) bool { return true }, Log: slog.New(slog.DiscardHandler)})
		for i := range dead {
			d.Tell(prober.Verdict{Instance: fmt.Sprintf("%0*d", idLength, i), IsDead: true})
		}
		require.Len(t, d.Shown(), min(maxVerdicts, maxIDBytes/idLength), "IDs of %d characters", idLength)
	}
}
