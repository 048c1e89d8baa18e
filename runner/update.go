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

// view is the state that request handling reads. It is replaced as a whole and
// never modified.
type view struct {
	callers       *receiver.View
	configuration *pollencrank.Configuration
	// owners maps a server's name to its owner's ID.
	owners map[string]string
}

// compiled is a configuration state, decoded and indexed, with the data derived
// from it and from the membership.
type compiled struct {
	state         *versioner.State
	configuration *pollencrank.Configuration
	index         *steerer.Index
	// membersDigest, owners and drainCount are the inputs that the table was built
	// from. The table is rebuilt if one of them differs.
	membersDigest uint64
	owners        map[string]string
	table         *steerer.Table
	drainCount    int
	// ownedNames describes the servers that this instance owns.
	ownedNames string
}

func (r *Runner) callerView() *receiver.View {
	if v := r.view.Load(); v != nil {
		return v.callers
	}
	return nil
}

// requestUpdate makes the update loop run again. Requests that arrive before it
// does are merged into one.
func (r *Runner) requestUpdate() {
	select {
	case r.updateRequested <- struct{}{}:
	default:
	}
}

func (r *Runner) stateChanged(*versioner.State) { r.requestUpdate() }

// updateLoop updates the view after changes of configuration and membership, and
// at the times that update returns.
func (r *Runner) updateLoop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.updateRequested:
		case <-timer.C:
		}
		const idleUpdateInterval = time.Minute
		next := time.Now().Add(idleUpdateInterval)
		if at := r.update(ctx, time.Now()); !at.IsZero() && at.Before(next) {
			next = at
		}
		timer.Reset(time.Until(next))
	}
}

// update computes and publishes the view. It returns the time of the next update
// if no event causes an earlier one, or the zero time for none.
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
		Members:       markDrainingAsLeaving(c.configuration, roster.Members, now),
	}, now)
	r.assignServers(result)
	drainCount := countStartedDrains(c.configuration, now)
	if c.table == nil || c.membersDigest != roster.Digest || c.drainCount != drainCount || !maps.Equal(c.owners, result.Owners) {
		r.buildTable(roster, result.Owners, now)
		c.membersDigest, c.drainCount, c.owners = roster.Digest, drainCount, result.Owners
	}
	r.publish(result)
	r.acquire(ctx, result.Acquisitions)
	return earliest(result.NextUpdate, nextDrainStart(c.configuration, now))
}

// compile decodes and indexes a new state. The new index reuses the parts of the
// previous one that have not changed.
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

// assignServers gives the executor the servers that this instance owns.
func (r *Runner) assignServers(result allocator.Result) {
	r.executor.Assign(executor.Assignment{
		Workloads: r.compiled.configuration.Workloads,
		Preset:    r.compiled.configuration.Preset(),
		Servers:   result.Owned,
	})
	ownedNames := allocator.ServerNames(result.Owned)
	if ownedNames != r.compiled.ownedNames {
		r.compiled.ownedNames = ownedNames
		r.config.Log.Info("ownership changed", recorder.EventOwnershipChanged.Attr(), slog.String("servers", ownedNames))
	}
}

// markDrainingAsLeaving returns the members with those being drained marked as
// leaving, so that they own no servers and look-ups do not return them.
func markDrainingAsLeaving(c *pollencrank.Configuration, members []pollencrank.Instance, now time.Time) []pollencrank.Instance {
	if countStartedDrains(c, now) == 0 {
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

func countStartedDrains(c *pollencrank.Configuration, now time.Time) int {
	count := 0
	for _, d := range c.Drains {
		if d.HasStarted(now) {
			count++
		}
	}
	return count
}

// nextDrainStart returns the start of the next scheduled drain, or the zero time.
func nextDrainStart(c *pollencrank.Configuration, now time.Time) time.Time {
	var next time.Time
	for _, d := range c.Drains {
		if d.Start.After(now) {
			next = earliest(next, d.Start)
		}
	}
	return next
}

// earliest returns the earlier of two times. The zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// buildTable builds the look-up table and updates the balancer's owners.
func (r *Runner) buildTable(roster *gossiper.Roster, owners map[string]string, now time.Time) {
	c := &r.compiled
	advertised := advertisedOwners(c.configuration, roster, owners, now)
	r.balancer.SetOwners(regionalOwners(advertised, r.config.Instance.Region))
	c.table = steerer.Build(steerer.Input{
		Configuration: c.configuration,
		Index:         c.index,
		Owners:        advertised,
		HomeRegion:    r.config.Instance.Region,
	})
}

// advertisedOwners returns the owners of servers that are not drained, with their
// slots by workload and site. An instance to which a server was just released may
// not be in the roster yet. It is advertised once it is.
func advertisedOwners(c *pollencrank.Configuration, roster *gossiper.Roster, owners map[string]string, now time.Time) []steerer.Owner {
	type ownerKey struct{ instance, workload, site string }
	slots := map[ownerKey]int{}
	for _, s := range c.Servers {
		if owners[s.Name] != "" && !c.IsDraining(s, now) {
			slots[ownerKey{owners[s.Name], s.Workload, s.SiteName()}] += s.Slots
		}
	}
	var advertised []steerer.Owner
	for key, n := range slots {
		if instance, known := roster.Find(key.instance); known {
			advertised = append(advertised, steerer.Owner{Instance: instance, Workload: key.workload, Site: key.site, Slots: n})
		}
	}
	return advertised
}

// regionalOwners returns the owners in a region, with their slots by workload.
func regionalOwners(advertised []steerer.Owner, region string) []balancer.Owner {
	type ownerKey struct{ instance, workload string }
	indexOf := map[ownerKey]int{}
	var regional []balancer.Owner
	for _, o := range advertised {
		if o.Instance.Region != region {
			continue
		}
		key := ownerKey{o.Instance.ID, o.Workload}
		i, ok := indexOf[key]
		if !ok {
			i = len(regional)
			indexOf[key] = i
			regional = append(regional, balancer.Owner{Instance: o.Instance, Workload: o.Workload})
		}
		regional[i].Slots += o.Slots
	}
	return regional
}

// publish replaces the view that request handling reads.
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
