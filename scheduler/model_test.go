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

// writeTable rewrites the comparison in the docs. It takes about a minute.
var writeTable = flag.Bool("table", false, "rewrite docs/design/scheduling-table.md")

// discipline is a way to share slots.
type discipline interface {
	acquire(ctx context.Context, ticket scheduler.SlotRequest) (release func(), err error)
}

// ownPool is the pool that entries use.
type ownPool struct{ *scheduler.Pool }

func (p ownPool) acquire(ctx context.Context, ticket scheduler.SlotRequest) (func(), error) {
	grant, err := p.Acquire(ctx, ticket)
	if err != nil {
		return nil, err
	}
	return grant.Release, nil
}

// simplePool is a pool to compare with: one bounded queue, or one for each
// rank, served from the front or from the back.
type simplePool struct {
	byRank      bool
	newestFirst bool

	mu     sync.Mutex
	free   int
	queues [pollencrank.RankCount][]chan struct{}
}

const simpleQueue = 64

func (p *simplePool) acquire(ctx context.Context, ticket scheduler.SlotRequest) (func(), error) {
	p.mu.Lock()
	if p.free > 0 {
		p.free--
		p.mu.Unlock()
		return p.release, nil
	}
	queue := &p.queues[0]
	if p.byRank {
		queue = &p.queues[ticket.Rank]
	}
	if len(*queue) == simpleQueue {
		if !p.newestFirst {
			p.mu.Unlock()
			return nil, pollencrank.NotRun(pollencrank.ReasonQueueFull, "full")
		}
		close((*queue)[0])
		*queue = (*queue)[1:]
	}
	turn := make(chan struct{}, 1)
	*queue = append(*queue, turn)
	p.mu.Unlock()
	select {
	case _, granted := <-turn:
		if !granted {
			return nil, pollencrank.NotRun(pollencrank.ReasonQueueFull, "full")
		}
		return p.release, nil
	case <-ctx.Done():
		p.leave(queue, turn)
		return nil, ctx.Err()
	}
}

func (p *simplePool) leave(queue *[]chan struct{}, turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(*queue, turn); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
		return
	}
	select {
	case _, granted := <-turn:
		if granted {
			p.next()
		}
	default:
	}
}

func (p *simplePool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next()
}

// next gives a free slot to a waiter. The lock is held.
func (p *simplePool) next() {
	for i := range p.queues {
		queue := &p.queues[i]
		if len(*queue) == 0 {
			continue
		}
		at := 0
		if p.newestFirst {
			at = len(*queue) - 1
		}
		turn := (*queue)[at]
		*queue = slices.Delete(*queue, at, at+1)
		turn <- struct{}{}
		return
	}
	p.free++
}

// scenario is a user's pool and who floods it.
type scenario struct {
	name    string
	servers int
	slots   int
	// service is the median time of a request.
	service time.Duration
	flood   pollencrank.Rank
	// load is the offered work in multiples of the capacity.
	load float64
}

// deadlines and shares of an ordinary day, by rank: a load of 0.7 in all.
var (
	modelDeadlines = [pollencrank.RankCount]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}
	modelShares    = [pollencrank.RankCount]float64{0.25, 0.3, 0.15}
	modelFloors    = [pollencrank.RankCount]float64{0, 0.2, 0.05}
)

// outcome is what became of the work of a scenario.
type outcome struct {
	offered, served [pollencrank.RankCount]int
	latencies       [pollencrank.RankCount][]time.Duration
	// useful and wasted are slot time of requests that ended in time, and too
	// late.
	useful, wasted time.Duration
	capacity       time.Duration
	mu             sync.Mutex
}

func (o *outcome) share(r pollencrank.Rank) float64 {
	return float64(o.served[r]) / float64(max(1, o.offered[r]))
}

func (o *outcome) percentile(r pollencrank.Rank, share float64) time.Duration {
	list := o.latencies[r]
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(share*float64(len(list)-1))]
}

const (
	tailSpread  = 0.8
	longestTail = 10
)

// meanFactor is the mean of the heavy-tailed factor on the median service time.
var meanFactor = func() float64 {
	random := rand.New(rand.NewPCG(1, 2))
	const draws = 100_000
	sum := 0.0
	for range draws {
		sum += tail(random)
	}
	return sum / draws
}()

func tail(random *rand.Rand) float64 {
	return min(longestTail, math.Exp(random.NormFloat64()*tailSpread))
}

// run plays a scenario in virtual time. The same arrivals and service times are
// used for every discipline.
func (s scenario) run(t *testing.T, d discipline, span time.Duration) *outcome {
	o := &outcome{capacity: span * time.Duration(s.servers*s.slots)}
	synctest.Test(t, func(*testing.T) {
		var wait sync.WaitGroup
		capacityPerSecond := float64(s.servers*s.slots) / (s.service.Seconds() * meanFactor)
		for _, rank := range pollencrank.Ranks() {
			load := modelShares[rank]
			if rank == s.flood {
				load = max(load, s.load-(modelShares[0]+modelShares[1]+modelShares[2]-load))
			}
			wait.Go(func() { s.offer(d, o, rank, load*capacityPerSecond, span, &wait) })
		}
		wait.Wait()
	})
	return o
}

