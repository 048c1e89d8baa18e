// Package gossiper keeps the list of members of the fleet.
//
// Each instance exchanges a heartbeat with one of its neighbours per interval,
// in a shuffled round, so that the cost of an instance does not grow with the
// fleet. Neighbours are the members at distances of 1, 2, 4, ... in the ring of
// the group. The group is the failure domain, or the region while the
// failure domain is small. Changes of membership travel with the heartbeats,
// and ahead of them when they are new. A member that does not answer is probed
// through others, then suspected, then declared dead by its own group only:
// members of a failure domain that is cut off are not declared dead elsewhere.
//
// Relays, two for each failure domain, exchange heartbeats with other failure
// domains, one at a time.
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
	// newsPause gathers news that arrive together into one message.
	newsPause = 20 * time.Millisecond
	// maxNews is the number of member updates that are told at once.
	maxNews = 128
	// mismatchRounds is the number of exchanges with different digests after
	// which whole failure domains are compared.
	mismatchRounds = 3
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
	// Seeds returns addresses of instances to join through.
	Seeds func(ctx context.Context) []string
	// Interval, Timeout and Suspicion pace failure detection.
	Interval  time.Duration
	Timeout   time.Duration
	Suspicion time.Duration
	// Seed fixes the random choices.
	Seed uint64
	// StoreContact returns when something besides the members, such as the
	// store, last answered.
	StoreContact func() time.Time
	// Generation returns the configuration in force here.
	Generation func() pollencrank.Generation
	// Load returns this instance's load.
	Load func() *peerpb.Load
	// OnGeneration is told the generation of each instance heard from.
	OnGeneration func(from pollencrank.Instance, generation pollencrank.Generation)
	// OnLoad is told the load of each instance heard from.
	OnLoad func(from string, load *peerpb.Load)
	// OnChange is told of every new roster.
	OnChange func(*Roster)
	Log      *slog.Logger
}

// pending is a member update that is still to be passed on.
type pending struct {
	instance pollencrank.Instance
	left     int
}

// Gossiper keeps a Roster up to date.
type Gossiper struct {
	config Config
	roster atomic.Pointer[Roster]
	kicked chan struct{}

	mu      sync.Mutex
	self    pollencrank.Instance
	members map[string]pollencrank.Instance
	updates map[string]*pending
	// news are members of whom the neighbours have not been told yet.
	news        map[string]bool
	round       []string
	domainRound []string
	random      *rand.Rand
	lastContact time.Time
	// mismatches counts, by failure domain, exchanges in a row with members
	// whose digest differed.
	mismatches map[string]int
	// watchesRegion says that the group is the region.
	watchesRegion bool
	groupSize     int
}

// New returns a Gossiper that knows only its own instance.
func New(config Config) *Gossiper {
	setDefaults(&config)
	g := &Gossiper{
		config:  config,
		kicked:  make(chan struct{}, 1),
		self:    config.Self,
		members: map[string]pollencrank.Instance{},
		updates: map[string]*pending{},
		news:    map[string]bool{},

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

// Roster returns the members known now.
func (g *Gossiper) Roster() *Roster { return g.roster.Load() }

// Self returns this instance's own record.
func (g *Gossiper) Self() pollencrank.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Run joins the fleet and exchanges heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.Join(ctx)
	timer := time.NewTimer(g.nextInterval())
	defer timer.Stop()
	var news <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.kicked:
			if news == nil {
				news = time.After(newsPause)
			}
		case <-news:
			news = nil
			go g.spread(ctx)
		case <-timer.C:
			g.Tick(ctx)
			timer.Reset(g.nextInterval())
		}
	}
}

// nextInterval spreads heartbeats by up to a tenth of the interval.
func (g *Gossiper) nextInterval() time.Duration {
	const jitterParts = 10
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Interval + time.Duration(g.random.Int64N(int64(g.config.Interval/jitterParts)+1))
}

// maxSeeds is the number of seeds asked at a time.
const maxSeeds = 3

// Join exchanges with a few seeds to learn the members.
func (g *Gossiper) Join(ctx context.Context) {
	seeds := g.config.Seeds(ctx)
	g.mu.Lock()
	g.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	g.mu.Unlock()
	asked := 0
	for _, address := range seeds {
		if address == g.config.Self.PeerAddress {
			continue
		}
		request := g.newRequest("")
		request.Joining = true
		if g.exchange(ctx, address, request) == nil {
			asked++
		}
		if asked == maxSeeds {
			return
		}
	}
}

// Tick performs one round: a heartbeat to the next member of the group, one to
// another failure domain if this instance is a relay, and the end of
// suspicions.
func (g *Gossiper) Tick(ctx context.Context) {
	if len(g.Roster().Members) == 1 {
		g.Join(ctx)
	}
	var wait sync.WaitGroup
	if target, ok := g.nextTarget(); ok {
		wait.Go(func() { g.heartbeat(ctx, target) })
	}
	if target, ok := g.nextForeign(); ok {
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

// nextForeign returns a random member of the next failure domain outside the
// group, for relays only.
func (g *Gossiper) nextForeign() (pollencrank.Instance, bool) {
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

// foreignDomains returns the failure domains without a member of the group.
func (g *Gossiper) foreignDomains(roster *Roster) []string {
	near := map[string]bool{g.self.FailureDomain: true}
	for _, m := range roster.Group(g.self) {
		near[m.FailureDomain] = true
	}
	domains := slices.DeleteFunc(roster.Domains(), func(d string) bool { return near[d] })
	g.random.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	return domains
}

// foreignMember returns a relay of another failure domain, or now and then any
// member of it, in case its relays cannot be reached.
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

// publish makes a new roster after a change. The lock is held.
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
	g.watchesRegion = slices.ContainsFunc(group, func(m pollencrank.Instance) bool {
		return m.FailureDomain != g.self.FailureDomain
	})
	g.kick()
	return roster
}

func (g *Gossiper) logMember(m pollencrank.Instance) {
	g.config.Log.Info("member changed", recorder.EventMemberChanged.Attr(),
		slog.String("member", m.ID), slog.String("state", m.State.String()))
}
