package replicator

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

// stream is the stream of updates from one relay. The Replicator's lock guards it.
type stream struct {
	instance    namer.Instance
	cancel      context.CancelFunc
	openedAt    time.Time
	hasReceived bool
	// confirmedAt is when the relay last had evidence that the store answers,
	// according to its latest message.
	confirmedAt time.Time
}

// isConfirmed reports whether the relay sends messages and has recent evidence that
// the store answers.
func (s *stream) isConfirmed(now time.Time) bool {
	return s.hasReceived && now.Sub(s.confirmedAt) < staleAfter
}

// isStale reports whether the relay has been silent, or without evidence that the
// store answers, for staleAfter.
func (s *stream) isStale(now time.Time) bool {
	if !s.hasReceived {
		return now.Sub(s.openedAt) >= staleAfter
	}
	return !s.isConfirmed(now)
}

// startStream starts to follow a relay. The lock is held.
func (r *Replicator) startStream(ctx context.Context, instance namer.Instance, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{instance: instance, cancel: cancel, openedAt: now}
	r.streams[instance.ID] = s
	r.background.Go(func() {
		defer cancel()
		err := r.config.Peers.Follow(ctx, instance.PeerAddress, r.config.State.Cursor(), func(update Update) error {
			return r.receive(s, update)
		})
		r.streamEnded(s, err)
	})
}

// receive handles a message of a relay.
func (r *Replicator) receive(s *stream, update Update) error {
	now := time.Now()
	r.mu.Lock()
	wasConfirmed := s.isConfirmed(now)
	s.hasReceived = true
	s.confirmedAt = update.ConfirmedAt
	isConfirmed := s.isConfirmed(now)
	r.mu.Unlock()
	if wasConfirmed != isConfirmed {
		r.Wake()
	}
	if update.IsEmpty() {
		return nil
	}
	return r.config.State.Apply(update)
}

// streamEnded handles the end of a stream. Unless this instance ended the stream
// itself, it avoids the relay for avoidDuration.
func (r *Replicator) streamEnded(s *stream, err error) {
	r.mu.Lock()
	isCurrent := r.streams[s.instance.ID] == s
	if isCurrent {
		delete(r.streams, s.instance.ID)
		r.avoided[s.instance.ID] = time.Now().Add(avoidDuration)
	}
	r.mu.Unlock()
	if !isCurrent {
		return
	}
	r.config.Log.Info("the stream from a relay ended", recorder.EventRelayLost.Attr(),
		slog.String("instance", s.instance.ID), slog.Any("error", err))
	r.Wake()
}

// endStaleStreams ends the streams of stale relays and avoids these relays for
// avoidDuration. The lock is held.
func (r *Replicator) endStaleStreams(now time.Time) {
	for id, s := range r.streams {
		if !s.isStale(now) {
			continue
		}
		r.endStream(id)
		r.avoided[id] = now.Add(avoidDuration)
		r.config.Log.Info("a relay is silent or has no contact with the store", recorder.EventRelayLost.Attr(),
			slog.String("instance", id), slog.Bool("hasAnswered", s.hasReceived))
	}
}

// endUnneededStreams ends all streams but that of the chosen relay. The streams of
// other preferred relays are kept until the chosen relay is confirmed. It also
// removes expired entries of avoided. The lock is held.
func (r *Replicator) endUnneededStreams(preferred []namer.Instance, relay *namer.Instance, now time.Time) {
	isRelayConfirmed := relay != nil && r.streams[relay.ID] != nil && r.streams[relay.ID].isConfirmed(now)
	for id, s := range r.streams {
		if relay != nil && id == relay.ID && s.instance.Incarnation == relay.Incarnation {
			continue
		}
		isPreferred := false
		for _, i := range preferred {
			isPreferred = isPreferred || (i.ID == id && i.Incarnation == s.instance.Incarnation)
		}
		if isRelayConfirmed || !isPreferred {
			r.endStream(id)
		}
	}
	for id, until := range r.avoided {
		if !now.Before(until) {
			delete(r.avoided, id)
		}
	}
}

// endStream cancels and removes a stream. The lock is held.
func (r *Replicator) endStream(id string) {
	r.streams[id].cancel()
	delete(r.streams, id)
}

// Serve sends updates to a follower of this instance until ctx ends, the instance
// stops or send fails.
func (r *Replicator) Serve(ctx context.Context, cursor Cursor, send func(Update) error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.config.State.changes.wait()
		var update Update
		update, cursor = r.Since(cursor)
		if err := send(update); err != nil {
			return err
		}
		timer.Reset(heartbeat)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.closed:
			return nil
		case <-changed:
		case <-timer.C:
		}
	}
}

// Since returns the update that leads on from a cursor, and the cursor after it.
func (r *Replicator) Since(cursor Cursor) (Update, Cursor) {
	health := r.config.Store.Health()
	now := time.Now()
	update, cursor := r.config.State.Since(cursor)
	r.mu.Lock()
	update.ConfirmedAt = r.confirmedAt(health, now)
	r.mu.Unlock()
	update.IsReady = r.config.IsReady()
	return update, cursor
}
