package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// InstancesPrefix is the prefix of the store's objects that list the instances.
// The platform maintains the list, and it lags behind the running instances.
const InstancesPrefix = "platform/instances/"

// ListedInstance is the JSON content of one object in the platform's list.
type ListedInstance struct {
	ID          string `json:"id"`
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving"`
}

// seeds returns the peer addresses to join through, both configured and listed by
// the platform. Without the list, it returns the configured ones.
func (r *Runner) seeds(ctx context.Context) []string {
	const listTimeout = 2 * time.Second
	seeds := slices.Clone(r.config.Seeds)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, err := r.config.Store.List(ctx, InstancesPrefix)
	if err != nil {
		return seeds
	}
	for _, object := range objects {
		var listed ListedInstance
		if json.Unmarshal(object.Value, &listed) == nil && listed.PeerAddress != "" {
			seeds = append(seeds, listed.PeerAddress)
		}
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// bootstrap pulls the first configuration from peers and then runs the
// distributor, which follows changes.
func (r *Runner) bootstrap(ctx context.Context) error {
	r.pullFromPeers(ctx)
	return r.distributor.Run(ctx)
}

// bootstrapPeers is the number of peers that a starting instance queries for the
// configuration.
const bootstrapPeers = 3

// pullFromPeers pulls the configuration from a few random peers. An answer with a
// newer generation replaces an earlier answer.
func (r *Runner) pullFromPeers(ctx context.Context) {
	const joinDelay = 50 * time.Millisecond
	sleep(ctx, joinDelay)
	self := r.gossip.Self()
	peers := r.gossip.Roster().Group(self)
	random := rand.New(rand.NewPCG(r.config.Seed, self.Incarnation))
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(bootstrapPeers, len(peers))] {
		_ = r.distributor.Pull(ctx, peer.PeerAddress)
	}
}

// observeGeneration receives the generation of each instance that answers, and
// pulls the configuration if this instance is behind.
func (r *Runner) observeGeneration(from pollencrank.Instance, generation pollencrank.Generation) {
	r.distributor.PullIfBehind(context.Background(), from, generation)
}

// recordLoad passes the load that another instance reports to the balancer.
func (r *Runner) recordLoad(from string, load *peerpb.Load) {
	r.balancer.Report(from, load, time.Now())
}

// load returns the load of the servers that this instance owns.
func (r *Runner) load() *peerpb.Load {
	load := &peerpb.Load{}
	for workload, l := range r.executor.Loads() {
		if l.Slots == 0 && l.Busy == 0 {
			continue
		}
		load.Workloads = append(load.Workloads, &peerpb.WorkloadLoad{
			Workload: workload,
			Slots:    uint32(l.Slots),
			Busy:     uint32(l.Busy),
			Waiting:  uint32(l.Waiting),
		})
	}
	return load
}

// regionMembers returns the members of this instance's region.
func (r *Runner) regionMembers() []pollencrank.Instance {
	return r.gossip.Roster().Select(func(m pollencrank.Instance) bool {
		return m.Region == r.config.Instance.Region
	})
}

func (r *Runner) keyRetention(workload string) time.Duration {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	for _, w := range v.configuration.Workloads {
		if w.Name == workload {
			return w.KeyRetention
		}
	}
	return 0
}

// fleet implements distributor.Fleet, the distributor's view of the other
// instances.
type fleet struct{ r *Runner }

// Self implements distributor.Fleet.
func (f fleet) Self() pollencrank.Instance { return f.r.gossip.Self() }

// IsRelay implements distributor.Fleet.
func (f fleet) IsRelay() bool { return f.r.gossip.Roster().IsRelay(f.r.gossip.Self()) }

// Neighbours implements distributor.Fleet.
func (f fleet) Neighbours() []pollencrank.Instance {
	domain := f.r.config.Instance.FailureDomain
	return f.r.gossip.Roster().Select(func(m pollencrank.Instance) bool {
		return m.FailureDomain == domain && m.State.CanAnswer()
	})
}

// writeLoads writes the load of each workload whose servers this instance owns.
func (r *Runner) writeLoads(w io.Writer) {
	for workload, load := range r.executor.Loads() {
		for name, value := range map[string]int{"slots": load.Slots, "busy": load.Busy, "waiting": load.Waiting} {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("pollencrank_workload_%s{workload=%q}", name, workload), uint64(value))
		}
	}
}

// registerMetrics registers the gauges that are computed on every scrape.
func (r *Runner) registerMetrics() {
	r.metrics.RegisterMetricsWriter(r.writeLoads)
	r.metrics.NewGauge("pollencrank_configuration_generation", func() float64 { return float64(r.Generation()) })
	r.metrics.NewGauge("pollencrank_members", func() float64 { return float64(len(r.gossip.Roster().Members)) })
	r.metrics.NewGauge("pollencrank_claims", func() float64 { return float64(r.deduplicator.Len()) })
	r.metrics.NewGauge("pollencrank_requests_active", func() float64 { return float64(r.receiver.Active()) })
	r.metrics.NewGauge("pollencrank_store_down", func() float64 {
		if r.distributor.StoreDown() {
			return 1
		}
		return 0
	})
}
