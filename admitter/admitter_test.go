package admitter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stream returns jobs of one kind that arrive evenly over ten seconds.
func stream(perSecond int, kind string, priority int, work time.Duration) []*job {
	return streamFor(10, perSecond, kind, priority, work)
}

func streamFor(seconds, perSecond int, kind string, priority int, work time.Duration) []*job {
	var jobs []*job
	for i := range seconds * perSecond {
		jobs = append(jobs, &job{
			kind: kind, priority: priority, at: time.Duration(i) * time.Second / time.Duration(perSecond) / tick * tick,
			work: work, objective: 300 * time.Millisecond, deadline: 2 * time.Second, returns: 1,
		})
	}
	return jobs
}

// newPool returns servers that have room for 120 jobs of 100 ms a second.
func newPool() *pool {
	return &pool{slots: 3, slowness: 1, usual: 100 * time.Millisecond, queues: make([][]*running, 4)}
}

func priorityOf(j *job) int    { return j.priority }
func kindOf(j *job) string     { return j.kind }
func tenantOf(j *job) string   { return j.tenant }
func everything(*job) struct{} { return struct{}{} }

const usualWork = 100 * time.Millisecond

// requireOrder checks that no kind starves, and that a more urgent one is served as often as
// a less urgent one and earns as much of its worth.
func requireOrder(t *testing.T, jobs []*job) {
	t.Helper()
	all := count(jobs, everything)[struct{}{}]
	byPriority := count(jobs, priorityOf)
	for priority, c := range byPriority {
		t.Logf("priority %d: asked %.0f, served %.3f, worth %.3f", priority, c.asked, c.servedShare(), c.worth())
		require.Greater(t, c.servedShare(), all.servedShare()/4, "priority %d starves", priority)
		for less, other := range byPriority {
			if less > priority {
				require.LessOrEqual(t, other.servedShare(), c.servedShare()+0.05, "%d is served more often than %d", less, priority)
				require.LessOrEqual(t, other.worth(), c.worth()+0.15, "%d earns more than %d", less, priority)
			}
		}
	}
}

func TestEqualWorkWithMixedPriorities(t *testing.T) {
	var jobs []*job
	for priority := range 3 {
		jobs = append(jobs, stream(60, fmt.Sprint("kind", priority), priority, usualWork)...)
	}
	play(newPool(), jobs)
	requireOrder(t, jobs)
	require.Greater(t, count(jobs, everything)[struct{}{}].servedShare(), 0.6)
}

func TestLongWorkBeforeShort(t *testing.T) {
	jobs := append(stream(40, "long", 1, 3*usualWork), stream(60, "short", 1, usualWork)...)
	play(newPool(), jobs)
	byKind := count(jobs, kindOf)
	t.Log(byKind)
	require.Greater(t, byKind["short"].worth(), byKind["long"].worth())
	require.Greater(t, byKind["long"].servedShare(), count(jobs, everything)[struct{}{}].servedShare()/4)
}

func TestDeadlinesThatAllFallTogether(t *testing.T) {
	var jobs []*job
	for range 100 {
		jobs = append(jobs, &job{kind: "k", priority: 1, work: usualWork, objective: 300 * time.Millisecond, deadline: 500 * time.Millisecond})
	}
	play(newPool(), jobs)
	all := count(jobs, everything)[struct{}{}]
	t.Log(all)
	// Three rounds of twelve fit into the latency objective.
	require.GreaterOrEqual(t, all.inTime, 30.0)
	require.LessOrEqual(t, all.served-all.inTime, 12.0)
}

func TestManyOfTheLeastUrgent(t *testing.T) {
	jobs := append(stream(30, "urgent", 0, usualWork), stream(400, "many", 3, usualWork)...)
	play(newPool(), jobs)
	requireOrder(t, jobs)
	require.Greater(t, count(jobs, kindOf)["urgent"].worth(), 0.8)
}

