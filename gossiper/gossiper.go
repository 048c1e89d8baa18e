// Package gossiper maintains the membership list of the fleet.
//
// In each interval an instance exchanges a heartbeat with one of its neighbours,
// in the order of a shuffled round, so that the cost per instance does not grow
// with the fleet. The neighbours of an instance are the members at distances of
// 1, 2, 4, ... in the ring of its group. The group is the failure domain, or the
// region while the failure domain has few members. Heartbeats carry changes of
// membership; new changes are also pushed to all neighbours without waiting for
// the next heartbeat. A member that does not answer is probed indirectly through
// other members, then suspected, then declared dead. Only its own group does so:
// the members of a failure domain that is partitioned off are not declared dead by
// the rest of the fleet.
//
// The relays, two for each failure domain, exchange heartbeats with the other
// failure domains, one failure domain in each interval.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Self: self, Peer: client, Seeds: seeds})
//	go g.Run(ctx)
//	for _, member := range g.Roster().Members {
//		fmt.Println(member.ID, member.State)
//	}
package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/recorder"
)

// Defaults of Config.
const (
	DefaultInterval   = time.Second
	DefaultTimeout    = 500 * time.Millisecond
	DefaultSuspicion  = 2 * time.Second
	tombstoneLifetime = 10 * time.Minute
	// maxUpdates is the number of member updates in one message.
	maxUpdates = 24
	// pushDelay is how long changes are collected before they are pushed in one
	// message.
	pushDelay = 20 * time.Millisecond
	// maxPushedUpdates is the number of member updates in one push.
	maxPushedUpdates = 128
	// mismatchRounds is the number of consecutive exchanges with different
	// digests after which the digests of all failure domains are compared and the
	// members of those that differ are sent.
	mismatchRounds = 3
	// indirectProbes is the number of members through which a member that does
	// not answer is probed.
	indirectProbes = 2
)

// Peer sends messages to other instances.
type Peer interface {
	Exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error)
	Probe(ctx context.Context, address string, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error)
}

// Config is the configuration of a Gossiper.
type Config struct {
	Self pollencrank.Instance
	Peer Peer
	// Seeds returns the peer addresses of instances to join through.
	Seeds func(ctx context.Context) []string
	// Interval is the time between heartbeats, Timeout bounds one exchange, and
	// Suspicion is how long a member is suspect before it is declared dead.
	Interval  time.Duration
	Timeout   time.Duration
	Suspicion time.Duration
	// Seed seeds the random choices.
	Seed uint64
	// StoreContact returns when the store last answered. An answer is evidence
	// that this instance is not isolated, also if no member answers.
	StoreContact func() time.Time
	// Generation returns the generation of the configuration that is in force on
	// this instance.
	Generation func() pollencrank.Generation
	// Load returns the load of this instance.
	Load func() *peerpb.Load
	// OnGeneration is called with the generation that another instance reports.
	OnGeneration func(from pollencrank.Instance, generation pollencrank.Generation)
	// OnLoad is called with the load that another instance reports.
	OnLoad func(from string, load *peerpb.Load)
	// OnChange is called with every new roster.
	OnChange func(*Roster)
	Log      *slog.Logger
}

// queuedUpdate is a member update that is to be sent in sendsLeft more messages.
type queuedUpdate struct {
	instance  pollencrank.Instance
	sendsLeft int
}

// Gossiper keeps a Roster up to date.
type Gossiper struct {
	config Config
	roster atomic.Pointer[Roster]
	// pushRequests wakes Run to push new updates.
	pushRequests chan struct{}

	mu      sync.Mutex
	self    pollencrank.Instance
	members map[string]pollencrank.Instance
	updates map[string]*queuedUpdate
	// unpushed holds the IDs of the members whose latest update has not been
	// pushed to the neighbours yet.
	unpushed map[string]bool
	// round and domainRound are the neighbours and the failure domains that the
	// current shuffled round has not reached yet.
	round       []string
	domainRound []string
	random      *rand.Rand
	lastContact time.Time
	// mismatches counts, by failure domain, consecutive exchanges with members
	// whose digest differed.
	mismatches map[string]int
	// groupIsRegion says that the group extends beyond the failure domain to the
	// region.
	groupIsRegion bool
	groupSize     int
}

