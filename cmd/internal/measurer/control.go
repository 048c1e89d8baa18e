package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
)

const (
	idleTime   = 10 * time.Second
	settleTime = 3 * time.Second
	// changes is the number of configuration changes that are measured for a fleet.
	changes = 12
	// changePause is the time between two changes.
	changePause = 250 * time.Millisecond
)

// controlSize returns the size of the configuration of measured fleets: the
// topology of the design size, but few client blocks, because every entry of a
// fleet keeps its own copy.
func controlSize(domains int) standin.Size {
	size := standin.DesignSize
	size.FailureDomains = domains
	size.Blocks = 200
	size.Locations = 20
	return size
}

// measureFleet measures control traffic and its cost against the number of nodes,
// in 15 failure domains.
func measureFleet(ctx context.Context, m *Measurer) ([]Series, error) {
	return m.measureControl(ctx, "nodes", 650, []int{8, 40, 160, 320, 640}, func(nodes int) (int, int) {
		return nodes, standin.DesignSize.FailureDomains
	})
}

// measureDomains measures control traffic and its cost against the number of
// failure domains, with 12 nodes in each.
func measureDomains(ctx context.Context, m *Measurer) ([]Series, error) {
	const nodesPerDomain = 12
	return m.measureControl(ctx, "failure domains of 12 nodes", 15, []int{2, 4, 8, 15}, func(domains int) (int, int) {
		return domains * nodesPerDomain, domains
	})
}

// measureControl measures the cost of control, idle and during configuration
// changes, for fleets of several sizes.
func (m *Measurer) measureControl(ctx context.Context, label string, design float64, sizes []int, shape func(int) (nodes, domains int)) ([]Series, error) {
	newSeries := func(name, unit string) Series {
		return Series{Name: name + " by " + label, XLabel: label, YLabel: unit, Design: design}
	}
	idleBytes := newSeries("idle bytes sent a node", "B/s")
	idleWrites := newSeries("idle packets sent a node", "packets/s")
	idleCPU := newSeries("idle processor a node", "% of a core")
	storeWatches := newSeries("watches waiting at the store", "watches")
	storeCalls := newSeries("idle store calls", "calls/s")
	changeBytes := newSeries("bytes sent a node and change", "B")
	changeCPU := newSeries("processor a node and change", "ms")
	changeTime := newSeries("slowest time until a change is in force everywhere", "ms")
	changeCalls := newSeries("store calls a change", "calls")
	heap := newSeries("heap a node", "MB")
	for _, size := range sizes {
		nodes, domains := shape(size)
		if nodes > m.config.MaxNodes {
			continue
		}
		r, err := m.measureOneFleet(ctx, nodes, domains)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", nodes, err)
		}
		perNode := float64(nodes)
		idleBytes.add(size, r.idle.bytes/r.idle.seconds/perNode)
		idleWrites.add(size, r.idle.writes/r.idle.seconds/perNode)
		idleCPU.add(size, 100*r.idle.cpuSeconds/r.idle.seconds/perNode)
		storeWatches.add(size, float64(r.idle.store.Watching))
		storeCalls.add(size, float64(r.idle.store.Reads+r.idle.store.Watches+r.idle.store.Writes)/r.idle.seconds)
		idleRate, idleCPURate := r.idle.bytes/r.idle.seconds, r.idle.cpuSeconds/r.idle.seconds
		changeBytes.add(size, max(0, r.changing.bytes-idleRate*r.changing.seconds)/changes/perNode)
		changeCPU.add(size, 1e3*max(0, r.changing.cpuSeconds-idleCPURate*r.changing.seconds)/changes/perNode)
		changeTime.add(size, r.slowest.Seconds()*1e3)
		changeCalls.add(size, float64(r.changing.store.Reads+r.changing.store.Watches+r.changing.store.Writes)/changes)
		heap.add(size, r.heap/bytesPerMegabyte/perNode)
	}
	return []Series{idleBytes, idleWrites, idleCPU, storeWatches, storeCalls,
		changeBytes, changeCPU, changeTime, changeCalls, heap}, nil
}

// controlResult holds the resources that one fleet used.
type controlResult struct {
	idle, changing usage
	slowest        time.Duration
	heap           float64
}

