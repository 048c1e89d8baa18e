package measurer

import (
	"context"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/runner"
)

// measureRequest measures a request through one entry and through two entries,
// compared with the same request sent directly to the stand-in server. Caller,
// entries and stand-in share the process, so the processor time is that of all.
func measureRequest(ctx context.Context, _ *Measurer) ([]Series, error) {
	const slots = 256
	backend, err := standin.StartBackend(standin.BackendConfig{Name: "server", Slots: slots, AnswerBytes: 1024})
	if err != nil {
		return nil, err
	}
	defer backend.Close()
	owner, other, err := startPair(ctx, backend.Address(), slots)
	if err != nil {
		return nil, err
	}
	defer owner.Kill()
	defer other.Kill()
	direct := Series{Name: "request straight to the server", XLabel: "connections", YLabel: "µs of processor", Design: 64}
	through := Series{Name: "request through the owning entry", XLabel: "connections", YLabel: "µs of processor", Design: 64}
	forwarded := Series{Name: "request forwarded once", XLabel: "connections", YLabel: "µs of processor", Design: 64}
	targets := []struct {
		series  *Series
		address string
	}{
		{&direct, backend.Address()},
		{&through, owner.Instance().CallerAddress},
		{&forwarded, other.Instance().CallerAddress},
	}
	var latencies []Series
	for _, t := range targets {
		p50, p99 := *t.series, *t.series
		p50.Name, p50.YLabel = t.series.Name+", p50", "ms"
		p99.Name, p99.YLabel = t.series.Name+", p99", "ms"
		for _, connections := range []int{1, 8, 64} {
			load, err := sendLoad(ctx, connections, newGet("http://"+t.address+"/lookup/1"))
			if err != nil {
				return nil, err
			}
			t.series.add(connections, load.cpuPerRequest())
			p50.add(connections, load.percentile(0.5))
			p99.add(connections, load.percentile(0.99))
		}
		latencies = append(latencies, p50, p99)
	}
	return append([]Series{direct, through, forwarded}, latencies...), nil
}

// startPair starts two entries of one failure domain and one server. It returns
// the entry that owns the server first.
func startPair(ctx context.Context, server string, slots int) (owner, other *runner.Runner, err error) {
	size := standin.Size{Regions: 1, FailureDomains: 1, Locations: 1, Seed: 1}
	c := standin.MakeConfiguration(size)
	c.Servers = []pollencrank.Server{{
		Name: "server", Workload: c.Workloads[0].Name, FailureDomain: standin.DomainName(0), Address: server, Slots: slots,
	}}
	store := standin.NewStore()
	f := &fleet{size: size, store: store}
	if err := f.accept(ctx, func(target *pollencrank.Configuration) { *target = *c }); err != nil {
		return nil, nil, err
	}
	for i := range 2 {
		if err := f.start(i); err != nil {
			return nil, nil, err
		}
	}
	if err := f.waitReady(ctx); err != nil {
		return nil, nil, err
	}
	if err := f.waitMembers(ctx); err != nil {
		return nil, nil, err
	}
	sleep(ctx, 2*time.Second)
	home := pollencrank.RendezvousHome("server", []string{f.entries[0].Instance().ID, f.entries[1].Instance().ID})
	return f.entries[home], f.entries[1-home], nil
}