// New returns a Gossiper whose roster holds only its own instance.
func New(config Config) *Gossiper {
	setDefaults(&config)
	g := &Gossiper{
		config:       config,
		pushRequests: make(chan struct{}, 1),
		self:         config.Self,
		members:      map[string]pollencrank.Instance{},
		updates:      map[string]*queuedUpdate{},
		unpushed:     map[string]bool{},

		mismatches: map[string]int{},
		random:     rand.New(rand.NewPCG(config.Seed, uint64(len(config.Self.ID)))),
	}
	g.self.StateChanged = time.Now()
	g.members[g.self.ID] = g.self
	g.enqueue(g.self)
	g.roster.Store(NewRoster([]pollencrank.Instance{g.self}))
	return g
}

func setDefaults(config *Config) {
	if config.Interval <= 0 {
		config.Interval = DefaultInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Suspicion <= 0 {
		config.Suspicion = DefaultSuspicion
	}
	if config.Seeds == nil {
		config.Seeds = func(context.Context) []string { return nil }
	}
	if config.StoreContact == nil {
		config.StoreContact = func() time.Time { return time.Time{} }
	}
	if config.Generation == nil {
		config.Generation = func() pollencrank.Generation { return 0 }
	}
	if config.Load == nil {
		config.Load = func() *peerpb.Load { return nil }
	}
	if config.OnGeneration == nil {
		config.OnGeneration = func(pollencrank.Instance, pollencrank.Generation) {}
	}
	if config.OnLoad == nil {
		config.OnLoad = func(string, *peerpb.Load) {}
	}
	if config.OnChange == nil {
		config.OnChange = func(*Roster) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
}

// Roster returns the current roster.
func (g *Gossiper) Roster() *Roster { return g.roster.Load() }

// Self returns this instance's own record.
func (g *Gossiper) Self() pollencrank.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Run joins the fleet and exchanges heartbeats until ctx ends. It returns after its last
// push has ended.
func (g *Gossiper) Run(ctx context.Context) error {
	var pushes sync.WaitGroup
	defer pushes.Wait()
	g.Join(ctx)
	timer := time.NewTimer(g.nextInterval())
	defer timer.Stop()
	var pushTimer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.pushRequests:
			if pushTimer == nil {
				pushTimer = time.After(pushDelay)
			}
		case <-pushTimer:
			pushTimer = nil
			pushes.Go(func() { g.pushUpdates(ctx) })
		case <-timer.C:
			g.Tick(ctx)
			timer.Reset(g.nextInterval())
		}
	}
}

// nextInterval returns the interval plus a random jitter of up to a tenth of it.
func (g *Gossiper) nextInterval() time.Duration {
	const jitterParts = 10
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Interval + time.Duration(g.random.Int64N(int64(g.config.Interval/jitterParts)+1))
}

// maxSeeds is the number of answering seeds after which Join stops.
const maxSeeds = 3

// Join exchanges heartbeats with a few seeds to obtain the members of the fleet.
func (g *Gossiper) Join(ctx context.Context) {
	seeds := g.config.Seeds(ctx)
	g.mu.Lock()
	g.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	g.mu.Unlock()
	contacted := 0
	for _, address := range seeds {
		if address == g.config.Self.PeerAddress {
			continue
		}
		request := g.newRequest("")
		request.Joining = true
		if g.exchange(ctx, address, request) == nil {
			contacted++
		}
		if contacted == maxSeeds {
			return
		}
	}
}

