package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/scheduler"
)

// writeTable enables TestCompareDisciplines, which rewrites the comparison in
// the docs. It takes about a minute.
var writeTable = flag.Bool("table", false, "rewrite docs/design/scheduling-table.md")

// discipline is a queueing discipline: it decides which requests get slots.
type discipline interface {
	acquire(ctx context.Context, request scheduler.SlotRequest) (release func(), err error)
}

// schedulerPool adapts the pool that entries use to the discipline interface.
type schedulerPool struct{ *scheduler.Pool }

func (p schedulerPool) acquire(ctx context.Context, request scheduler.SlotRequest) (func(), error) {
	grant, err := p.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	return grant.Release, nil
}

// baselinePool is a baseline for comparison: one bounded queue, or one for each
// rank, served oldest or newest first.
type baselinePool struct {
	byRank      bool
	newestFirst bool

	mu     sync.Mutex
	free   int
	queues [pollencrank.RankCount][]chan struct{}
}

// baselineQueueLimit is the number of requests that may wait in each queue of a
// baselinePool.
const baselineQueueLimit = 64

func (p *baselinePool) acquire(ctx context.Context, request scheduler.SlotRequest) (func(), error) {
	p.mu.Lock()
	if p.free > 0 {
		p.free--
		p.mu.Unlock()
		return p.release, nil
	}
	queue := &p.queues[0]
	if p.byRank {
		queue = &p.queues[request.Rank]
	}
	if len(*queue) == baselineQueueLimit {
		if !p.newestFirst {
			p.mu.Unlock()
			return nil, pollencrank.NotRun(pollencrank.ReasonQueueFull, "full")
		}
		close((*queue)[0])
		*queue = (*queue)[1:]
	}
	waiter := make(chan struct{}, 1)
	*queue = append(*queue, waiter)
	p.mu.Unlock()
	select {
	case _, granted := <-waiter:
		if !granted {
			return nil, pollencrank.NotRun(pollencrank.ReasonQueueFull, "full")
		}
		return p.release, nil
	case <-ctx.Done():
		p.cancel(queue, waiter)
		return nil, ctx.Err()
	}
}

// cancel removes a waiter whose context has ended. A slot that it was granted in
// the meantime goes to the next waiter.
func (p *baselinePool) cancel(queue *[]chan struct{}, waiter chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(*queue, waiter); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
		return
	}
	select {
	case _, granted := <-waiter:
		if granted {
			p.grantNext()
		}
	default:
	}
}

func (p *baselinePool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantNext()
}

// grantNext gives a free slot to a waiter. The caller must hold the lock.
func (p *baselinePool) grantNext() {
	for i := range p.queues {
		queue := &p.queues[i]
		if len(*queue) == 0 {
			continue
		}
		index := 0
		if p.newestFirst {
			index = len(*queue) - 1
		}
		waiter := (*queue)[index]
		*queue = slices.Delete(*queue, index, index+1)
		waiter <- struct{}{}
		return
	}
	p.free++
}

// scenario is a user's pool and the rank whose requests overload it.
type scenario struct {
	name    string
	servers int
	slots   int
	// service is the median service time of a request.
	service   time.Duration
	floodRank pollencrank.Rank
	// load is the offered load of all ranks in multiples of the capacity.
	load float64
}

// Deadlines, offered load in multiples of the capacity, and floors by rank. They
// model a normal day, with a load of 0.7 in all.
var (
	modelDeadlines = [pollencrank.RankCount]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}
	modelLoads     = [pollencrank.RankCount]float64{0.25, 0.3, 0.15}
	modelFloors    = [pollencrank.RankCount]float64{0, 0.2, 0.05}
)

// outcome holds the results of a run of a scenario.
type outcome struct {
	offered, served [pollencrank.RankCount]int
	latencies       [pollencrank.RankCount][]time.Duration
	// useful is the slot time of requests that ended before their deadline;
	// wasted is that of requests that ended after it.
	useful, wasted time.Duration
	capacity       time.Duration
	mu             sync.Mutex
}

// share returns the share of a rank's requests that were served before their
// deadline.
func (o *outcome) share(r pollencrank.Rank) float64 {
	return float64(o.served[r]) / float64(max(1, o.offered[r]))
}

