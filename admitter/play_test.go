package admitter_test

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pollencrank/pollencrank/admitter"
)

// job is a request of a simulated load.
type job struct {
	kind, tenant string
	weight       float64
	priority     int
	at, work     time.Duration
	objective    time.Duration
	deadline     time.Duration
	// returns is how often the caller comes back, and isHasty that it ignores when it may.
	returns int
	isHasty bool

	request  admitter.Request
	backAt   time.Duration
	isServed bool
	isInTime bool
	arrived  bool
}

// pool is a set of servers that work off the jobs in their queues, in the order of arrival.
type pool struct {
	slots int
	// slowness is by how much longer than said the work takes.
	slowness float64
	usual    time.Duration
	queues   [][]*running
}

type running struct {
	job  *job
	left time.Duration
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// wait returns the expected wait at a server, as selector estimates it.
func (p *pool) wait(server int) time.Duration {
	queued := float64(max(0, len(p.queues[server])+1-p.slots)) / float64(p.slots)
	return time.Duration(queued * float64(p.usual) * p.slowness)
}

func (p *pool) isIdle() bool {
	return !slices.ContainsFunc(p.queues, func(q []*running) bool { return len(q) > 0 })
}

func (p *pool) best() int {
	best := 0
	for i := range p.queues {
		if len(p.queues[i]) < len(p.queues[best]) {
			best = i
		}
	}
	return best
}

const tick = time.Millisecond

// advance works for one tick and returns whether each server has finished a job.
func (p *pool) advance(now time.Duration) []int {
	var finished []int
	for i, queue := range p.queues {
		kept := queue[:0]
		for n, r := range queue {
			if n < p.slots {
				r.left -= tick
			}
			if r.left > 0 {
				kept = append(kept, r)
				continue
			}
			took := now - r.job.at
			r.job.isServed = took <= r.job.deadline
			r.job.isInTime = r.job.isServed && (r.job.objective == 0 || took <= r.job.objective)
			finished = append(finished, i)
		}
		p.queues[i] = kept
	}
	return finished
}

// play serves the jobs by an Admitter's decisions.
func play(p *pool, jobs []*job) {
	random := rand.New(rand.NewPCG(1, 2))
	a := admitter.New(admitter.Config{Random: random.Float64})
	queue := admitter.NewQueue[int](admitter.Bounds{PerPriority: 512, Bytes: 1 << 20})
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].at < jobs[j].at })
	pending := append([]*job(nil), jobs...)
	waiting := map[*admitter.Ticket]*job{}
	var held []*admitter.Ticket
	offer := func(j *job, at time.Duration) {
		now, server := epoch.Add(at), p.best()
		r := &j.request
		if !j.arrived {
			*r = admitter.Request{Kind: j.kind, Service: "parts", Tenant: j.tenant, Weight: j.weight, Priority: j.priority,
				ArrivedAt: now, Deadline: epoch.Add(j.at + j.deadline)}
			if j.objective > 0 {
				r.ObjectiveAt = now.Add(j.objective)
			}
		}
		r.Wait, r.Work = p.wait(server), time.Duration(float64(j.work)*p.slowness)
		r.Expected = r.Wait + r.Work
		if !j.arrived {
			a.Arrive(r, now)
			j.arrived = true
		}
		switch d := a.Decide(r, now); d.Verdict {
		case admitter.Run:
			a.Start(r, now)
			p.queues[server] = append(p.queues[server], &running{job: j, left: r.Work})
		case admitter.Wait:
			j.backAt = d.At.Sub(epoch)
			t := &admitter.Ticket{Request: r, Woken: make(chan struct{}, 1)}
			if queue.Add(t, a.Standing(r, now), []int{server}) {
				waiting[t] = j
				held = append(held, t)
			}
		case admitter.Refuse:
			j.arrived = false
			if j.returns > 0 {
				j.returns--
				j.backAt = d.At.Sub(epoch)
				if j.isHasty {
					j.backAt = at + 5*tick
				}
				pending = append(pending, j)
			}
		}
	}
	for now := time.Duration(0); now < 30*time.Second; now += tick {
		for _, server := range p.advance(now) {
			if t, _ := queue.Next(server, epoch.Add(now)); t != nil {
				j := waiting[t]
				delete(waiting, t)
				offer(j, now)
			}
		}
		for _, t := range slices.Clone(held) {
			if j := waiting[t]; j != nil && j.backAt <= now {
				queue.Remove(t)
				delete(waiting, t)
				offer(j, now)
			}
		}
		held = slices.DeleteFunc(held, func(t *admitter.Ticket) bool { return waiting[t] == nil })
		var due []*job
		pending = slices.DeleteFunc(pending, func(j *job) bool {
			isDue := max(j.at, j.backAt) <= now
			if isDue {
				due = append(due, j)
			}
			return isDue
		})
		for _, j := range due {
			offer(j, now)
		}
		if len(pending) == 0 && p.isIdle() && queue.Len() == 0 {
			return
		}
	}
}

// tally is what became of a set of jobs.
type tally struct{ asked, inTime, served float64 }

func (t tally) servedShare() float64 { return t.served / t.asked }

func (t tally) worth() float64 { return (t.inTime + 0.2*(t.served-t.inTime)) / t.asked }

// count tallies the jobs of a load, by a property.
func count[K comparable](jobs []*job, by func(*job) K) map[K]tally {
	counts := map[K]tally{}
	for _, j := range jobs {
		c := counts[by(j)]
		c.asked++
		if j.isServed {
			c.served++
		}
		if j.isInTime {
			c.inTime++
		}
		counts[by(j)] = c
	}
	return counts
}