func (m *Measurer) measureOneFleet(ctx context.Context, nodes, domains int) (controlResult, error) {
	var r controlResult
	f, heap, err := measureHeap(func() (*fleet, error) { return newFleet(ctx, controlSize(domains), nodes) })
	if err != nil {
		return r, err
	}
	defer f.close()
	r.heap = heap
	if err := f.waitMembers(ctx); err != nil {
		return r, err
	}
	sleep(ctx, settleTime)
	if r.idle, err = f.observe(func() error { return sleep(ctx, idleTime) }); err != nil {
		return r, err
	}
	r.changing, err = f.observe(func() error {
		for i := range changes {
			took, err := f.change(ctx, i)
			if err != nil {
				return err
			}
			r.slowest = max(r.slowest, took)
			sleep(ctx, changePause)
		}
		return nil
	})
	m.progress("  %d nodes in %d domains: %.0f B/s idle, slowest change %s", nodes, domains,
		r.idle.bytes/r.idle.seconds/float64(nodes), r.slowest.Round(time.Millisecond))
	return r, err
}

// change accepts a typical change and returns the time until the change is in
// force at every entry.
func (f *fleet) change(ctx context.Context, number int) (time.Duration, error) {
	started := time.Now()
	err := f.accept(ctx, func(c *pollencrank.Configuration) {
		c.Presets[number%len(c.Presets)].LookupCache += time.Millisecond
	})
	if err != nil {
		return 0, err
	}
	err = f.waitInForce(ctx)
	return time.Since(started), err
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// outageWindow is the time during an outage in which store calls are counted.
const outageWindow = 10 * time.Second

// measureRecovery counts store calls during and after an outage of the store, and
// when all nodes of a failure domain start at once, against the number of nodes.
// It also measures the slowest change of a burst.
func measureRecovery(ctx context.Context, m *Measurer) ([]Series, error) {
	outage := Series{Name: "store calls during an outage", XLabel: "nodes", YLabel: "calls/s", Design: 650}
	recovery := Series{Name: "store calls in the second after an outage", XLabel: "nodes", YLabel: "calls", Design: 650}
	starts := Series{Name: "store calls when a whole domain starts", XLabel: "nodes in the domain", YLabel: "calls", Design: 43}
	burst := Series{Name: "slowest of 50 changes in a burst", XLabel: "nodes", YLabel: "ms", Design: 650}
	for _, nodes := range []int{15, 45, 150, 300} {
		if nodes > m.config.MaxNodes {
			continue
		}
		f, err := newFleet(ctx, controlSize(standin.DesignSize.FailureDomains), nodes)
		if err != nil {
			return nil, err
		}
		during, after, err := f.measureOutage(ctx)
		if err != nil {
			return nil, err
		}
		outage.add(nodes, during)
		recovery.add(nodes, after)
		slowest, err := f.measureBurst(ctx)
		if err != nil {
			return nil, err
		}
		burst.add(nodes, slowest)
		f.close()
	}
	for _, nodes := range []int{5, 15, 43} {
		calls, err := measureDomainStart(ctx, nodes)
		if err != nil {
			return nil, err
		}
		starts.add(nodes, calls)
	}
	return []Series{outage, recovery, starts, burst}, nil
}

func totalCalls(c standin.StoreCounts) float64 { return float64(c.Reads + c.Writes + c.Watches) }

// measureOutage makes the store unavailable for a while. It returns the store
// calls per second during the outage and the calls in the second after it.
func (f *fleet) measureOutage(ctx context.Context) (during, after float64, err error) {
	if err := f.waitMembers(ctx); err != nil {
		return 0, 0, err
	}
	f.store.SetDown(true)
	sleep(ctx, time.Second)
	used, err := f.observe(func() error { return sleep(ctx, outageWindow) })
	if err != nil {
		return 0, 0, err
	}
	f.store.SetDown(false)
	recovered, err := f.observe(func() error { return sleep(ctx, time.Second) })
	return totalCalls(used.store) / used.seconds, totalCalls(recovered.store), err
}

// measureBurst accepts 50 changes one after the other without a pause. It returns
// the longest time until a change was in force at every entry, in milliseconds.
func (f *fleet) measureBurst(ctx context.Context) (float64, error) {
	const burstChanges = 50
	slowest := 0.0
	for i := range burstChanges {
		started := time.Now()
		if _, err := f.change(ctx, i); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(started).Seconds()*1e3)
	}
	return slowest, nil
}

// measureDomainStart starts all nodes of a failure domain at once while two others
// run, and returns the store calls until the configuration is in force at every
// entry.
func measureDomainStart(ctx context.Context, nodes int) (float64, error) {
	size := controlSize(2)
	const running = 2
	f, err := newFleet(ctx, size, running)
	if err != nil {
		return 0, err
	}
	defer f.close()
	sleep(ctx, settleTime)
	used, err := f.observe(func() error {
		for i := range nodes {
			// Odd numbers are in the second domain.
			if err := f.start(2*i + 3); err != nil {
				return err
			}
		}
		return f.waitInForce(ctx)
	})
	return totalCalls(used.store), err
}
