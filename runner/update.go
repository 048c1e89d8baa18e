package runner

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/balancer"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/gossiper"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/steerer"
	"github.com/pollencrank/pollencrank/versioner"
)

// view is everything that requests read. It is replaced as a whole.
type view struct {
	callers       *receiver.View
	configuration *pollencrank.Configuration
	owners        map[string]string
}

// compiled is a configuration state in the form that decisions use.
type compiled struct {
	state         *versioner.State
	configuration *pollencrank.Configuration
	index         *steerer.Index
	// members is the digest of the members that the table was built from, and
	// owners are the owners.
	members uint64
	owners  map[string]string
	table   *steerer.Table
	drained int
	owned   string
}

func (r *Runner) callerView() *receiver.View {
	if v := r.view.Load(); v != nil {
		return v.callers
	}
	return nil
}

// changeSoon has the update loop run again.
func (r *Runner) changeSoon() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Runner) stateChanged(*versioner.State) { r.changeSoon() }

// updateLoop brings the view in line with configuration and membership.
func (r *Runner) updateLoop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		case <-timer.C:
		}
		const idleUpdate = time.Minute
		next := time.Now().Add(idleUpdate)
		if at := r.update(ctx, time.Now()); !at.IsZero() && at.Before(next) {
			next = at
		}
		timer.Reset(time.Until(next))
	}
}

// update computes and publishes the view. It returns when to update again
// without any event, or the zero time.
func (r *Runner) update(ctx context.Context, now time.Time) time.Time {
	state := r.distributor.State()
	if state == nil {
		return time.Time{}
	}
	if err := r.compile(state); err != nil {
		r.config.Log.Error("configuration invalid", recorder.EventConfigurationInvalid.Attr(), slog.String("error", err.Error()))
		return time.Time{}
	}
	roster := r.gossip.Roster()
	c := &r.compiled
	result := r.allocator.Update(allocator.Input{
		Configuration: c.configuration,
		Members:       withoutDraining(c.configuration, roster.Members, now),
	}, now)
	r.assign(result)
	drained := startedDrains(c.configuration, now)
	if c.table == nil || c.members != roster.Digest || c.drained != drained || !maps.Equal(c.owners, result.Owners) {
		r.steer(roster, result.Owners, now)
		c.members, c.drained, c.owners = roster.Digest, drained, result.Owners
	}
	r.publish(result)
	r.acquire(ctx, result.Acquisitions)
	return earliest(result.NextUpdate, nextDrain(c.configuration, now))
}

// compile decodes a new state. It keeps what has not changed.
func (r *Runner) compile(state *versioner.State) error {
	c := &r.compiled
	if c.state == state {
		return nil
	}
	configuration, err := state.Decode()
	if err != nil {
		return err
	}
	index, err := steerer.BuildIndex(c.index, state)
	if err != nil {
		return err
	}
	c.state, c.configuration, c.index, c.table = state, configuration, index, nil
	return nil
}

func (r *Runner) assign(result allocator.Result) {
	r.executor.Assign(executor.Assignment{
		Workloads: r.compiled.configuration.Workloads,
		Preset:    r.compiled.configuration.Preset(),
		Servers:   result.Owned,
	})
	owned := allocator.ServerNames(result.Owned)
	if owned != r.compiled.owned {
		r.compiled.owned = owned
		r.config.Log.Info("ownership changed", recorder.EventOwnershipChanged.Attr(), slog.String("servers", owned))
	}
}

// withoutDraining returns members of whom those being drained count as leaving,
// so that they own nothing and are not named to callers.
func withoutDraining(c *pollencrank.Configuration, members []pollencrank.Instance, now time.Time) []pollencrank.Instance {
	if startedDrains(c, now) == 0 {
		return members
	}
	members = slices.Clone(members)
	for i, m := range members {
		if m.State.CanOwn() && c.IsInstanceDraining(m, now) {
			members[i].State = pollencrank.InstanceLeaving
		}
	}
	return members
}

func startedDrains(c *pollencrank.Configuration, now time.Time) int {
	drained := 0
	for _, d := range c.Drains {
		if d.HasStarted(now) {
			drained++
		}
	}
	return drained
}

func nextDrain(c *pollencrank.Configuration, now time.Time) time.Time {
	var next time.Time
	for _, d := range c.Drains {
		if d.Start.After(now) {
			next = earliest(next, d.Start)
		}
	}
	return next
}

// earliest returns the earlier of two moments; zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// steer computes the look-up table and the entries to pass requests to.
func (r *Runner) steer(roster *gossiper.Roster, owners map[string]string, now time.Time) {
	c := &r.compiled
	named := namedOwners(c.configuration, roster, owners, now)
	r.balancer.SetOwners(regionalOwners(named, r.config.Instance.Region))
	c.table = steerer.Build(steerer.Input{
		Configuration: c.configuration,
		Index:         c.index,
		Owners:        named,
		HomeRegion:    r.config.Instance.Region,
	})
}

// namedOwners returns the owners of servers that are not drained, with their
// slots by workload and site. An instance that a server was just let go to may
// not be known here yet; it is named when it is.
func namedOwners(c *pollencrank.Configuration, roster *gossiper.Roster, owners map[string]string, now time.Time) []steerer.Owner {
	type ownerKey struct{ instance, workload, site string }
	slots := map[ownerKey]int{}
	for _, s := range c.Servers {
		if owners[s.Name] != "" && !c.IsDraining(s, now) {
			slots[ownerKey{owners[s.Name], s.Workload, s.SiteName()}] += s.Slots
		}
	}
	var named []steerer.Owner
	for key, n := range slots {
		if instance, known := roster.Find(key.instance); known {
			named = append(named, steerer.Owner{Instance: instance, Workload: key.workload, Site: key.site, Slots: n})
		}
	}
	return named
}

// regionalOwners returns the owners in a region, with their slots by workload.
func regionalOwners(named []steerer.Owner, region string) []balancer.Owner {
	type ownerKey struct{ instance, workload string }
	at := map[ownerKey]int{}
	var regional []balancer.Owner
	for _, o := range named {
		if o.Instance.Region != region {
			continue
		}
		key := ownerKey{o.Instance.ID, o.Workload}
		i, ok := at[key]
		if !ok {
			i = len(regional)
			at[key] = i
			regional = append(regional, balancer.Owner{Instance: o.Instance, Workload: o.Workload})
		}
		regional[i].Slots += o.Slots
	}
	return regional
}

func (r *Runner) publish(result allocator.Result) {
	c := &r.compiled
	first := r.view.Load() == nil
	r.view.Store(&view{
		callers:       receiver.NewView(c.state.Generation, c.configuration, c.table, r.config.Instance.Region),
		configuration: c.configuration,
		owners:        result.Owners,
	})
	if first {
		r.config.Log.Info("instance ready", recorder.EventReady.Attr(), slog.Uint64("generation", uint64(c.state.Generation)))
	}
}
