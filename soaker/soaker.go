// Package soaker runs the real programs as separate processes on one machine,
// disturbances them from outside, and checks the promises while they run by what callers
// and backend servers see.
//
// Instances are processes of pollencrankd; the platform's store and the backend
// servers are stand-ins behind loopback proxies that delay, reset, hold one way or
// silence connections. Signals stop, pause, kill and reload the processes. What
// happens, and when, follows from a seed.
//
// # Usage
//
//	result, err := soaker.Run(ctx, soaker.Config{Program: "target/pollencrankd", Seed: 7, Duration: 20 * time.Second})
//	for _, v := range result.Violations {
//		fmt.Println(v)
//	}
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	defaultInstances = 4
	defaultServers   = 9
	defaultCallers   = 24
	// readyLimit bounds the start of the fleet and its recovery at the end.
	readyLimit = 20 * time.Second
	// calmSpan is how long the callers go on after the last trouble.
	calmSpan = 3 * time.Second
	// leastServedShare is the share of the attempts that must be served when
	// everything has recovered.
	leastServedShare = 0.9
	// stallTick and stallLimit notice that the machine itself stood still.
	stallTick  = 20 * time.Millisecond
	stallLimit = 300 * time.Millisecond
	// stopGrace is the time that a planned stop may take; exitLimit is when a
	// process must have ended, with a margin.
	stopGrace = 4 * time.Second
	exitLimit = stopGrace + 2*time.Second
)

// Config is the configuration of a run.
type Config struct {
	// Program is the path of pollencrankd.
	Program string
	Seed    uint64
	// Duration is how long troubles go on.
	Duration time.Duration
	// Instances, Servers and Callers are the sizes. Zero takes a small default.
	Instances, Servers, Callers int
	// Folder keeps settings and logs.
	Folder string
	// Only, if set, are the names of the troubles to choose from.
	Only []string
	// Log is told what happens.
	Log func(format string, args ...any)
}

// Result is what a run showed.
type Result struct {
	Counts     Counts
	Violations []Violation
	// Faults counts the troubles by name, Stalls how often the machine itself
	// stood still.
	Faults map[string]int
	Stalls int
}

// soak is one run.
type soak struct {
	config    Config
	random    *rand.Rand
	ledger    *ledger
	store     *imitator.Store
	storeHTTP *http.Server
	instances []*process
	services  []string
	regionOf  map[string]string
	domains   []string

	mu       sync.Mutex
	servers  []*backend
	counter  int
	version  uint64
	troubles map[string]int
	stalls   int
	// evacuated is the failure domain that is being emptied, if any.
	evacuated string
	isCalm    bool
	calm      Counts
}

// Run performs a run.
func Run(ctx context.Context, config Config) (Result, error) {
	if config.Instances <= 0 {
		config.Instances = defaultInstances
	}
	if config.Servers <= 0 {
		config.Servers = defaultServers
	}
	if config.Callers <= 0 {
		config.Callers = defaultCallers
	}
	if config.Log == nil {
		config.Log = func(string, ...any) {}
	}
	s := &soak{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		ledger:   newLedger(),
		store:    imitator.NewStore(),
		services: []string{"catalogue", "orders", "drawings"},
		regionOf: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"},
		domains:  []string{"north-a", "north-b", "south-a"},
		troubles: map[string]int{},
	}
	defer s.close()
	if err := s.assemble(); err != nil {
		return Result{}, err
	}
	return s.play(ctx)
}

// ip returns an address of 127.0.0.0/8 that is this process's own: other runs may
// go on beside it.
func (s *soak) ip(kind, number int) string {
	const networks = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%networks, kind, 1+number)
}

// Kinds of addresses.
const (
	storeKind = iota
	serverKind
	instanceKind
)

// assemble starts the store, the servers and the instances.
func (s *soak) assemble() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.ip(storeKind, 0), "0"))
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.storeHTTP = &http.Server{Handler: s.store}
	go func() { _ = s.storeHTTP.Serve(listener) }()
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.config.Servers {
		if err := s.addServer(s.services[i%len(s.services)], s.domains[(i/len(s.services))%len(s.domains)]); err != nil {
			return err
		}
	}
	for i := range s.config.Instances {
		if err := s.addInstance(i, listener.Addr().String()); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *soak) addInstance(number int, storeAddress string) error {
	link, err := startProxy(s.ip(storeKind, 0), storeAddress)
	if err != nil {
		return fmt.Errorf("link to the store: %w", err)
	}
	p := &process{
		id:      fmt.Sprintf("entry-%d", number+1),
		ip:      s.ip(instanceKind, number),
		domain:  s.domains[number%len(s.domains)],
		program: s.config.Program,
		store:   link,
	}
	p.logPath = logPath(s.config.Folder, p.id)
	p.environment, err = imitator.WriteSettings(s.config.Folder, imitator.InstanceConfig{
		ID: p.id, IP: p.ip, FailureDomain: p.domain, RegionOf: s.regionOf, StoreAddress: link.address(),
		Seeds: []string{s.ip(instanceKind, 0), s.ip(instanceKind, 1)},
		Bounds: []string{"grace=" + stopGrace.String(), "ttl_max=5s", "retry-budget=0.2", "budget-extra=50",
			"budget-window=10s"},
	})
	if err != nil {
		return err
	}
	s.instances = append(s.instances, p)
	p.disturbances.add(time.Now().Add(contactTime))
	return p.start()
}

