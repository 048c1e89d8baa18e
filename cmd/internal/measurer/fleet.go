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

// traffic counts what crosses the connections between entries. Each byte is
// counted once, where it is sent.
type traffic struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// countingConn counts what is written to it.
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

// countingListener counts what is written to accepted connections.
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

// fleet is entries in one process, over real sockets and a shared store.
type fleet struct {
	size    standin.Size
	store   *standin.Store
	traffic traffic

	mu       sync.Mutex
	entries  []*runner.Runner
	seeds    []string
	accepted atomic.Int64
}

// newFleet puts a configuration into a store and starts entries on it.
func newFleet(ctx context.Context, size standin.Size, nodes int) (*fleet, error) {
	f := &fleet{size: size, store: standin.NewStore()}
	c := standin.MakeConfiguration(size)
	// Entries would probe the servers, which do not exist.
	c.Servers = nil
	if err := f.accept(ctx, func(target *pollencrank.Configuration) { *target = *c }); err != nil {
		return nil, err
	}
	// Every start shifts the ring of its failure domain, and both ends of the
	// connections to former neighbours are open files of this process until they
	// are idle for 20 s. Starting in batches keeps them within the limit.
	const freeStart = 320
	const batch, batchPause = 40, 22 * time.Second
	for i := range nodes {
		if i > freeStart && i%batch == 0 {
			sleep(ctx, batchPause)
		}
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f, f.waitAll(ctx)
}

// start starts the entry of a number.
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

// accept accepts a change through the store.
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

// waitAll waits until every entry has the accepted generation.
func (f *fleet) waitAll(ctx context.Context) error {
	const (
		limit = 2 * time.Minute
		check = time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		behind := 0
		for _, e := range f.entries {
			if int64(e.Generation()) < f.accepted.Load() {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entries lag", behind, len(f.entries))
		case <-time.After(check):
		}
	}
}

// waitMembers waits until every entry knows all others and has told all it
// knows.
func (f *fleet) waitMembers(ctx context.Context) error {
	const (
		limit = 3 * time.Minute
		check = 20 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		case <-time.After(check):
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

// usage is what a fleet used during some time.
type usage struct {
	seconds   float64
	bytes     float64
	writes    float64
	processor float64
	store     standin.StoreCounts
}

// observe returns what the fleet uses while f runs.
func (f *fleet) observe(run func() error) (usage, error) {
	started, processor := time.Now(), processorSeconds()
	bytes, writes, store := f.traffic.bytes.Load(), f.traffic.writes.Load(), f.store.Counts()
	err := run()
	after := f.store.Counts()
	return usage{
		seconds:   time.Since(started).Seconds(),
		bytes:     float64(f.traffic.bytes.Load() - bytes),
		writes:    float64(f.traffic.writes.Load() - writes),
		processor: processorSeconds() - processor,
		store: standin.StoreCounts{
			Reads:    after.Reads - store.Reads,
			Writes:   after.Writes - store.Writes,
			Watches:  after.Watches - store.Watches,
			Watching: after.Watching,
		},
	}, err
}

// processorSeconds returns the processor time that this process has used.
func processorSeconds() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	const microsecond = 1e-6
	return float64(r.Utime.Sec+r.Stime.Sec) + microsecond*float64(r.Utime.Usec+r.Stime.Usec)
}
