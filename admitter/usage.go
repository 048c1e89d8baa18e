package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageHalfLife is how fast what was offered and served is forgotten.
	usageHalfLife = 4 * time.Second
	// advanceInterval is the time for which forgetting is put off: it costs an exponential, and
	// would change less than a thousandth of a count.
	advanceInterval = 5 * time.Millisecond
	// refreshInterval is the time between two computations of the tenants' fair share.
	refreshInterval = 100 * time.Millisecond
	// minOffered is the number of requests from which on the share of those that were
	// served says something.
	minOffered = 10
	// keptShare is the part of the served share of all requests below which a kind starves. It
	// is above the quarter that docs/design/too-little-room.md promises, because the effect comes
	// late.
	keptShare = 0.33
	// maxInversion is by how much the served share of a less urgent rank may exceed that of
	// a more urgent one before it is shortened. It is below the 5 in 100 that
	// docs/design/too-little-room.md promises.
	maxInversion = 0.02
	// maxEarnedInversion is by how much the earned share of a less urgent rank may exceed that
	// of a more urgent one. It is below the 15 in 100 that
	// docs/design/too-little-room.md promises.
	maxEarnedInversion = 0.08
	// lateWorth is the worth of a late answer, as a part of one in time. It is above zero,
	// because it is an answer, and low, so that a rank whose answers are late lags behind.
	lateWorth = 0.2
	// maxStretch is the multiple of the latency objective that an expected time may reach if
	// no other request meets a queue.
	maxStretch = 1.5
	// guaranteedDivisor divides a latency objective into the wait that a request may have in
	// any case if its kind starves or its rank lags behind.
	guaranteedDivisor = 2
	// keptShortPart is the part of the guaranteed wait that the others may have while a kind
	// starves. It is below one, so that a queue that keeps the others out lets that kind in.
	keptShortPart = 0.75
	// aheadDivisor divides the longest queue of a rank while a more urgent one is served less
	// often: it gives way at once, but is not shut out, so that it does not starve in turn.
	aheadDivisor = 4
	// maxPriorities is the number of ranks that are told apart.
	maxPriorities = 8
	// shareSlack is the part by which a tenant may exceed its fair share, so that one at
	// its share is not turned away for a single request.
	shareSlack = 0.1
	// forgottenBelow is what was offered lately below which a kind or a tenant is forgotten.
	forgottenBelow = 1e-4
)

// usage is what was offered and served lately: numbers of requests, or seconds of work.
type usage struct {
	offered, served float64
	// earned is the worth of what was served, and queued the number of requests that met a
	// queue. They are not counted for tenants.
	earned, queued float64
	// weight is what a tenant may ask for, or zero if nothing says so.
	weight float64
	// objective and rank are those of the last request of a kind.
	objective time.Duration
	rank      int
	at        time.Time
}

// advance forgets what has become old by now.
func (u *usage) advance(now time.Time) {
	age := now.Sub(u.at)
	if age < advanceInterval {
		return
	}
	remaining := math.Exp2(-age.Seconds() / usageHalfLife.Seconds())
	u.offered *= remaining
	u.served *= remaining
	u.earned *= remaining
	u.queued *= remaining
	u.at = now
}

// servedShare returns the share of what was offered that was served.
func (u *usage) servedShare() float64 { return u.served / max(u.offered, 1e-9) }

// earnedShare returns the share of their worth that requests earn by what was expected.
func (u *usage) earnedShare() float64 { return u.earned / max(u.offered, 1e-9) }

// serviceUsage is what was offered and served lately of one service.
type serviceUsage struct {
	all     usage
	ranks   [maxPriorities]usage
	kinds   map[string]*usage
	tenants map[string]*usage
	// work is the work of all tenants. It is counted with each of theirs, so that a part of it
	// stays comparable between two refreshes.
	work usage
	// fairShare is the part of the tenants' work, for each unit of its weight, up to which every
	// tenant is served before any gets more. It is infinite as long as all are served.
	fairShare float64
	// usualWeight is the weight of a tenant of which nothing says what it may ask for.
	usualWeight float64
	// hasStarving says that a kind is served much less often than all.
	hasStarving bool
	// objectives are the shortest objectives of the kinds of each rank, and starvingObjective
	// that of the kinds that starve. A server's queue is shared by kinds with any objective, so
	// that parts of each kind's own would leave nothing to those with short ones.
	objectives        [maxPriorities]time.Duration
	starvingObjective time.Duration
	refreshedAt       time.Time
	demands           []demand
}