// configure puts the next version in force. Version n has routes of its own for
// versions n and n-1, beside those that always stay.
func (s *soak) configure() error {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	const host = callerHost
	const second = time.Second
	routes := []imitator.RouteConfig{
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Service: "catalogue", Priority: 1, Timeout: 2 * second, LatencyObjective: second / 2},
		{Name: "order", Host: host, PathPrefix: "/order/", Service: "orders", IsNonIdempotent: true, Priority: 2, Timeout: 3 * second, LatencyObjective: second},
		{Name: "urgent", Host: host, PathPrefix: "/urgent/", Service: "drawings", Timeout: 2 * second, LatencyObjective: second / 4},
	}
	for v := max(version, 2) - 1; v <= version; v++ {
		routes = append(routes, imitator.RouteConfig{
			Name: fmt.Sprintf("v%d", v), Host: host, PathPrefix: fmt.Sprintf("/v%d/", v), Service: "catalogue",
			Priority: 1, Timeout: 2 * second, LatencyObjective: second / 2,
		})
	}
	if err := s.store.Configure(version, routes, s.services); err != nil {
		return err
	}
	s.ledger.accepted(version)
	return nil
}

// awaitReady waits until every instance says that it is ready.
func (s *soak) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(readyLimit)
	for _, p := range s.instances {
		for !isReady(client, p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", p.id, readyLimit)
			}
			time.Sleep(stallTick)
		}
	}
	return nil
}

func isReady(client *http.Client, p *process) bool {
	response, err := client.Get(imitator.ReadyURL(p.ip))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// play lets callers call while troubles come and go, and then for a calm while.
func (s *soak) play(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i := range s.config.Callers {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(2+i)))
		callers.Go(func() { newCaller(s, i, random).run(ctx) })
	}
	callers.Go(func() { s.watchMachine(ctx) })
	s.trouble(ctx)
	err := s.awaitReady()
	if err == nil {
		s.setCalm()
		sleep(ctx, calmSpan)
	}
	cancel()
	callers.Wait()
	s.stopAll()
	counts, violations := s.ledger.result()
	result := Result{Counts: counts, Violations: violations, Faults: s.troubles, Stalls: s.stalls}
	if err != nil {
		result.Violations = append(result.Violations, Violation{Promise: "the fleet recovers", Detail: err.Error()})
	} else if share := float64(s.calm.Served) / float64(max(s.calm.Attempts, 1)); share < leastServedShare {
		result.Violations = append(result.Violations, Violation{
			Promise: "the fleet recovers", Detail: fmt.Sprintf("%.2f of %d attempts are served after the last trouble", share, s.calm.Attempts),
		})
	}
	return result, nil
}

// setCalm begins to count what is served after the last trouble.
func (s *soak) setCalm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCalm = true
}

// countCalm counts an attempt that was begun after the last trouble.
func (s *soak) countCalm(reply imitator.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCalm {
		return
	}
	s.calm.Attempts++
	if reply.Err == nil && reply.Status == http.StatusOK {
		s.calm.Served++
	}
}

// watchMachine notices when this process was not run for a while: the instances
// may not have been either, and time bounds do not hold then.
func (s *soak) watchMachine(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallTick)
		now := time.Now()
		if now.Sub(last) > stallLimit {
			s.ledger.disturbances.add(now.Add(contactTime))
			s.config.Log("the machine stood still for %s", now.Sub(last).Round(time.Millisecond))
			s.mu.Lock()
			s.stalls++
			s.mu.Unlock()
		}
		last = now
	}
}

// stopAll ends every process that this run started.
func (s *soak) stopAll() {
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.awaitExit(exitLimit)
	}
}

func (s *soak) close() {
	for _, p := range s.instances {
		if p.command != nil && p.isRunning() {
			p.signal(syscall.SIGKILL)
			p.awaitExit(exitLimit)
		}
		p.store.close()
	}
	for _, b := range s.servers {
		b.close()
	}
	if s.storeHTTP != nil {
		_ = s.storeHTTP.Close()
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// MakeFolder makes a folder for settings and logs.
func MakeFolder(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("pollencrank-soak-%d-", seed))
}