// Kinds with any objectives, or with none, meet in the same queues.
func TestAKindWithALongObjectiveLeavesRoomForOthers(t *testing.T) {
	for _, objective := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second, 0} {
		for _, priority := range []int{0, 3} {
			jobs := stream(60, "urgent", 0, usualWork)
			batch := stream(150, "batch", priority, usualWork)
			for _, j := range batch {
				j.objective, j.deadline = objective, 10*time.Second
			}
			jobs = append(jobs, batch...)
			play(newPool(), jobs)
			t.Logf("objective %s", objective)
			byKind := count(jobs, kindOf)
			t.Log(priority, byKind["urgent"].servedShare(), byKind["urgent"].worth(), byKind["batch"].servedShare())
			requireOrder(t, jobs)
			require.Greater(t, byKind["urgent"].servedShare(), count(jobs, everything)[struct{}{}].servedShare()/4)
		}
	}
}

func TestManyOfTheMostUrgent(t *testing.T) {
	jobs := append(stream(400, "many", 0, usualWork), stream(30, "rest", 3, usualWork)...)
	play(newPool(), jobs)
	requireOrder(t, jobs)
}

// tenants returns a load of which one of many tenants sends half.
func tenants(perSecond int) []*job {
	jobs := stream(perSecond, "k", 1, usualWork)
	random := rand.New(rand.NewPCG(3, 4))
	for _, j := range jobs {
		j.tenant = fmt.Sprint("tenant", 1+random.IntN(9))
		if random.IntN(2) == 0 {
			j.tenant = "half"
		}
	}
	return jobs
}

func TestOneTenantWithHalfOfTheLoad(t *testing.T) {
	jobs := tenants(200)
	play(newPool(), jobs)
	mean, worst, worstOfOthers := 0.0, 1.0, 1.0
	byTenant := count(jobs, tenantOf)
	for tenant, c := range byTenant {
		t.Logf("%s: asked %.0f, served %.3f", tenant, c.asked, c.servedShare())
		mean += c.servedShare() / float64(len(byTenant))
		worst = min(worst, c.servedShare())
		if tenant != "half" {
			worstOfOthers = min(worstOfOthers, c.servedShare())
		}
	}
	require.GreaterOrEqual(t, worstOfOthers, 0.8*mean)
	require.Equal(t, worst, byTenant["half"].servedShare(), "what it sends too much costs itself")
}

// Of tenants of very different sizes that keep to their quotas, the worst tenth is served
// about as well as the mean.
func TestManyTenantsOfDifferentSizes(t *testing.T) {
	jobs := stream(250, "k", 1, usualWork)
	random := rand.New(rand.NewPCG(9, 10))
	sizes := rand.NewZipf(random, 1.2, 1, 39)
	for _, j := range jobs {
		size := sizes.Uint64()
		j.tenant, j.weight = fmt.Sprint("tenant", size), 100*math.Pow(float64(1+size), -1.2)
	}
	play(newPool(), jobs)
	var shares []float64
	mean := 0.0
	byTenant := count(jobs, tenantOf)
	for _, c := range byTenant {
		shares = append(shares, c.servedShare())
		mean += c.servedShare() / float64(len(byTenant))
	}
	slices.Sort(shares)
	t.Log(mean, shares)
	require.Greater(t, shares[len(shares)/10], 0.8*mean)
}

func TestServersAtAThirdOfTheirSpeed(t *testing.T) {
	jobs := append(stream(50, "urgent", 1, usualWork/2), stream(50, "rest", 2, usualWork/2)...)
	p := newPool()
	p.slowness = 3
	play(p, jobs)
	requireOrder(t, jobs)
	require.Greater(t, count(jobs, everything)[struct{}{}].servedShare(), 0.5)
}

func TestCallersThatIgnoreRetryAfter(t *testing.T) {
	jobs := stream(200, "k", 1, usualWork)
	for i, j := range jobs {
		if i%3 == 0 {
			j.isHasty, j.returns, j.kind = true, 20, "hasty"
		}
	}
	play(newPool(), jobs)
	byKind := count(jobs, kindOf)
	t.Log(byKind)
	require.Greater(t, byKind["k"].servedShare(), 0.4)
	require.Greater(t, count(jobs, everything)[struct{}{}].inTime, 800.0)
}

// Whatever the kinds ask for, none starves and the order of the priorities holds.
func TestNothingStarves(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 12 {
		var jobs []*job
		for priority := range 2 + random.IntN(3) {
			perSecond := 20 + random.IntN(150)
			jobs = append(jobs, streamFor(6, perSecond, fmt.Sprint("kind", priority), priority, usualWork*time.Duration(1+random.IntN(3))/2)...)
		}
		play(newPool(), jobs)
		requireOrder(t, jobs)
	}
}
