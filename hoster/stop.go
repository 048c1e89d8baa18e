package hoster

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// Parts of the time that a planned stop has.
const (
	// servePart is the part in which requests are still taken, so that callers
	// have time to learn of the stop.
	servePart = 0.45
	// finishPart is the part by which every request has its answer.
	finishPart = 0.95
)

// stopPoll is how often a stop looks whether the last request has ended.
const stopPoll = 20 * time.Millisecond

// stop performs a planned stop: look-ups and the ready check turn callers away,
// every answer closes its connection, what still comes is served for a while,
// then refused, and what was begun is finished.
func (h *Hoster) stop(callers server) {
	started := time.Now()
	refuseAt := started.Add(time.Duration(float64(h.bounds.Load().StopGrace) * servePart))
	killAt := started.Add(time.Duration(float64(h.bounds.Load().StopGrace) * finishPart))
	h.isStopping.Store(true)
	h.relayer.Stop()
	h.roster.publish()
	h.replicator.Close()
	h.config.Log.Info("a planned stop begins", recorder.EventStopping.Attr(), slog.Int("inFlight", h.relayer.InFlight()))
	h.leave(killAt)
	sleepUntil(refuseAt)
	h.relayer.Close()
	ctx, cancel := context.WithDeadline(context.Background(), killAt)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.config.Log.Warn("requests were left at the end of a planned stop", recorder.EventStopped.Attr(),
			slog.Int("inFlight", h.relayer.InFlight()), slog.Any("error", err))
	}
	h.config.Log.Info("the instance has stopped", recorder.EventStopped.Attr(), slog.String("took", time.Since(started).Round(time.Microsecond).String()))
}

// leave removes the instance's entry in the background.
func (h *Hoster) leave(deadline time.Time) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if err := h.config.Registry.Remove(ctx, h.config.Self.ID, 0); err != nil {
			h.config.Log.Warn("the instance's entry was not removed", recorder.EventRegistrationFailed.Attr(), slog.Any("error", err))
		}
	}()
}

func sleepUntil(deadline time.Time) {
	for time.Now().Before(deadline) {
		time.Sleep(min(stopPoll, time.Until(deadline)))
	}
}