// usages are those that one request counts for.
type usages struct {
	service      *serviceUsage
	kind, tenant *usage
	rank         int
}

// usagesOf returns the usages of a request. The lock is held.
func (a *Admitter) usagesOf(r *Request, now time.Time) usages {
	service := a.services[r.Service]
	if service == nil {
		service = &serviceUsage{fairShare: math.Inf(1), kinds: map[string]*usage{}, tenants: map[string]*usage{}}
		a.services[r.Service] = service
	}
	service.refresh(now)
	service.all.advance(now)
	service.work.advance(now)
	rank := rankOf(r.Priority)
	for i := range service.ranks {
		if i == rank || service.ranks[i].offered > 0 {
			service.ranks[i].advance(now)
		}
	}
	used := usages{service: service, rank: rank, kind: find(service.kinds, r.Kind, now)}
	if r.Tenant != "" {
		used.tenant = find(service.tenants, r.Tenant, now)
		used.tenant.weight = r.Weight
	}
	return used
}

// find returns the usage of a name, as of now.
func find(m map[string]*usage, name string, now time.Time) *usage {
	u := m[name]
	if u == nil {
		u = &usage{at: now}
		m[name] = u
	}
	u.advance(now)
	return u
}

func (u usages) offer(r *Request) {
	u.service.all.offered++
	u.kind.offered++
	u.kind.objective, u.kind.rank = r.objective(), u.rank
	u.service.ranks[u.rank].offered++
	if r.Wait > 0 {
		u.service.all.queued++
	}
	if u.tenant != nil {
		u.tenant.offered += r.Work.Seconds()
	}
}

func (u usages) serve(r *Request, now time.Time) {
	r.worth, r.startedAt = lateWorth, now
	if r.IsInTime(now) {
		r.worth = 1
	}
	u.addServed(r, 1)
}

// revoke takes back what is not forgotten yet of a request that was counted as served.
func (u usages) revoke(r *Request, now time.Time) {
	u.addServed(r, -math.Exp2(-now.Sub(r.startedAt).Seconds()/usageHalfLife.Seconds()))
}

// addServed adds a multiple of a request to what was served.
func (u usages) addServed(r *Request, multiple float64) {
	for _, used := range [...]*usage{&u.service.all, u.kind, &u.service.ranks[u.rank]} {
		used.served = max(used.served+multiple, 0)
		used.earned = max(used.earned+multiple*r.worth, 0)
	}
	if u.tenant != nil {
		work := multiple * r.Work.Seconds()
		u.tenant.served = max(u.tenant.served+work, 0)
		u.service.work.served = max(u.service.work.served+work, 0)
	}
}

// stretch returns the multiple of the latency objective that an expected time may reach. Where
// few requests meet a queue, one that is late delays nobody; where all do, it delays one that
// would be in time.
func (s *serviceUsage) stretch() float64 {
	return maxStretch - (maxStretch-1)*min(s.all.queued/max(s.all.offered, minOffered), 1)
}

// isStarving reports whether a kind is served much less often than all.
func (s *serviceUsage) isStarving(kind *usage) bool {
	return kind.offered >= minOffered && kind.servedShare() < keptShare*s.all.servedShare()
}

// lagsBehind reports whether the request's rank is served less often than a less urgent one.
func (u usages) lagsBehind() bool {
	own := &u.service.ranks[u.rank]
	for i := range u.service.ranks[u.rank+1:] {
		if own.lagsBehind(&u.service.ranks[u.rank+1+i]) {
			return true
		}
	}
	return false
}

