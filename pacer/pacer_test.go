package pacer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/pacer"
)

const (
	rate  = 1 << 20
	chunk = 32 << 10
)

func constantRate(value float64) func(time.Time) float64 {
	return func(time.Time) float64 { return value }
}

// send begins a transfer and sends it in chunks.
func send(p *pacer.Pacer, rank pollencrank.Rank, bytes int64, timeout time.Duration, onSent func(n int)) error {
	ctx := context.Background()
	transfer, err := p.Begin(ctx, rank, bytes, time.Now().Add(timeout))
	if err != nil {
		return err
	}
	defer transfer.End()
	for left := bytes; left > 0; left -= chunk {
		n := int(min(left, chunk))
		if err := transfer.Wait(ctx, n); err != nil {
			return err
		}
		onSent(n)
	}
	return nil
}

// At no time have more bytes been sent than the rate, the burst and one chunk
// allow, whatever the ranks, sizes and starts of the transfers.
func TestTransfersStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const maxTransfers = 12
		count := rapid.IntRange(1, maxTransfers).Draw(r, "transfers")
		ranks := rapid.SliceOfN(rapid.IntRange(0, 2), count, count).Draw(r, "ranks")
		sizes := rapid.SliceOfN(rapid.Int64Range(1, rate), count, count).Draw(r, "sizes")
		starts := rapid.SliceOfN(rapid.IntRange(0, 2000), count, count).Draw(r, "starts")
		sent := int64(0)
		synctest.Test(t, func(*testing.T) {
			p := pacer.New(pacer.Config{Rate: constantRate(rate)})
			began := time.Now()
			var mu sync.Mutex
			var group sync.WaitGroup
			for i := range count {
				group.Go(func() {
					time.Sleep(time.Duration(starts[i]) * time.Millisecond)
					_ = send(p, pollencrank.Rank(ranks[i]), sizes[i], 10*time.Second, func(n int) {
						mu.Lock()
						defer mu.Unlock()
						sent += int64(n)
						limit := rate*time.Since(began).Seconds() + rate/20 + chunk
						if float64(sent) > limit {
							panic("bytes sent faster than the rate")
						}
					})
				})
			}
			group.Wait()
		})
	})
}

func TestUrgentWorkGoesAheadOfDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{Rate: constantRate(rate)})
		var group sync.WaitGroup
		const downloads, urgentChunks = 16, 16
		for range downloads {
			group.Go(func() {
				require.NoError(t, send(p, pollencrank.RankBackground, 2*rate, time.Hour, func(int) {}))
			})
		}
		time.Sleep(time.Second)
		started := time.Now()
		require.NoError(t, send(p, pollencrank.RankUrgent, urgentChunks*chunk, time.Minute, func(int) {}))
		// Without downloads the transfer takes the time of urgentChunks. Between
		// two of its chunks, a download may send one.
		require.LessOrEqual(t, time.Since(started), 2*urgentChunks*chunk*time.Second/rate)
		group.Wait()
	})
}

// A transfer that cannot be sent before its deadline is refused before it begins,
// so that a transfer that has begun still ends before its own deadline.
func TestATransferIsRefusedRatherThanStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{Rate: constantRate(rate)})
		var group sync.WaitGroup
		group.Go(func() {
			started := time.Now()
			require.NoError(t, send(p, pollencrank.RankBackground, 2*rate, 3*time.Second, func(int) {}))
			require.Less(t, time.Since(started), 3*time.Second)
		})
		synctest.Wait()
		err := send(p, pollencrank.RankBackground, 2*rate, 3*time.Second, func(int) {})
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, pollencrank.ReasonLinkFull, notRun.Reason)
		require.NoError(t, send(p, pollencrank.RankUrgent, chunk, time.Second, func(int) {}))
		group.Wait()
	})
}

// A transfer that has begun still ends in time if a later one of its rank has much time.
func TestALaterTransferDoesNotMakeAnEarlierOneLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{Rate: constantRate(rate)})
		var group sync.WaitGroup
		group.Go(func() {
			started := time.Now()
			require.NoError(t, send(p, pollencrank.RankBackground, 2*rate, 3*time.Second, func(int) {}))
			require.Less(t, time.Since(started), 3*time.Second)
		})
		synctest.Wait()
		require.Error(t, send(p, pollencrank.RankBackground, 4*rate, 20*time.Second, func(int) {}))
		require.NoError(t, send(p, pollencrank.RankBackground, rate/2, 20*time.Second, func(int) {}))
		group.Wait()
	})
}

// Without an allowance nothing is sent, and a transfer that begins requests one.
func TestNothingIsSentWithoutAnAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		requestedAt := time.Time{}
		p := pacer.New(pacer.Config{
			Rate: func(now time.Time) float64 {
				if !requestedAt.IsZero() && now.Sub(requestedAt) > 50*time.Millisecond && now.Sub(requestedAt) < time.Second {
					return rate
				}
				return 0
			},
			OnDemand: func() {
				if requestedAt.IsZero() {
					requestedAt = time.Now()
				}
			},
		})
		require.NoError(t, send(p, pollencrank.RankUrgent, chunk, time.Second, func(int) {}))
		require.Greater(t, time.Since(start), 50*time.Millisecond)
		// The allowance expires after the transfer has begun.
		transfer, err := p.Begin(context.Background(), pollencrank.RankUrgent, chunk, time.Now().Add(time.Minute))
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, transfer.Wait(ctx, chunk), context.DeadlineExceeded)
		transfer.End()
		for _, bytes := range []int64{0, chunk} {
			_, err = p.Begin(context.Background(), pollencrank.RankUrgent, bytes, time.Now().Add(time.Minute))
			require.Error(t, err)
		}
	})
}

func BenchmarkWait(b *testing.B) {
	p := pacer.New(pacer.Config{Rate: constantRate(1e15)})
	transfer, err := p.Begin(context.Background(), pollencrank.RankUrgent, 1, time.Now().Add(time.Hour))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_ = transfer.Wait(context.Background(), 1)
	}
}
