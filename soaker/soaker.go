// Package soaker runs the real programs as separate processes on one machine,
// injects faults from outside, and meanwhile checks the promises against the
// observations of callers and backend servers.
//
// Instances are processes of pollencrankd; the platform's store and the backend
// servers are stand-ins behind loopback proxies that delay or reset connections, or
// hold back their data in one or both directions. Signals stop, suspend, kill and
// reload the processes. A seed determines the faults and their times.
//
// # Usage
//
//	result, err := soaker.Run(ctx, soaker.Config{Program: "target/pollencrankd", Seed: 7, Duration: 20 * time.Second})
//	for _, v := range result.Violations {
//		fmt.Println(v)
//	}
package soaker

import (
	"cmp"
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
	// readyTimeout bounds the start of the fleet and its recovery at the end.
	readyTimeout = 20 * time.Second
	// finalPhaseSpan is how long the callers continue after the last fault.
	finalPhaseSpan = 3 * time.Second
	// minServedShare is the share of the attempts that must be served in the final
	// phase, when the fleet has recovered.
	minServedShare = 0.9
	// pollInterval is the interval of the checks for readiness and for stalls of the
	// machine. A check that is more than stallLimit late is a stall.
	pollInterval = 20 * time.Millisecond
	stallLimit   = 300 * time.Millisecond
	// stopGrace is the time that a planned stop may take; exitTimeout is the time in
	// which a process must exit, with a margin.
	stopGrace   = 4 * time.Second
	exitTimeout = stopGrace + 2*time.Second
)

// Config is the configuration of a run.
type Config struct {
	// Program is the path of pollencrankd.
	Program string
	// Older, if set, is the path of pollencrankd of an older build. The fleet starts with it
	// and is upgraded and rolled back, one instance at a time, while faults are injected.
	Older string
	Seed  uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Instances, Servers and Callers are the numbers of each. Zero selects a small
	// default.
	Instances, Servers, Callers int
	// Folder is where settings and logs are written.
	Folder string
	// Tenants makes callers need keys, which come and go.
	Tenants bool
	// Only, if not empty, holds the names of the kinds of fault to choose from.
	Only []string
	// Log is called for each fault and each stall of the machine.
	Log func(format string, args ...any)
}

// Result is the result of a run.
type Result struct {
	Counts     Counts
	Violations []Violation
	// Faults counts the faults by the name of their kind. Stalls counts the stalls of the
	// machine itself.
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

	// keys are the keys of tenants, or nil in a run without them.
	keys *keyRing
	// configuring makes versions reach the store in their order. It guards tenants, which are
	// those of the newest version.
	configuring sync.Mutex
	// unreported is held while an instance is killed whose neighbours are cut off from the store.
	unreported sync.Mutex
	tenants    []imitator.TenantConfig

	mu             sync.Mutex
	servers        []*backend
	serversStarted int
	version        uint64
	// cuts are the instances that are cut off from all servers.
	cuts        *serverCuts
	faultCounts map[string]int
	stalls      int
	// evacuated is the failure domain that is being evacuated, if any.
	evacuated    string
	isFinalPhase bool
	finalCounts  Counts
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
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, 1)),
		ledger:      newLedger(),
		store:       imitator.NewStore(),
		services:    []string{"catalogue", "orders", "drawings"},
		regionOf:    map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"},
		domains:     []string{"north-a", "north-b", "south-a"},
		faultCounts: map[string]int{},
		cuts:        newServerCuts(),
	}
	if config.needsTenants() {
		s.keys = newKeyRing()
		s.ledger.keys = s.keys
	}
	defer s.close()
	if err := s.startFleet(); err != nil {
		return Result{}, err
	}
	return s.runFaults(ctx)
}

// ip returns an address of 127.0.0.0/8 that is derived from the process ID, as other
// runs may take place on the machine at the same time.
func (s *soak) ip(kind, number int) string {
	const networks = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%networks, kind, 1+number)
}

// Kinds of addresses, used as the third byte of an address.
const (
	storeKind = iota
	serverKind
	instanceKind
)

