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
	// callersPerService is the number of callers of a workload in a region.
	callersPerService = 12
	// floodFactor is the flood's rate against the whole ordinary rate.
	floodFactor = 6
	floodGroups = 24
	// maxOutstanding bounds the requests that one flooding caller has open.
	maxOutstanding = 20
)

// load generates the callers' requests.
type load struct {
	fleet    *fleet
	tally    *tally
	flooding atomic.Bool
	attempts atomic.Int64
	wait     sync.WaitGroup
}

// start starts callers in every region until ctx ends.
func (l *load) start(ctx context.Context) {
	caller := 0
	for region := range regionCount {
		for _, s := range l.fleet.user.services {
			for range callersPerService {
				caller++
				number := caller
				l.wait.Go(func() { l.callerLoop(ctx, region, number, s) })
			}
		}
	}
}

// callerLoop sends requests at a steady mean rate. A request that is not
// answered is repeated a few times.
func (l *load) callerLoop(ctx context.Context, region, number int, s service) {
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
		l.sendUntilDone(ctx, caller, call, s.rank, random)
	}
}

const (
	maxRepeats = 4
	// repeatLimit is the longest pause before a repeat.
	repeatLimit = 500 * time.Millisecond
)

func (l *load) sendUntilDone(ctx context.Context, caller *standin.Caller, call standin.Call, rank pollencrank.Rank, random *rand.Rand) {
	for repeat := range maxRepeats {
		call.EntryIndex = repeat
		result := l.send(caller, call, rank)
		if result.Outcome == standin.Served || ctx.Err() != nil {
			return
		}
		wait := min(max(0, time.Until(result.RetryAt)), repeatLimit)
		pause(ctx, wait+time.Duration(random.Int64N(int64(20*time.Millisecond))))
	}
}

// send sends one request. It is not cut short when the demonstration ends, so
// that a cut connection is always the system's doing.
func (l *load) send(caller *standin.Caller, call standin.Call, rank pollencrank.Rank) standin.Result {
	call.Attempt = fmt.Sprintf("attempt-%d", l.attempts.Add(1))
	result := caller.Send(context.Background(), call)
	l.tally.count(rank, l.flooding.Load(), result)
	return result
}

// newCaller returns a caller in a region.
func (l *load) newCaller(region, number int) *standin.Caller {
	caller := standin.NewCaller(standin.CallerConfig{
		LocalIP: callerIP(region, number),
		Entries: l.fleet.callerAddresses(region),
	})
	caller.OnLookup = l.tally.lookup
	return caller
}

// flood sends work of the least urgent rank to every workload at a multiple
// of the ordinary rate, until ctx ends.
func (l *load) flood(ctx context.Context) {
	l.flooding.Store(true)
	defer l.flooding.Store(false)
	total := 0
	for _, s := range l.fleet.user.services {
		total += s.rate
	}
	interval := time.Second * floodGroups / time.Duration(total*floodFactor)
	var wait sync.WaitGroup
	for group := range floodGroups {
		wait.Go(func() { l.floodLoop(ctx, group, interval) })
	}
	wait.Wait()
}

// floodLoop starts a request each interval, whether or not earlier ones have
// ended.
func (l *load) floodLoop(ctx context.Context, group int, interval time.Duration) {
	const firstFlooder = 1000
	caller := l.newCaller(group%regionCount, firstFlooder+group)
	defer caller.Close()
	random := rand.New(rand.NewPCG(l.fleet.seed, uint64(firstFlooder+group)))
	services := l.fleet.user.services
	var open sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
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
		case slots <- struct{}{}:
		default:
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			result := caller.SendTo(context.Background(), answer.Entries[0].Address, call)
			l.tally.count(pollencrank.RankBackground, true, result)
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
