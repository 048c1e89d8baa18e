package hoster

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/remover"
)

// deregisterInterval is the time between two looks at the instance's own entry during a
// planned stop.
const deregisterInterval = 300 * time.Millisecond

// newRemover returns the remover of the entries of dead instances.
func (h *Hoster) newRemover() *remover.Remover {
	return remover.New(remover.Config{
		Registry:           h.config.Registry,
		Dead:               h.deaths,
		Position:           h.roster.positionOf,
		IsAlive:            h.isAlive,
		IsStoreUnavailable: h.replicator.IsStoreUnavailable,
		Log:                h.config.Log,
	})
}

// deaths returns the instances that count as dead. The instance before a dead one in the
// ring removes its entry first.
func (h *Hoster) deaths() []remover.Death {
	var deaths []remover.Death
	for _, d := range h.prober.Dead() {
		deaths = append(deaths, remover.Death{Instance: d.Instance, Turn: d.Rank})
	}
	return deaths
}

// deregister removes the instance's entry from the store in the background, until the
// deadline: again after an error, and again if a write that was under way when the stop
// began lists the instance once more.
func (h *Hoster) deregister(deadline time.Time) {
	stopped := h.tomb.Context(context.Background())
	h.tomb.Go(func() error {
		ctx, cancel := context.WithDeadline(stopped, deadline)
		defer cancel()
		ticker := time.NewTicker(deregisterInterval)
		defer ticker.Stop()
		var own deregistration
		for {
			h.deregisterOnce(ctx, &own)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// deregistration is what has been done to remove the instance's entry.
type deregistration struct {
	// wasListed says that the entry has been seen, and isRemoved that it was removed,
	// last at the position removedAt.
	wasListed, isRemoved bool
	removedAt            follower.Position
}

// deregisterOnce removes the instance's entry if it may be in the store. An entry that was
// never seen is removed at any position: the watches may not show it yet. The entry of a
// later start of the instance is kept.
func (h *Hoster) deregisterOnce(ctx context.Context, own *deregistration) {
	position, state := h.roster.ownEntry()
	switch {
	case state == entryOfLaterStart:
		return
	case state == entryAbsent && (own.wasListed || own.isRemoved):
		return
	case state == entryListed && own.isRemoved && position <= own.removedAt:
		return
	}
	own.wasListed = own.wasListed || state == entryListed
	err := h.config.Registry.Remove(ctx, h.config.Self.ID, position)
	if err != nil {
		h.config.Log.Warn("the instance's entry could not be removed from the store", recorder.EventRegistrationFailed.Attr(),
			slog.String("position", position.String()), slog.Any("error", err))
		return
	}
	own.isRemoved = true
	own.removedAt = max(own.removedAt, position)
}