func (o *outcome) percentile(r pollencrank.Rank, share float64) time.Duration {
	sorted := o.latencies[r]
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))]
}

const (
	// serviceTimeSigma is the standard deviation of the logarithm of the service
	// time.
	serviceTimeSigma = 0.8
	// maxServiceTimeFactor bounds the service time in multiples of the median.
	maxServiceTimeFactor = 10
)

// meanServiceTimeFactor is the ratio of the mean service time to the median.
var meanServiceTimeFactor = func() float64 {
	random := rand.New(rand.NewPCG(1, 2))
	const draws = 100_000
	sum := 0.0
	for range draws {
		sum += serviceTimeFactor(random)
	}
	return sum / draws
}()

// serviceTimeFactor returns a random, log-normally distributed ratio of a
// request's service time to the median.
func serviceTimeFactor(random *rand.Rand) float64 {
	return min(maxServiceTimeFactor, math.Exp(random.NormFloat64()*serviceTimeSigma))
}

// run runs a scenario in virtual time. Every discipline gets the same arrivals
// and service times.
func (s scenario) run(t *testing.T, d discipline, span time.Duration) *outcome {
	o := &outcome{capacity: span * time.Duration(s.servers*s.slots)}
	synctest.Test(t, func(*testing.T) {
		var wait sync.WaitGroup
		capacityPerSecond := float64(s.servers*s.slots) / (s.service.Seconds() * meanServiceTimeFactor)
		for _, rank := range pollencrank.Ranks() {
			load := modelLoads[rank]
			if rank == s.floodRank {
				load = max(load, s.load-(modelLoads[0]+modelLoads[1]+modelLoads[2]-load))
			}
			wait.Go(func() { s.offer(d, o, rank, load*capacityPerSecond, span, &wait) })
		}
		wait.Wait()
	})
	return o
}

// offer sends the requests of one rank until the span has passed.
func (s scenario) offer(d discipline, o *outcome, rank pollencrank.Rank, perSecond float64, span time.Duration, wait *sync.WaitGroup) {
	const callers = 20
	random := rand.New(rand.NewPCG(uint64(rank), uint64(perSecond)))
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		service := time.Duration(float64(s.service) * serviceTimeFactor(random))
		request := scheduler.SlotRequest{
			Rank:     rank,
			Caller:   fmt.Sprint("caller-", random.IntN(callers)),
			Deadline: time.Now().Add(modelDeadlines[rank]),
		}
		wait.Go(func() { o.sendRequest(d, request, service, end) })
	}
}

// sendRequest sends a request. The server completes a request that it has
// started even if the deadline passes, as most servers do.
func (o *outcome) sendRequest(d discipline, request scheduler.SlotRequest, service time.Duration, end time.Time) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	release, err := d.acquire(ctx, request)
	began := time.Now()
	if err == nil {
		time.Sleep(service)
		release()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offered[request.Rank]++
	inTime := err == nil && !time.Now().After(request.Deadline)
	if inTime {
		o.served[request.Rank]++
		o.latencies[request.Rank] = append(o.latencies[request.Rank], time.Since(arrived))
	}
	if err != nil {
		return
	}
	// Slot time after the end of the span is not part of the capacity, so it
	// isn't counted.
	within := max(0, min(service, end.Sub(began)))
	if inTime {
		o.useful += within
	} else {
		o.wasted += within
	}
}

// namedDiscipline is a discipline with its name in the table.
type namedDiscipline struct {
	name string
	make func(s scenario) discipline
}

var disciplines = []namedDiscipline{
	{"one queue, first come first served", func(s scenario) discipline { return &baselinePool{free: s.servers * s.slots} }},
	{"strict ranks, first come first served", func(s scenario) discipline { return &baselinePool{free: s.servers * s.slots, byRank: true} }},
	{"strict ranks, newest first", func(s scenario) discipline {
		return &baselinePool{free: s.servers * s.slots, byRank: true, newestFirst: true}
	}},
	{"chosen: ranks with floors, turns, refusal by deadline", newSchedulerPool},
}