// isAhead reports whether a more urgent rank is served less often than the request's.
func (u usages) isAhead() bool {
	own := &u.service.ranks[u.rank]
	for i := range u.service.ranks[:u.rank] {
		if u.service.ranks[i].lagsBehind(own) {
			return true
		}
	}
	return false
}

// lagsBehind reports whether a rank is served less often, or earns less, than a less urgent one.
func (u *usage) lagsBehind(lessUrgent *usage) bool {
	if u.offered < minOffered || lessUrgent.offered < minOffered {
		return false
	}
	return lessUrgent.servedShare() > u.servedShare()+maxInversion || lessUrgent.earnedShare() > u.earnedShare()+maxEarnedInversion
}

// shorten returns the part of the longest queue that is not kept for more urgent ranks. It
// is the smaller, the more of the requests are theirs, and smaller still while one of them is
// served less often.
func (u usages) shorten(longest time.Duration) time.Duration {
	for _, objective := range u.service.objectives[:u.rank] {
		longest = min(longest, objective)
	}
	if u.isAhead() {
		longest /= aheadDivisor
	}
	moreUrgent := 0.0
	for _, other := range u.service.ranks[:u.rank] {
		moreUrgent += other.offered
	}
	others := 1 - min(moreUrgent/max(u.service.all.offered, 1), 1)
	return time.Duration(float64(longest) * others * others)
}

// isOverShare reports whether the request's tenant has had its fair share.
func (u usages) isOverShare() bool {
	if u.tenant == nil {
		return false
	}
	fair := u.service.fairShare * u.service.work.served * u.service.weightOf(u.tenant)
	return u.tenant.served > fair*(1+shareSlack)
}

// refresh computes what all requests have in common.
func (s *serviceUsage) refresh(now time.Time) {
	if now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	s.hasStarving, s.starvingObjective = false, math.MaxInt64
	for rank := range s.objectives {
		s.objectives[rank] = math.MaxInt64
	}
	for name, kind := range s.kinds {
		kind.advance(now)
		if kind.offered < forgottenBelow {
			delete(s.kinds, name)
			continue
		}
		if kind.offered >= minOffered {
			s.objectives[kind.rank] = min(s.objectives[kind.rank], kind.objective)
		}
		if s.isStarving(kind) {
			s.hasStarving, s.starvingObjective = true, min(s.starvingObjective, kind.objective)
		}
	}
	s.refreshShare(now)
}

// demand is the work that a tenant asks for, and its weight.
type demand struct{ work, weight float64 }

// weightOf returns the weight of a tenant.
func (s *serviceUsage) weightOf(tenant *usage) float64 {
	if tenant.weight > 0 {
		return tenant.weight
	}
	return s.usualWeight
}

// refreshShare computes the fair share of the tenants: the level at which the work that was
// served suffices, if no tenant gets more than the level by its weight or than it asks for.
func (s *serviceUsage) refreshShare(now time.Time) {
	weights, weighted, served := 0.0, 0, 0.0
	for name, u := range s.tenants {
		u.advance(now)
		if u.offered < forgottenBelow {
			delete(s.tenants, name)
			continue
		}
		served += u.served
		if u.weight > 0 {
			weights += u.weight
			weighted++
		}
	}
	s.usualWeight = 1
	if weighted > 0 {
		s.usualWeight = weights / float64(weighted)
	}
	s.demands = s.demands[:0]
	for _, u := range s.tenants {
		s.demands = append(s.demands, demand{work: u.offered, weight: s.weightOf(u)})
	}
	s.work.served, s.work.at = served, now
	s.fairShare = math.Inf(1)
	if served > 0 {
		s.fairShare = level(s.demands, served) / served
	}
}

// level returns the work for each unit of weight up to which demands are met by what there
// is, or infinity if it meets all. It sorts the demands.
func level(demands []demand, supply float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.work*b.weight, b.work*a.weight) })
	weight := 0.0
	for _, d := range demands {
		weight += d.weight
	}
	for _, d := range demands {
		even := supply / weight
		if d.work > even*d.weight {
			return even
		}
		supply -= d.work
		weight -= d.weight
	}
	return math.Inf(1)
}
