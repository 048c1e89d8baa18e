package hoster

import (
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

// instanceTarget is the copy of the instances, which looks at the first list that comes from
// the store itself.
type instanceTarget struct {
	follower.Target[namer.Instance]
	h *Hoster
}

// ApplyChange implements follower.Target.
func (t instanceTarget) ApplyChange(change follower.Change[namer.Instance]) error {
	_, isLoaded := t.Position()
	if err := t.Target.ApplyChange(change); err != nil {
		return err
	}
	others, isEarlier := t.h.readFirstList(change.Items)
	t.h.restart.ObserveList(others, isEarlier && change.IsWhole && !isLoaded)
	t.h.resumeIfRestarted()
	if t.h.asksForRestart() {
		t.h.prober.Wake()
	}
	return nil
}

// readFirstList returns the number of other instances in a list, and whether it names this
// one under an earlier incarnation.
func (h *Hoster) readFirstList(items []follower.Item[namer.Instance]) (others int, isEarlier bool) {
	self := h.config.Self
	for _, item := range items {
		switch {
		case item.Removed:
		case item.Value.ID != self.ID:
			others++
		default:
			isEarlier = !item.IsPending && item.Value.Incarnation < self.Incarnation
		}
	}
	return others, isEarlier
}

// uptime returns for how long this instance has run, suspensions included.
func (h *Hoster) uptime() time.Duration { return time.Since(h.startedAt) + h.timekeeper.Suspended() }

// observeRestart records what another instance says of its start. One of an earlier build
// says nothing: it does not count as started anew.
func (h *Hoster) observeRestart(i namer.Instance, state peerState) {
	uptime, err := time.ParseDuration(state.Uptime)
	if state.Uptime == "" || err != nil {
		return
	}
	if position, isLoaded := h.state.Instances.Position(); isLoaded && state.Positions.Instances.Era() > position.Era() {
		h.restart.RuleOut()
	}
	h.restart.ObserveUptime(i.ID, uptime)
	h.resumeIfRestarted()
}

// hasTenants reports whether the configuration in force names tenants.
func (h *Hoster) hasTenants() bool {
	table := h.table.Load()
	return table != nil && table.HasTenants()
}

// asksForRestart reports whether more instances are asked since when they run: tenants may have
// quotas, and this instance has run before.
func (h *Hoster) asksForRestart() bool { return h.hasTenants() && h.restart.IsPossible() }

// resumeIfRestarted lets this instance hold its parts of quotas if the whole fleet has
// started anew.
func (h *Hoster) resumeIfRestarted() {
	if !h.restart.IsFound(h.uptime()) {
		return
	}
	h.membership.Resume()
	h.config.Log.Info("the whole fleet has started anew, quotas are held at once", recorder.EventStarted.Attr(),
		slog.String("instance", h.config.Self.ID))
}
