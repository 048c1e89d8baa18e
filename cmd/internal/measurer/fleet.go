package measurer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/runner"
)

// traffic counts the bytes and writes on the connections of entries. Each byte
// is counted once, at its sender.
type traffic struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// countingConn counts the bytes and writes of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countingListener counts the bytes and writes of accepted connections.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.traffic}, nil
}

// fleet runs entries in one process, connected by real sockets and a shared
// stand-in store.
type fleet struct {
	size    standin.Size
	store   *standin.Store
	traffic traffic

	mu       sync.Mutex
	entries  []*runner.Runner
	seeds    []string
	accepted atomic.Int64
}

// newFleet puts a configuration into a store, starts entries that use it, and
// waits until the configuration is in force at every entry.
func newFleet(ctx context.Context, size standin.Size, nodes int) (*fleet, error) {
	f := &fleet{size: size, store: standin.NewStore()}
	c := standin.MakeConfiguration(size)
	// Entries would probe the servers, but none are running.
	c.Servers = nil
	if err := f.accept(ctx, func(target *pollencrank.Configuration) { *target = *c }); err != nil {
		return nil, err
	}
	// Every start changes the neighbours on the ring of its failure domain. Both
	// ends of a connection to a former neighbour stay open in this process until
	// the connection has been idle for 20 s. Starting entries in batches keeps the
	// process within its limit of open files.
	const unpacedEntries = 320
	const batchSize, batchPause = 40, 22 * time.Second
	for i := range nodes {
		if i > unpacedEntries && i%batchSize == 0 {
			sleep(ctx, batchPause)
		}
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f, f.waitInForce(ctx)
}

// start starts the entry with the given number.
func (f *fleet) start(number int) error {
	var listeners [2]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("start entry %d: %w", number, err)
		}
		listeners[i] = &countingListener{listener, &f.traffic}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	domain := number % f.size.FailureDomains
	dialer := &net.Dialer{Timeout: time.Second}
	r, err := runner.New(runner.Config{
		Instance: pollencrank.Instance{
			ID:            fmt.Sprintf("entry-%03d", number),
			FailureDomain: standin.DomainName(domain),
			Region:        standin.RegionName(domain % f.size.Regions),
		},
		CallerListener: listeners[0],
		PeerListener:   listeners[1],
		Store:          f.store,
		Seeds:          f.seeds,
		Seed:           uint64(number),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{conn, &f.traffic}, nil
		},
	})
	if err != nil {
		return err
	}
	r.Start()
	f.entries = append(f.entries, r)
	const seedCount = 30
	if len(f.seeds) < seedCount {
		f.seeds = append(f.seeds, r.Instance().PeerAddress)
	}
	return nil
}

// accept accepts a configuration change and stores it.
func (f *fleet) accept(ctx context.Context, edit func(*pollencrank.Configuration)) error {
	a := acceptor.New(acceptor.Config{Store: f.store})
	accepted, err := a.Accept(ctx, acceptor.Proposal{
		OperationID: fmt.Sprintf("operation-%d", f.accepted.Load()),
		Author:      "measurer",
		WithBlocks:  true,
		Edit: func(c *pollencrank.Configuration) error {
			edit(c)
			return nil
		},
	})
	if err == nil {
		f.accepted.Store(int64(accepted.Generation))
	}
	return err
}

// waitInForce waits until the accepted generation is in force at every entry.
func (f *fleet) waitInForce(ctx context.Context) error {
	const (
		timeout      = 2 * time.Minute
		pollInterval = time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		lagging := 0
		for _, e := range f.entries {
			if int64(e.Generation()) < f.accepted.Load() {
				lagging++
			}
		}
		if lagging == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entries lag", lagging, len(f.entries))
		case <-time.After(pollInterval):
		}
	}
}

// waitMembers waits until every entry lists all members and has no membership
// updates left to send.
func (f *fleet) waitMembers(ctx context.Context) error {
	const (
		timeout      = 3 * time.Minute
		pollInterval = 20 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		incomplete := 0
		for _, e := range f.entries {
			if e.MemberCount() < len(f.entries) || !e.Settled() {
				incomplete++
			}
		}
		if incomplete == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entries do not know all members", incomplete, len(f.entries))
		case <-time.After(pollInterval):
		}
	}
}

func (f *fleet) close() {
	var wait sync.WaitGroup
	for _, e := range f.entries {
		wait.Go(e.Kill)
	}
	wait.Wait()
	runtime.GC()
}

// usage holds the resources that a fleet used during some time.
type usage struct {
	seconds    float64
	bytes      float64
	writes     float64
	cpuSeconds float64
	store      standin.StoreCounts
}

// observe calls run and returns the resources that the fleet uses meanwhile.
func (f *fleet) observe(run func() error) (usage, error) {
	started, cpuBefore := time.Now(), processCPUSeconds()
	bytes, writes, store := f.traffic.bytes.Load(), f.traffic.writes.Load(), f.store.Counts()
	err := run()
	after := f.store.Counts()
	return usage{
		seconds:    time.Since(started).Seconds(),
		bytes:      float64(f.traffic.bytes.Load() - bytes),
		writes:     float64(f.traffic.writes.Load() - writes),
		cpuSeconds: processCPUSeconds() - cpuBefore,
		store: standin.StoreCounts{
			Reads:    after.Reads - store.Reads,
			Writes:   after.Writes - store.Writes,
			Watches:  after.Watches - store.Watches,
			Watching: after.Watching,
		},
	}, err
}

// processCPUSeconds returns the user and system time that this process has used.
func processCPUSeconds() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	const microsecond = 1e-6
	return float64(r.Utime.Sec+r.Stime.Sec) + microsecond*float64(r.Utime.Usec+r.Stime.Usec)
}