// offer sends the requests of one rank.
func (s scenario) offer(d discipline, o *outcome, rank pollencrank.Rank, perSecond float64, span time.Duration, wait *sync.WaitGroup) {
	const callers = 20
	random := rand.New(rand.NewPCG(uint64(rank), uint64(perSecond)))
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		service := time.Duration(float64(s.service) * tail(random))
		ticket := scheduler.SlotRequest{
			Rank:     rank,
			Caller:   fmt.Sprint("caller-", random.IntN(callers)),
			Deadline: time.Now().Add(modelDeadlines[rank]),
		}
		wait.Go(func() { o.one(d, ticket, service, end) })
	}
}

// one sends a request. A server finishes what it has begun, as most do.
func (o *outcome) one(d discipline, ticket scheduler.SlotRequest, service time.Duration, end time.Time) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), ticket.Deadline)
	defer cancel()
	release, err := d.acquire(ctx, ticket)
	began := time.Now()
	if err == nil {
		time.Sleep(service)
		release()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offered[ticket.Rank]++
	inTime := err == nil && !time.Now().After(ticket.Deadline)
	if inTime {
		o.served[ticket.Rank]++
		o.latencies[ticket.Rank] = append(o.latencies[ticket.Rank], time.Since(arrived))
	}
	if err != nil {
		return
	}
	// Work beyond the span does not count, nor do its slots.
	within := max(0, min(service, end.Sub(began)))
	if inTime {
		o.useful += within
	} else {
		o.wasted += within
	}
}

// way is a discipline with its name.
type way struct {
	name string
	make func(s scenario) discipline
}

var ways = []way{
	{"one queue, first come first served", func(s scenario) discipline { return &simplePool{free: s.servers * s.slots} }},
	{"strict ranks, first come first served", func(s scenario) discipline { return &simplePool{free: s.servers * s.slots, byRank: true} }},
	{"strict ranks, newest first", func(s scenario) discipline {
		return &simplePool{free: s.servers * s.slots, byRank: true, newestFirst: true}
	}},
	{"chosen: ranks with floors, turns, refusal by deadline", newOwn},
}

func newOwn(s scenario) discipline {
	pool := scheduler.New(scheduler.Config{Workload: "w", Policy: scheduler.Policy{Floors: modelFloors, ForeignShare: 1}})
	list := make([]int, s.servers)
	for i := range list {
		list[i] = s.slots
	}
	pool.SetServers(servers(list...))
	return ownPool{pool}
}

// Users' pools: Lakeshore's ordering and Strengverk's look-ups.
var modelUsers = []scenario{
	{name: "lakeshore", servers: 12, slots: 3, service: 40 * time.Millisecond},
	{name: "strengverk", servers: 16, slots: 7, service: 30 * time.Millisecond},
}

// At ten times the capacity the urgent rank keeps its service when others
// flood, ordinary work keeps its floor when urgent work floods, and slots do useful
// work.
func TestAimsAtTenTimesTheCapacity(t *testing.T) {
	const overload, span = 10, 2 * time.Second
	for _, user := range modelUsers {
		for _, flood := range []pollencrank.Rank{pollencrank.RankBackground, pollencrank.RankUrgent} {
			s := user
			s.flood, s.load = flood, overload
			o := s.run(t, newOwn(s), span)
			label := fmt.Sprintf("%s, flood of rank %s", s.name, flood)
			require.GreaterOrEqual(t, o.useful.Seconds(), 0.95*o.capacity.Seconds(), label)
			if flood == pollencrank.RankBackground {
				calm := user
				calm.flood, calm.load = flood, 0.7
				solo := calm.run(t, newOwn(calm), span)
				require.GreaterOrEqual(t, o.share(pollencrank.RankUrgent), 0.99*solo.share(pollencrank.RankUrgent), label)
				continue
			}
			// Ordinary work asks for 0.3 of the capacity; its floor is 0.2.
			require.GreaterOrEqual(t, o.share(pollencrank.RankOrdinary), 0.2/0.3, label)
		}
	}
}

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
				for _, w := range ways {
					s := user
					s.flood, s.load = flood, load
					writeRow(&page, load, w.name, s.run(t, w.make(s), 10*time.Second))
				}
			}
		}
	}
	require.NoError(t, os.WriteFile("../docs/design/scheduling-table.md", []byte(page.String()), 0o644))
}

func writeRow(page *strings.Builder, load float64, name string, o *outcome) {
	cells := func(value func(r pollencrank.Rank) string) string {
		var list []string
		for _, r := range pollencrank.Ranks() {
			list = append(list, value(r))
		}
		return strings.Join(list, " / ")
	}
	milliseconds := func(share float64) string {
		return cells(func(r pollencrank.Rank) string { return fmt.Sprint(o.percentile(r, share).Milliseconds()) })
	}
	fmt.Fprintf(page, "| %v× | %s | %s | %s | %s | %.1f | %.1f |\n", load, name,
		cells(func(r pollencrank.Rank) string { return fmt.Sprintf("%.1f", 100*o.share(r)) }),
		milliseconds(0.5), milliseconds(0.99),
		100*o.useful.Seconds()/o.capacity.Seconds(), 100*o.wasted.Seconds()/o.capacity.Seconds())
}
