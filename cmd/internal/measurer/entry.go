package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/receiver"
)

// measureEntry measures the heap of one entry with the full state and 650
// members, against client blocks.
func measureEntry(ctx context.Context, m *Measurer) ([]Series, error) {
	heap := Series{Name: "heap of an entry with its full state", XLabel: "client blocks", YLabel: "MB", Design: 370_000}
	for _, blocks := range designBlocks {
		size := standin.DesignSize
		size.Blocks = blocks
		f := &fleet{size: size, store: standin.NewStore()}
		c := standin.MakeConfiguration(size)
		c.Servers = nil
		if err := f.accept(ctx, func(target *pollencrank.Configuration) { *target = *c }); err != nil {
			return nil, err
		}
		c = nil
		_, bytes, err := measureHeap(func() (*fleet, error) {
			if err := f.start(0); err != nil {
				return nil, err
			}
			return f, f.waitReady(ctx)
		})
		if err != nil {
			return nil, err
		}
		heap.add(blocks, bytes/bytesPerMegabyte)
		f.close()
	}
	return []Series{heap}, nil
}

// waitReady waits until every entry is ready to serve callers.
func (f *fleet) waitReady(ctx context.Context) error {
	const timeout, pollInterval = 30 * time.Second, time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, e := range f.entries {
		for !e.Ready() {
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("entry %s is not ready: %w", e.Instance().ID, err)
			}
		}
	}
	return nil
}

// measureStart measures the time from starting an entry to its first answer to a
// look-up, against client blocks. The entry gets its configuration from a peer,
// because the store is unavailable.
func measureStart(ctx context.Context, _ *Measurer) ([]Series, error) {
	s := Series{Name: "start to first correct look-up, from a peer", XLabel: "client blocks", YLabel: "ms", Design: 370_000}
	for _, blocks := range designBlocks {
		size := standin.DesignSize
		size.Blocks = blocks
		size.Regions, size.FailureDomains = 1, 1
		f, err := newFleet(ctx, size, 1)
		if err != nil {
			return nil, err
		}
		if err := f.waitReady(ctx); err != nil {
			return nil, err
		}
		f.store.SetDown(true)
		started := time.Now()
		if err := f.start(1); err != nil {
			return nil, err
		}
		if err := f.waitLookup(ctx); err != nil {
			return nil, err
		}
		s.add(blocks, time.Since(started).Seconds()*1e3)
		f.close()
	}
	return []Series{s}, nil
}

// waitLookup sends look-ups to the newest entry until one is answered.
func (f *fleet) waitLookup(ctx context.Context) error {
	const timeout, pollInterval = 30 * time.Second, time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := f.entries[len(f.entries)-1].Instance().CallerAddress
	for {
		response, err := http.Get("http://" + address + receiver.LookupPath + "?workload=lookup")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("no answer to a look-up: %w", err)
		}
	}
}

// loadDuration is how long requests are sent for each point.
const loadDuration = 3 * time.Second

// loadResult holds the results of a load of requests.
type loadResult struct {
	latencies  []time.Duration
	cpuSeconds float64
}

// cpuPerRequest returns the processor time of the whole process,
// divided by the number of requests, in microseconds.
func (r loadResult) cpuPerRequest() float64 { return 1e6 * r.cpuSeconds / float64(len(r.latencies)) }

// percentile returns the latency at the given share of requests, in milliseconds.
func (r loadResult) percentile(share float64) float64 {
	slices.Sort(r.latencies)
	return 1e3 * r.latencies[int(share*float64(len(r.latencies)-1))].Seconds()
}

// sendLoad sends requests over several connections for loadDuration, each
// connection one request at a time.
func sendLoad(ctx context.Context, connections int, send func(client *http.Client) error) (loadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	results := make([][]time.Duration, connections)
	var failure atomic.Pointer[error]
	var wait sync.WaitGroup
	before := processCPUSeconds()
	for i := range connections {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				started := time.Now()
				if err := send(client); err != nil {
					failure.Store(&err)
					return
				}
				results[i] = append(results[i], time.Since(started))
			}
		})
	}
	wait.Wait()
	result := loadResult{latencies: slices.Concat(results...), cpuSeconds: processCPUSeconds() - before}
	if err := failure.Load(); err != nil {
		return result, *err
	}
	return result, nil
}

func newGet(url string) func(*http.Client) error {
	return func(client *http.Client) error {
		response, err := client.Get(url)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", response.Status)
		}
		buffer := make([]byte, 4096)
		for {
			if _, err := response.Body.Read(buffer); err != nil {
				return nil
			}
		}
	}
}

// measureLookup measures whole look-ups over HTTP, compared with a plain net/http
// server that answers with 256 bytes. Caller and server share the process, so the
// processor time is that of both.
func measureLookup(ctx context.Context, _ *Measurer) ([]Series, error) {
	entry := Series{Name: "look-up over HTTP, caller and entry", XLabel: "connections", YLabel: "µs of processor", Design: 64}
	bare := Series{Name: "bare HTTP answer, caller and server", XLabel: "connections", YLabel: "µs of processor", Design: 64}
	size := standin.DesignSize
	size.Regions, size.FailureDomains = 1, 1
	f, err := newFleet(ctx, size, 1)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.waitReady(ctx); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	body := make([]byte, 256)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	urls := map[*Series]string{
		&entry: "http://" + f.entries[0].Instance().CallerAddress + receiver.LookupPath + "?workload=lookup",
		&bare:  "http://" + listener.Addr().String() + "/",
	}
	for _, connections := range []int{1, 8, 64} {
		for s, url := range urls {
			load, err := sendLoad(ctx, connections, newGet(url))
			if err != nil {
				return nil, err
			}
			s.add(connections, load.cpuPerRequest())
		}
	}
	return []Series{entry, bare}, nil
}
