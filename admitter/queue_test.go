package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/admitter"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

// lateWorth is the worth of a late answer in these tests.
const lateWorth = 0.2

// drawTicket draws a request that waits since epoch for room at a server.
func drawTicket(t *rapid.T, priorities int) *admitter.Ticket {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	work := ms(20, 300, "work")
	objective := ms(100, 500, "objective")
	return newTicket(rapid.IntRange(0, priorities-1).Draw(t, "priority"), work, objective, objective+ms(100, 1000, "beyond"))
}

func newTicket(priority int, work, objective, deadline time.Duration) *admitter.Ticket {
	return &admitter.Ticket{Woken: make(chan struct{}, 1), Request: &admitter.Request{
		Service: "parts", Kind: "k", Priority: priority, ArrivedAt: epoch, ObjectiveAt: epoch.Add(objective), Deadline: epoch.Add(deadline),
		Expected: work, Work: work,
	}}
}

func newQueue() *admitter.Queue[int] {
	return admitter.NewQueue[int](admitter.Bounds{PerPriority: 20_000, Bytes: 1 << 20})
}

// worthAt is what a request earns that begins to run.
func worthAt(r *admitter.Request, now time.Time) float64 {
	switch end := now.Add(r.Work); {
	case end.After(r.Deadline):
		return 0
	case end.After(r.ObjectiveAt):
		return lateWorth
	}
	return 1
}

// The more urgent run first, and in no pair of equally urgent ones would it cost callers less
// if the two had run in each other's place. Room is never left unused.
func TestNoPairIsBetterSwapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, random := newQueue(), rapid.IntRange(0, 300)
		for range rapid.IntRange(1, 8).Draw(t, "waiting") {
			ticket := drawTicket(t, 3)
			ticket.Request.Deadline = epoch.Add(time.Hour)
			require.True(t, q.Add(ticket, admitter.Standing{}, []int{0}))
		}
		begin := epoch.Add(time.Duration(random.Draw(t, "begin")) * time.Millisecond)
		order := drain(q, begin)
		require.Zero(t, q.Len())
		require.True(t, slices.IsSortedFunc(order, func(a, b *admitter.Request) int { return a.Priority - b.Priority }))
		least := cost(order, begin)
		for i := range order {
			for j := range i {
				if order[i].Priority == order[j].Priority {
					order[i], order[j] = order[j], order[i]
					require.GreaterOrEqual(t, cost(order, begin), least-1e-9)
					order[i], order[j] = order[j], order[i]
				}
			}
		}
	})
}

// drain runs all requests that wait, one after the other in a slot, and returns their order.
func drain(q *admitter.Queue[int], now time.Time) []*admitter.Request {
	var order []*admitter.Request
	for {
		ticket, isLost := q.Next(0, now)
		if ticket == nil {
			return order
		}
		order = append(order, ticket.Request)
		if !isLost {
			now = now.Add(ticket.Request.Work)
		}
	}
}

// cost is what the requests lose that run one after the other in a slot.
func cost(order []*admitter.Request, now time.Time) float64 {
	lost := 0.0
	for _, r := range order {
		worth := worthAt(r, now)
		lost += 1 - worth
		if worth > 0 {
			now = now.Add(r.Work)
		}
	}
	return lost
}

// leastCost tries all orders.
func leastCost(rest, order []*admitter.Request) float64 {
	if len(rest) == 0 {
		return cost(order, epoch)
	}
	least := float64(len(rest) + len(order))
	for i := range rest {
		rest[0], rest[i] = rest[i], rest[0]
		least = min(least, leastCost(rest[1:], append(order, rest[0])))
		rest[0], rest[i] = rest[i], rest[0]
	}
	return least
}

func TestTheCostIsNearTheLeastOfAnExhaustiveSearch(t *testing.T) {
	total, least := 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		var requests, order []*admitter.Request
		for range rapid.IntRange(2, 6).Draw(t, "waiting") {
			ticket := drawTicket(t, 1)
			requests = append(requests, ticket.Request)
			q.Add(ticket, admitter.Standing{}, []int{0})
		}
		order = drain(q, epoch)
		total += cost(order, epoch)
		least += leastCost(requests, nil)
	})
	t.Logf("cost %.1f, least %.1f", total, least)
	require.LessOrEqual(t, total, 1.05*least)
}

func TestAFullPriorityLeavesRoomForTheOthers(t *testing.T) {
	q := admitter.NewQueue[int](admitter.Bounds{PerPriority: 2, Bytes: 100})
	long := func(priority int) *admitter.Ticket { return newTicket(priority, usualWork, time.Second, time.Second) }
	require.True(t, q.Add(long(3), admitter.Standing{}, []int{0}))
	require.True(t, q.Add(long(3), admitter.Standing{}, []int{0}))
	require.False(t, q.Add(long(3), admitter.Standing{}, []int{0}))
	large := long(0)
	large.Bytes = 101
	require.False(t, q.Add(large, admitter.Standing{}, []int{0}))
	urgent := long(0)
	require.True(t, q.Add(urgent, admitter.Standing{}, []int{0, 1}))
	next, _ := q.Next(1, epoch)
	require.Same(t, urgent, next)
	next, _ = q.Next(0, epoch)
	require.NotSame(t, urgent, next, "a request runs once")
	q.Remove(next)
	require.Equal(t, 1, q.Len())
}

func TestDueKindsGoFirstAndTenantsBeyondTheirShareLast(t *testing.T) {
	q := newQueue()
	over, usual, due := newTicket(1, usualWork, time.Second, time.Second), newTicket(1, usualWork, time.Second, time.Second), newTicket(3, 2*usualWork, time.Second, time.Second)
	q.Add(over, admitter.Standing{IsOverShare: true}, []int{0})
	q.Add(usual, admitter.Standing{}, []int{0})
	q.Add(due, admitter.Standing{GoesFirst: true}, []int{0})
	for _, want := range []*admitter.Ticket{due, usual, over} {
		next, _ := q.Next(0, epoch)
		require.Same(t, want, next)
	}
}

// One decision: a request is decided on, joins 10,000 others that wait, and the one that runs
// next is taken out.
func BenchmarkDecision(b *testing.B) {
	const waiting = 10_000
	random := rand.New(rand.NewPCG(5, 6))
	a, q := admitter.New(admitter.Config{Random: random.Float64}), newQueue()
	tickets := make([]*admitter.Ticket, 2*waiting)
	for i := range tickets {
		tickets[i] = newTicket(i%4, time.Duration(random.IntN(300))*time.Millisecond, time.Second, 2*time.Second)
		tickets[i].Request.Tenant = fmt.Sprint(i % 50)
		tickets[i].Request.Wait = usualWork
		a.Arrive(tickets[i].Request, epoch)
		if i < waiting {
			q.Add(tickets[i], admitter.Standing{}, []int{0})
		}
	}
	free := tickets[waiting:]
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		t := free[i%waiting]
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		a.Decide(t.Request, now)
		q.Add(t, admitter.Standing{}, []int{0})
		free[i%waiting], _ = q.Next(0, epoch)
	}
}