func newSchedulerPool(s scenario) discipline {
	pool := scheduler.New(scheduler.Config{Workload: "w", Policy: scheduler.Policy{Floors: modelFloors, ForeignShare: 1}})
	slotCounts := make([]int, s.servers)
	for i := range slotCounts {
		slotCounts[i] = s.slots
	}
	pool.SetServers(servers(slotCounts...))
	return schedulerPool{pool}
}

// modelUsers holds the pools of two users: Lakeshore's ordering and Strengverk's
// look-ups.
var modelUsers = []scenario{
	{name: "lakeshore", servers: 12, slots: 3, service: 40 * time.Millisecond},
	{name: "strengverk", servers: 16, slots: 7, service: 30 * time.Millisecond},
}

// At an offered load of ten times the capacity, urgent requests are served as
// under normal load when background requests flood the pool, ordinary requests
// get their floor when urgent ones flood it, and at least 95 % of the slot time
// goes to requests that meet their deadline.
func TestAimsAtTenTimesTheCapacity(t *testing.T) {
	const overload, span = 10, 2 * time.Second
	for _, user := range modelUsers {
		for _, flood := range []pollencrank.Rank{pollencrank.RankBackground, pollencrank.RankUrgent} {
			s := user
			s.floodRank, s.load = flood, overload
			o := s.run(t, newSchedulerPool(s), span)
			label := fmt.Sprintf("%s, flood of rank %s", s.name, flood)
			require.GreaterOrEqual(t, o.useful.Seconds(), 0.95*o.capacity.Seconds(), label)
			if flood == pollencrank.RankBackground {
				normal := user
				normal.floodRank, normal.load = flood, 0.7
				normalOutcome := normal.run(t, newSchedulerPool(normal), span)
				require.GreaterOrEqual(t, o.share(pollencrank.RankUrgent), 0.99*normalOutcome.share(pollencrank.RankUrgent), label)
				continue
			}
			// The offered load of ordinary requests is 0.3 of the capacity; their
			// floor is 0.2.
			require.GreaterOrEqual(t, o.share(pollencrank.RankOrdinary), 0.2/0.3, label)
		}
	}
}

// TestCompareDisciplines writes the table of the disciplines' results under
// different loads. Without -table it is skipped.
func TestCompareDisciplines(t *testing.T) {
	if !*writeTable {
		t.Skip("run with -table to write the comparison")
	}
	var page strings.Builder
	page.WriteString("# Scheduling ways compared\n\nWritten by `go test ./scheduler -run Compare -table`; see [scheduling.md](scheduling.md). Virtual time, 10 s, fixed seeds.\n")
	for _, user := range modelUsers {
		for _, flood := range []pollencrank.Rank{pollencrank.RankBackground, pollencrank.RankUrgent} {
			fmt.Fprintf(&page, "\n## %s, %d servers of %d slots, rank %s floods\n\n", user.name, user.servers, user.slots, flood)
			page.WriteString("| load | way | served % u / o / b | p50 ms u / o / b | p99 ms u / o / b | useful % | wasted % |\n|---|---|---|---|---|---|---|\n")
			for _, load := range []float64{0.7, 1, 3, 10} {
				for _, compared := range disciplines {
					s := user
					s.floodRank, s.load = flood, load
					writeRow(&page, load, compared.name, s.run(t, compared.make(s), 10*time.Second))
				}
			}
		}
	}
	require.NoError(t, os.WriteFile("../docs/design/scheduling-table.md", []byte(page.String()), 0o644))
}

func writeRow(page *strings.Builder, load float64, name string, o *outcome) {
	cells := func(value func(r pollencrank.Rank) string) string {
		var values []string
		for _, r := range pollencrank.Ranks() {
			values = append(values, value(r))
		}
		return strings.Join(values, " / ")
	}
	milliseconds := func(share float64) string {
		return cells(func(r pollencrank.Rank) string { return fmt.Sprint(o.percentile(r, share).Milliseconds()) })
	}
	fmt.Fprintf(page, "| %v× | %s | %s | %s | %s | %.1f | %.1f |\n", load, name,
		cells(func(r pollencrank.Rank) string { return fmt.Sprintf("%.1f", 100*o.share(r)) }),
		milliseconds(0.5), milliseconds(0.99),
		100*o.useful.Seconds()/o.capacity.Seconds(), 100*o.wasted.Seconds()/o.capacity.Seconds())
}
