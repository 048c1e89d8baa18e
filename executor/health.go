package executor

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/ejector"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/scheduler"
)

const (
	probeInterval = time.Second
	// warmConnections is the number of connections that are opened to a server
	// before it gets requests.
	warmConnections = 3
	// warmTimeout is the time after which a server gets requests even if no
	// connections were opened.
	warmTimeout = time.Second
)

// serverHealth is the latest health answer of an owned server and its warm-up state.
type serverHealth struct {
	dispatcher.Health
	// ownedSince is the time at which this entry became the owner.
	ownedSince time.Time
	// warmed reports whether connections were opened.
	warmed bool
	// cold reports whether the server was down and does not use all its slots yet;
	// answers counts its answers since then.
	cold    bool
	answers int
}

// answersPerSlot is the number of answers after which one more slot of a cold server
// is used.
const answersPerSlot = 8

// openSlots returns the number of slots that may be used. A server that was down has
// cold caches and gets its slots gradually.
func (h serverHealth) openSlots(slots int) int {
	if !h.cold {
		return slots
	}
	return min(slots, 1+h.answers/answersPerSlot)
}

// mayServe reports whether the server may get requests: it is not leaving, and its
// connections were opened or warmTimeout has passed.
func (h serverHealth) mayServe(now time.Time) bool {
	return !h.Leaving && (h.warmed || now.Sub(h.ownedSince) >= warmTimeout)
}

// Health returns the latest health answer of an owned server, with the time at which
// it was received, or false if there is none.
func (e *Executor) Health(server string) (dispatcher.Health, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.health[server]
	return h.Health, h.warmed
}

// Assign replaces the assignment.
func (e *Executor) Assign(assignment Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.assignment = assignment
	owned := map[string]bool{}
	for _, s := range assignment.Servers {
		owned[s.Name] = true
		if _, exists := e.health[s.Name]; !exists {
			e.health[s.Name] = serverHealth{ownedSince: time.Now()}
			e.requestProbe()
		}
	}
	for name := range e.health {
		if !owned[name] {
			delete(e.health, name)
		}
	}
	e.updateColdCount()
	e.config.Budget.SetShare(assignment.Preset.RetryShare)
	e.apply()
}

// Withdraw removes servers from the assignment before the next call of Assign. After
// its return no further request is sent to them.
func (e *Executor) Withdraw(servers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.assignment.Servers = slices.DeleteFunc(slices.Clone(e.assignment.Servers), func(s pollencrank.Server) bool {
		return slices.Contains(servers, s.Name)
	})
	e.apply()
}

// refresh updates the pools after changes of health or ejections.
func (e *Executor) refresh() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply()
}

// apply rebuilds the pools from the assignment, the health and the ejections. The
// caller holds the lock.
func (e *Executor) apply() {
	old := *e.pools.Load()
	pools := make(map[string]*pool, len(e.assignment.Workloads))
	usable := e.usableServers()
	var targets []dispatcher.Target
	for _, w := range e.assignment.Workloads {
		p := &pool{targets: map[string]dispatcher.Target{}}
		if previous := old[w.Name]; previous != nil {
			p.Pool, p.suspectSemaphore = previous.Pool, previous.suspectSemaphore
		} else {
			p.Pool, p.suspectSemaphore = scheduler.New(scheduler.Config{Workload: w.Name}), make(chan struct{}, 1)
		}
		p.SetPolicy(policyOf(w, e.assignment.Preset))
		var servers []scheduler.Server
		for _, s := range e.assignment.Servers {
			if s.Workload != w.Name {
				continue
			}
			target := targetOf(w, s)
			p.targets[s.Name] = target
			targets = append(targets, target)
			if usable[s.Name] {
				openSlots := e.health[s.Name].openSlots(s.Slots)
				servers = append(servers, scheduler.Server{Name: s.Name, Address: s.Address, Slots: openSlots})
			}
		}
		p.SetServers(servers)
		p.usableServers = len(servers)
		pools[w.Name] = p
	}
	for name, p := range old {
		if pools[name] == nil {
			p.Close()
		}
	}
	e.pools.Store(&pools)
	e.config.Sender.Keep(targets)
}