// Tick performs the work of one interval: it sends a heartbeat to the next
// neighbour, and one to another failure domain if this instance is a relay, and
// then expires suspicions and tombstones. An instance without other members joins
// first.
func (g *Gossiper) Tick(ctx context.Context) {
	if len(g.Roster().Members) == 1 {
		g.Join(ctx)
	}
	var wait sync.WaitGroup
	if target, ok := g.nextTarget(); ok {
		wait.Go(func() { g.heartbeat(ctx, target) })
	}
	if target, ok := g.nextForeignTarget(); ok {
		wait.Go(func() { _ = g.exchange(ctx, target.PeerAddress, g.newRequest(target.ID)) })
	}
	wait.Wait()
	g.expire(time.Now())
}

// nextTarget returns the next neighbour in a shuffled round.
func (g *Gossiper) nextTarget() (pollencrank.Instance, bool) {
	roster := g.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.round) == 0 {
		for _, m := range roster.Neighbours(g.self) {
			g.round = append(g.round, m.ID)
		}
		g.random.Shuffle(len(g.round), func(i, j int) { g.round[i], g.round[j] = g.round[j], g.round[i] })
	}
	for len(g.round) > 0 {
		id := g.round[0]
		g.round = g.round[1:]
		if m, ok := g.members[id]; ok && m.State.CanAnswer() {
			return m, true
		}
	}
	return pollencrank.Instance{}, false
}

// nextForeignTarget returns a random member of the next failure domain outside the
// group. It returns none if this instance is not a relay.
func (g *Gossiper) nextForeignTarget() (pollencrank.Instance, bool) {
	roster := g.Roster()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !roster.IsRelay(g.self) {
		return pollencrank.Instance{}, false
	}
	if len(g.domainRound) == 0 {
		g.domainRound = g.foreignDomains(roster)
	}
	if len(g.domainRound) == 0 {
		return pollencrank.Instance{}, false
	}
	domain := g.domainRound[0]
	g.domainRound = g.domainRound[1:]
	return g.foreignMember(roster, domain)
}

// foreignDomains returns the failure domains without a member of the group, in
// random order. The lock is held.
func (g *Gossiper) foreignDomains(roster *Roster) []string {
	groupDomains := map[string]bool{g.self.FailureDomain: true}
	for _, m := range roster.Group(g.self) {
		groupDomains[m.FailureDomain] = true
	}
	domains := slices.DeleteFunc(roster.Domains(), func(d string) bool { return groupDomains[d] })
	g.random.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	return domains
}

// foreignMember returns a random relay of another failure domain, or occasionally
// any running member of it, in case its relays are unreachable. The lock is held.
func (g *Gossiper) foreignMember(roster *Roster, domain string) (pollencrank.Instance, bool) {
	members := roster.Relays(domain)
	const anyMemberEvery = 8
	if g.random.IntN(anyMemberEvery) == 0 {
		members = roster.Select(func(m pollencrank.Instance) bool {
			return m.FailureDomain == domain && m.State.CanOwn()
		})
	}
	if len(members) == 0 {
		return pollencrank.Instance{}, false
	}
	return members[g.random.IntN(len(members))], true
}

// publish publishes a new roster if the members changed, and returns the current
// one. The lock is held.
func (g *Gossiper) publish(changed bool) *Roster {
	if !changed {
		return g.roster.Load()
	}
	members := make([]pollencrank.Instance, 0, len(g.members))
	for _, m := range g.members {
		members = append(members, m)
	}
	roster := NewRoster(members)
	g.roster.Store(roster)
	group := roster.Group(g.self)
	g.groupSize = len(group)
	g.groupIsRegion = slices.ContainsFunc(group, func(m pollencrank.Instance) bool {
		return m.FailureDomain != g.self.FailureDomain
	})
	g.requestPush()
	return roster
}

func (g *Gossiper) logMember(m pollencrank.Instance) {
	g.config.Log.Info("member changed", recorder.EventMemberChanged.Attr(),
		slog.String("member", m.ID), slog.String("state", m.State.String()))
}