// assemble starts the store, the servers and the instances.
func (s *soak) startFleet() error {
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
	s.ledger.instances = s.instances
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
		program: cmp.Or(s.config.Older, s.config.Program),
		store:   link,
	}
	p.logPath = logPath(s.config.Folder, p.id)
	p.environment, err = imitator.WriteSettings(s.config.Folder, imitator.InstanceConfig{
		ID: p.id, IP: p.ip, FailureDomain: p.domain, RegionOf: s.regionOf, StoreAddress: link.address(),
		Seeds: []string{s.ip(instanceKind, 0), s.ip(instanceKind, 1)},
		Bounds: append([]string{"grace=" + stopGrace.String(), "ttl_max=5s", "retry-budget=0.2", "budget-extra=50",
			"budget-window=10s"}, quotaBounds...),
	})
	if err != nil {
		return err
	}
	s.instances = append(s.instances, p)
	p.disturbances.add(time.Now().Add(recoveryTime))
	return p.start()
}

// configure puts the next version in force. Version n has the versioned routes /vN/ of
// versions n and n-1, besides the permanent routes.
func (s *soak) configure() error {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	if s.keys != nil {
		s.tenants = s.keys.tenants()
	}
	if err := s.writeConfiguration(version); err != nil {
		return err
	}
	s.ledger.recordAccepted(version)
	return nil
}

// writeConfiguration writes a version into the store. The caller holds configuring.
func (s *soak) writeConfiguration(version uint64) error {
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
	for i := range routes {
		routes[i].IsAuthExempt = s.keys != nil && routes[i].PathPrefix == exemptPrefix
	}
	return s.store.ConfigureTenants(version, routes, s.services, s.tenants)
}

// awaitReady waits until every instance reports that it is ready.
func (s *soak) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(readyTimeout)
	for _, p := range s.instances {
		for !isReady(client, p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", p.id, readyTimeout)
			}
			time.Sleep(pollInterval)
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

// runFaults runs the callers while faults are injected, and then for the final phase
// without faults.
func (s *soak) runFaults(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range s.config.Callers {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(2+i)))
		tasks.Go(func() { newCaller(s, i, random).run(ctx) })
	}
	tasks.Go(func() { s.detectStalls(ctx) })
	s.injectFaults(ctx)
	err := s.awaitReady()
	if err == nil {
		s.startFinalPhase()
		sleep(ctx, finalPhaseSpan)
	}
	cancel()
	tasks.Wait()
	s.killAll()
	s.checkLogs()
	counts, violations := s.ledger.result()
	result := Result{Counts: counts, Violations: violations, Faults: s.faultCounts, Stalls: s.stalls}
	if err != nil {
		result.Violations = append(result.Violations, Violation{Promise: "the fleet recovers", Detail: err.Error()})
	} else if share := float64(s.finalCounts.Served) / float64(max(s.finalCounts.Attempts, 1)); share < minServedShare {
		result.Violations = append(result.Violations, Violation{
			Promise: "the fleet recovers", Detail: fmt.Sprintf("%.2f of %d attempts are served after the last trouble", share, s.finalCounts.Attempts),
		})
	}
	return result, nil
}

// startFinalPhase starts to count the attempts that are served after the last fault.
func (s *soak) startFinalPhase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isFinalPhase = true
}

// countInFinalPhase counts an attempt that ended in the final phase.
func (s *soak) countInFinalPhase(reply imitator.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isFinalPhase {
		return
	}
	s.finalCounts.Attempts++
	if reply.Err == nil && reply.Status == http.StatusOK {
		s.finalCounts.Served++
	}
}

// detectStalls detects that this process was not scheduled for a while. The instances
// may not have been scheduled either, so time bounds do not hold then.
func (s *soak) detectStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, pollInterval)
		now := time.Now()
		if now.Sub(last) > stallLimit {
			s.ledger.disturbances.add(now.Add(recoveryTime))
			s.config.Log("the machine stalled for %s", now.Sub(last).Round(time.Millisecond))
			s.mu.Lock()
			s.stalls++
			s.mu.Unlock()
		}
		last = now
	}
}

// killAll kills every process that this run started.
func (s *soak) killAll() {
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.awaitExit(exitTimeout)
	}
}

func (s *soak) close() {
	for _, p := range s.instances {
		if p.command != nil && p.isRunning() {
			p.signal(syscall.SIGKILL)
			p.awaitExit(exitTimeout)
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

// MakeFolder creates a temporary folder for settings and logs.
func MakeFolder(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("pollencrank-soak-%d-", seed))
}