// usableServers returns the servers that may get requests.
func (e *Executor) usableServers() map[string]bool {
	byWorkload := map[string][]string{}
	usable := map[string]bool{}
	now := time.Now()
	for _, s := range e.assignment.Servers {
		if e.health[s.Name].mayServe(now) {
			byWorkload[s.Workload] = append(byWorkload[s.Workload], s.Name)
		}
	}
	for _, names := range byWorkload {
		ejected := e.config.Ejector.Ejected(names, now)
		for _, name := range names {
			usable[name] = !slices.Contains(ejected, name)
		}
	}
	return usable
}

func policyOf(w pollencrank.Workload, preset pollencrank.Preset) scheduler.Policy {
	policy := scheduler.Policy{ForeignShare: preset.ForeignShare, MaxWaiting: w.MaxWaiting}
	for rank, floor := range preset.Floors {
		policy.Floors[rank] = floor
	}
	return policy
}

func targetOf(w pollencrank.Workload, s pollencrank.Server) dispatcher.Target {
	return dispatcher.Target{
		Name:           s.Name,
		Address:        s.Address,
		MaxConnections: s.MaxConnections,
		HealthPath:     w.HealthPath,
	}
}

// Run probes the health of owned servers until ctx is done.
func (e *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		e.Probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-e.probeRequested:
		case <-ticker.C:
		}
	}
}

// requestProbe makes Run probe the servers without waiting for the next tick.
func (e *Executor) requestProbe() {
	select {
	case e.probeRequested <- struct{}{}:
	default:
	}
}

// Probe sends a health probe to every owned server and opens connections to those
// servers whose connections are not open yet.
func (e *Executor) Probe(ctx context.Context) {
	var wait sync.WaitGroup
	for _, p := range *e.pools.Load() {
		for _, target := range p.targets {
			wait.Go(func() { e.probe(ctx, target) })
		}
	}
	wait.Wait()
	e.refresh()
}

// probe probes the health of one server.
func (e *Executor) probe(ctx context.Context, target dispatcher.Target) {
	e.mu.Lock()
	warmed := e.health[target.Name].warmed
	e.mu.Unlock()
	var health dispatcher.Health
	var err error
	if warmed {
		health, err = e.config.Sender.Probe(ctx, target)
	} else {
		health, err = e.config.Sender.Warm(ctx, target, warmConnections)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		// A server that does not answer keeps its latest health: a failed
		// probe is weaker evidence than successful requests.
		e.config.Ejector.Observe(target.Name, ejector.Failure, time.Now())
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.setCold(target.Name)
		}
		return
	}
	e.setHealth(target.Name, health)
}

func (e *Executor) setHealth(server string, health dispatcher.Health) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.owns(server) {
		return
	}
	if health.Leaving && !e.health[server].Leaving {
		e.config.Log.Info("server is leaving", recorder.EventServerLeaving.Attr(), slog.String("server", server))
	}
	h := e.health[server]
	h.Health, h.warmed = health, true
	e.health[server] = h
}

// setCold marks a server as cold: it is down, so its caches are cold when it answers
// again.
func (e *Executor) setCold(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.owns(server) {
		return
	}
	h := e.health[server]
	h.cold, h.answers = true, 0
	e.health[server] = h
	e.updateColdCount()
}

// warmUp counts an answer of a server that may be cold. After every answersPerSlot
// answers one more slot is used.
func (e *Executor) warmUp(server string) {
	if e.coldServers.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.health[server]
	if !h.cold {
		return
	}
	h.answers++
	h.cold = h.openSlots(e.slotsOf(server)) < e.slotsOf(server)
	e.health[server] = h
	if h.answers%answersPerSlot == 0 || !h.cold {
		e.updateColdCount()
		e.apply()
	}
}

// slotsOf returns the assigned slots of an owned server. The caller holds the lock.
func (e *Executor) slotsOf(server string) int {
	for _, s := range e.assignment.Servers {
		if s.Name == server {
			return s.Slots
		}
	}
	return 0
}

// updateColdCount recounts the cold servers. The caller holds the lock.
func (e *Executor) updateColdCount() {
	cold := 0
	for _, h := range e.health {
		if h.cold {
			cold++
		}
	}
	e.coldServers.Store(int64(cold))
}

func (e *Executor) owns(server string) bool {
	return slices.ContainsFunc(e.assignment.Servers, func(s pollencrank.Server) bool {
		return s.Name == server
	})
}
