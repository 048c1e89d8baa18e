package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// usageHalfLife is how fast what was offered and served is forgotten.
	usageHalfLife = 4 * time.Second
	// advanceInterval is the time within which nothing is forgotten.
	advanceInterval = 5 * time.Millisecond
	// refreshInterval is the time between two computations of the tenants' fair share.
	refreshInterval = 100 * time.Millisecond
	// minOffered is the number of requests from which on the share of those that were
	// served says something.
	minOffered = 10
	// keptShare is the part of the served share of all requests that a kind is served at
	// least.
	keptShare = 0.4
	// maxInversion is by how much the served share of a less urgent rank may exceed that of
	// a more urgent one.
	maxInversion = 0.02
	// maxPriorities is the number of ranks that are told apart.
	maxPriorities = 8
	// shareSlack is the part by which a tenant may exceed its fair share.
	shareSlack = 0.1
	// forgottenBelow is the work, in seconds, below which a tenant is forgotten.
	forgottenBelow = 1e-4
)

// usage is what was offered and served lately: numbers of requests, or seconds of work.
type usage struct {
	offered, served float64
	at              time.Time
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
	u.at = now
}

// servedShare returns the share of what was offered that was served.
func (u *usage) servedShare() float64 { return u.served / max(u.offered, 1e-9) }

// serviceUsage is what was offered and served lately of one service.
type serviceUsage struct {
	all     usage
	ranks   [maxPriorities]usage
	kinds   map[string]*usage
	tenants map[string]*usage
	// fairShare is the work up to which every tenant is served before any gets more. It is
	// infinite as long as all are served.
	fairShare   float64
	refreshedAt time.Time
	demands     []float64
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
	service.all.advance(now)
	for i := range service.ranks {
		service.ranks[i].advance(now)
	}
	used := usages{service: service, rank: rankOf(r.Priority), kind: find(service.kinds, r.Kind, now)}
	if r.Tenant != "" {
		used.tenant = find(service.tenants, r.Tenant, now)
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
	u.service.ranks[u.rank].offered++
	if u.tenant != nil {
		u.tenant.offered += r.Work.Seconds()
	}
}

func (u usages) serve(r *Request) {
	u.service.all.served++
	u.kind.served++
	u.service.ranks[u.rank].served++
	if u.tenant != nil {
		u.tenant.served += r.Work.Seconds()
	}
}

// isBehind reports whether the request's kind is served less often than it is due: much
// less often than all, or less often than a less urgent rank.
func (u usages) isBehind() bool {
	if u.kind.offered >= minOffered && u.kind.servedShare() < keptShare*u.service.all.servedShare() {
		return true
	}
	own := u.service.ranks[u.rank]
	if own.offered < minOffered {
		return false
	}
	for _, other := range u.service.ranks[u.rank+1:] {
		if other.offered >= minOffered && other.servedShare() > own.servedShare()+maxInversion {
			return true
		}
	}
	return false
}

// moreUrgent returns the number of more urgent ranks that ask for the same servers.
func (u usages) moreUrgent() int {
	count := 0
	for _, other := range u.service.ranks[:u.rank] {
		if other.offered >= 1 {
			count++
		}
	}
	return count
}

// isOverShare reports whether the request's tenant has had its fair share.
func (u usages) isOverShare(now time.Time) bool {
	if u.tenant == nil {
		return false
	}
	if now.Sub(u.service.refreshedAt) >= refreshInterval {
		u.service.refreshShare(now)
	}
	return u.tenant.served > u.service.fairShare*(1+shareSlack)
}

// refreshShare computes the fair share of the tenants: the level at which the work that was
// served suffices, if no tenant gets more than the level or than it asks for.
func (s *serviceUsage) refreshShare(now time.Time) {
	s.refreshedAt = now
	s.demands = s.demands[:0]
	served := 0.0
	for name, u := range s.tenants {
		u.advance(now)
		if u.offered < forgottenBelow {
			delete(s.tenants, name)
			continue
		}
		s.demands = append(s.demands, u.offered)
		served += u.served
	}
	slices.Sort(s.demands)
	s.fairShare = level(s.demands, served)
}

// level returns the level up to which sorted demands are met by what there is, or infinity
// if it meets all.
func level(demands []float64, supply float64) float64 {
	for i, demand := range demands {
		even := supply / float64(len(demands)-i)
		if demand > even {
			return even
		}
		supply -= demand
	}
	return math.Inf(1)
}
