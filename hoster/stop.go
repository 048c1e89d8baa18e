package hoster

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// Fractions of the grace time of a planned stop, counted from its begin.
const (
	// serveFraction is the fraction after which new requests are refused. Until then
	// they are accepted, so that callers have time to notice the stop.
	serveFraction = 0.45
	// finishFraction is the fraction after which requests in flight are cut off.
	finishFraction = 0.95
)

// stopPollInterval is the longest sleep between two checks of the clock while a stop
// waits for a deadline.
const stopPollInterval = 20 * time.Millisecond

// stop performs a planned stop. Look-ups no longer name the instance, the ready check
// fails, and every answer closes its connection. New requests are served for a while
// and refused afterwards; requests in flight are finished.
func (h *Hoster) stop(callers server) {
	started := time.Now()
	refuseAt := started.Add(time.Duration(float64(h.bounds.Load().StopGrace) * serveFraction))
	killAt := started.Add(time.Duration(float64(h.bounds.Load().StopGrace) * finishFraction))
	h.isStopping.Store(true)
	h.rationer.Stop()
	h.relayer.Stop()
	h.forwarder.EndWaits()
	h.roster.publish()
	h.replicator.Close()
	h.config.Log.Info("a planned stop begins", recorder.EventStopping.Attr(), slog.Int("inFlight", h.relayer.InFlight()))
	h.deregister(killAt)
	sleepUntil(refuseAt)
	h.relayer.Close()
	ctx, cancel := context.WithDeadline(context.Background(), killAt)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.config.Log.Warn("requests were still in flight at the end of a planned stop", recorder.EventStopped.Attr(),
			slog.Int("inFlight", h.relayer.InFlight()), slog.Any("error", err))
	}
	// Requests that other instances have sent on are not among the callers' connections.
	h.awaitRequests(killAt)
	h.config.Log.Info("the instance has stopped", recorder.EventStopped.Attr(), slog.String("took", time.Since(started).Round(time.Microsecond).String()))
}

// awaitRequests waits until no request is in flight, or until the deadline.
func (h *Hoster) awaitRequests(deadline time.Time) {
	for h.relayer.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
}

func sleepUntil(deadline time.Time) {
	for time.Now().Before(deadline) {
		time.Sleep(min(stopPollInterval, time.Until(deadline)))
	}
}
