package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
)

const (
	// callersPerService is the number of callers of each workload in each region.
	callersPerService = 12
	// floodFactor is the ratio of the flood's rate to the total ordinary rate.
	floodFactor      = 6
	floodCallerCount = 24
	// maxOpenRequests bounds the open requests of one flood caller.
	maxOpenRequests = 20
)

// load generates the callers' requests.
type load struct {
	fleet    *fleet
	tally    *tally
	flooding atomic.Bool
	attempts atomic.Int64
	callers  sync.WaitGroup
}

// start starts callers in every region until ctx ends.
func (l *load) start(ctx context.Context) {
	caller := 0
	for region := range regionCount {
		for _, s := range l.fleet.user.services {
			for range callersPerService {
				caller++
				number := caller
				l.callers.Go(func() { l.runCaller(ctx, region, number, s) })
			}
		}
	}
}

// runCaller sends requests at a constant mean rate. A request that is not served is
// retried a few times.
func (l *load) runCaller(ctx context.Context, region, number int, s service) {
	random := rand.New(rand.NewPCG(l.fleet.seed, uint64(number)))
	caller := l.newCaller(region, number)
	defer caller.Close()
	mean := time.Second * callersPerService * regionCount / time.Duration(s.rate)
	for order := 0; ctx.Err() == nil; order++ {
		pause(ctx, time.Duration(random.ExpFloat64()*float64(mean)))
		if ctx.Err() != nil {
			return
		}
		call := standin.Call{Workload: s.name, Path: fmt.Sprintf("%s/%d", s.path, order)}
		call.Method = http.MethodGet
		if !s.idempotent {
			call.Method = http.MethodPost
			call.Key = fmt.Sprintf("order-%d-%d", number, order)
			call.Body = []byte(call.Key)
		}
		l.sendWithRetries(ctx, caller, call, s.rank, random)
	}
}

const (
	maxAttempts = 4
	// maxRetryPause is the longest pause before a retry that a refusal can ask for.
	maxRetryPause = 500 * time.Millisecond
)

func (l *load) sendWithRetries(ctx context.Context, caller *standin.Caller, call standin.Call, rank pollencrank.Rank, random *rand.Rand) {
	for attempt := range maxAttempts {
		call.EntryIndex = attempt
		result := l.send(caller, call, rank)
		if result.Outcome == standin.Served || ctx.Err() != nil {
			return
		}
		wait := min(max(0, time.Until(result.RetryAt)), maxRetryPause)
		pause(ctx, wait+time.Duration(random.Int64N(int64(20*time.Millisecond))))
	}
}

// send sends one request. The end of the demonstration does not cancel the request, so
// every closed connection is caused by the system.
func (l *load) send(caller *standin.Caller, call standin.Call, rank pollencrank.Rank) standin.Result {
	call.Attempt = fmt.Sprintf("attempt-%d", l.attempts.Add(1))
	result := caller.Send(context.Background(), call)
	l.tally.countResult(rank, l.flooding.Load(), result)
	return result
}

// newCaller returns a caller in a region. Its look-ups are checked by the tally.
func (l *load) newCaller(region, number int) *standin.Caller {
	caller := standin.NewCaller(standin.CallerConfig{
		LocalIP: callerIP(region, number),
		Entries: l.fleet.callerAddresses(region),
	})
	caller.OnLookup = l.tally.checkLookup
	return caller
}

// flood sends requests of the background rank at a multiple of the total ordinary rate,
// until ctx ends. It picks a workload at random for each, and skips those of
// non-idempotent workloads.
func (l *load) flood(ctx context.Context) {
	l.flooding.Store(true)
	defer l.flooding.Store(false)
	total := 0
	for _, s := range l.fleet.user.services {
		total += s.rate
	}
	interval := time.Second * floodCallerCount / time.Duration(total*floodFactor)
	var callers sync.WaitGroup
	for number := range floodCallerCount {
		callers.Go(func() { l.runFloodCaller(ctx, number, interval) })
	}
	callers.Wait()
}

// runFloodCaller starts a request in each interval, even if earlier requests have not
// ended, up to maxOpenRequests.
func (l *load) runFloodCaller(ctx context.Context, number int, interval time.Duration) {
	const firstFloodCaller = 1000
	caller := l.newCaller(number%regionCount, firstFloodCaller+number)
	defer caller.Close()
	random := rand.New(rand.NewPCG(l.fleet.seed, uint64(firstFloodCaller+number)))
	services := l.fleet.user.services
	var open sync.WaitGroup
	permits := make(chan struct{}, maxOpenRequests)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		s := services[random.IntN(len(services))]
		answer, err := caller.Lookup(ctx, s.name)
		if err != nil || !s.idempotent {
			continue
		}
		call := standin.Call{Workload: s.name, Method: http.MethodGet, Path: s.path + "/flood", Rank: pollencrank.RankBackground.String()}
		call.Attempt = fmt.Sprintf("attempt-%d", l.attempts.Add(1))
		select {
		case permits <- struct{}{}:
		default:
			continue
		}
		open.Go(func() {
			defer func() { <-permits }()
			result := caller.SendTo(context.Background(), answer.Entries[0].Address, call)
			l.tally.countResult(pollencrank.RankBackground, true, result)
		})
	}
	open.Wait()
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
