package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/runner"
)

const operatorToken = "demonstration"

// fleet holds the entries and the stand-ins for the systems around them.
type fleet struct {
	user        user
	seed        uint64
	log         *slog.Logger
	store       *standin.Store
	storeServer *http.Server
	storeURL    string
	ledger      *standin.Ledger
	backends    map[string]*standin.Backend
	config      pollencrank.Configuration

	mu             sync.Mutex
	entries        []*entry
	entriesStarted int
}

// entry is one entry instance with the URL of its operators' interface.
type entry struct {
	*runner.Runner
	operatorURL string
}

// newFleet starts the stand-ins. It starts no entries.
func newFleet(u user, seed uint64, log *slog.Logger) (*fleet, error) {
	f := &fleet{
		user:     u,
		seed:     seed,
		log:      log,
		store:    standin.NewStore(),
		ledger:   standin.NewLedger(),
		backends: map[string]*standin.Backend{},
		config:   u.configuration(),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start store stand-in: %w", err)
	}
	f.storeURL = "http://" + listener.Addr().String()
	f.storeServer = &http.Server{Handler: standin.NewStoreHandler(f.store), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = f.storeServer.Serve(listener) }()
	for _, s := range u.services {
		for i := range s.servers {
			if err := f.startBackend(s, i); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *fleet) startBackend(s service, number int) error {
	name := fmt.Sprintf("%s-%02d", s.name, number+1)
	slots := s.slots[number%len(s.slots)]
	backend, err := standin.StartBackend(standin.BackendConfig{
		Name:        name,
		Slots:       slots,
		ServiceTime: standin.HeavyTailed(s.median, f.seed+uint64(number)),
		AnswerBytes: s.answerBytes,
		Ledger:      f.ledger,
	})
	if err != nil {
		return err
	}
	f.backends[name] = backend
	const maxConnections = 330
	f.config.Servers = append(f.config.Servers, pollencrank.Server{
		Name:           name,
		Workload:       s.name,
		FailureDomain:  domainName(number % (regionCount * domainsPerRegion)),
		Address:        backend.Address(),
		Slots:          slots,
		MaxConnections: maxConnections,
	})
	return nil
}

// startEntry starts an entry in a failure domain.
func (f *fleet) startEntry(domain int) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("start entry: %w", err)
		}
		listeners[i] = listener
	}
	store, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: f.storeURL})
	if err != nil {
		return nil, err
	}
	f.entriesStarted++
	id := fmt.Sprintf("entry-%d", f.entriesStarted)
	r, err := runner.New(runner.Config{
		Instance: pollencrank.Instance{
			ID:            id,
			FailureDomain: domainName(domain),
			Region:        regionName(domain / domainsPerRegion),
		},
		CallerListener:   listeners[0],
		PeerListener:     listeners[1],
		OperatorListener: listeners[2],
		OperatorToken:    operatorToken,
		Store:            store,
		Log:              f.log.With(slog.String("instance", id)),
		Seed:             f.seed + uint64(f.entriesStarted),
	})
	if err != nil {
		return nil, err
	}
	e := &entry{Runner: r, operatorURL: "http://" + listeners[2].Addr().String()}
	f.registerEntry(id, listeners[1].Addr().String())
	f.entries = append(f.entries, e)
	e.Start()
	return e, nil
}

// registerEntry adds an entry to the platform's list of instances.
func (f *fleet) registerEntry(id, peerAddress string) {
	value, _ := json.Marshal(runner.ListedInstance{ID: id, PeerAddress: peerAddress})
	_, _ = f.store.Put(context.Background(), runner.InstancesPrefix+id, value, 0)
}

// remove removes a stopped entry from the fleet.
func (f *fleet) remove(stopped *entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, e := range f.entries {
		if e == stopped {
			f.entries = append(f.entries[:i:i], f.entries[i+1:]...)
			return
		}
	}
}

func (f *fleet) running() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entry(nil), f.entries...)
}

// callerAddresses returns the addresses that callers of a region are configured with:
// those of the region's entries first.
func (f *fleet) callerAddresses(region int) []string {
	var near, far []string
	for _, e := range f.running() {
		address := e.Instance().CallerAddress
		if e.Instance().Region == regionName(region) {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// waitForGeneration waits until every entry is ready and has reached a generation.
func (f *fleet) waitForGeneration(ctx context.Context, generation pollencrank.Generation) error {
	const check = 10 * time.Millisecond
	for {
		behind := 0
		for _, e := range f.running() {
			if e.Generation() < generation || !e.Ready() {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d entries did not reach generation %d: %w", behind, generation, ctx.Err())
		case <-time.After(check):
		}
	}
}

func (f *fleet) close() {
	for _, e := range f.running() {
		e.Kill()
	}
	for _, b := range f.backends {
		b.Close()
	}
	_ = f.storeServer.Close()
}
