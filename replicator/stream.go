package replicator

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

// stream is the news of one relay. The Replicator's lock guards it.
type stream struct {
	instance namer.Instance
	cancel   context.CancelFunc
	begunAt  time.Time
	hasNews  bool
	// confirmedAt is when the relay last had a sign of the store, as far as it is
	// heard.
	confirmedAt time.Time
}

// isConfirmed reports whether the relay is heard and in touch with the store.
func (s *stream) isConfirmed(now time.Time) bool {
	return s.hasNews && now.Sub(s.confirmedAt) < staleAfter
}

// isOver reports whether the relay has been silent, or out of touch with the
// store, for too long.
func (s *stream) isOver(now time.Time) bool {
	if !s.hasNews {
		return now.Sub(s.begunAt) >= staleAfter
	}
	return !s.isConfirmed(now)
}

// begin follows a relay. The lock is held.
func (r *Replicator) begin(ctx context.Context, instance namer.Instance, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{instance: instance, cancel: cancel, begunAt: now}
	r.streams[instance.ID] = s
	go func() {
		defer cancel()
		err := r.config.Peers.Follow(ctx, instance.PeerAddress, r.config.State.Cursor(), func(news Update) error {
			return r.receive(s, news)
		})
		r.ended(s, err)
	}()
}

// receive takes a message of a relay.
func (r *Replicator) receive(s *stream, news Update) error {
	now := time.Now()
	r.mu.Lock()
	wasConfirmed := s.isConfirmed(now)
	s.hasNews = true
	s.confirmedAt = news.ConfirmedAt
	isConfirmed := s.isConfirmed(now)
	r.mu.Unlock()
	if wasConfirmed != isConfirmed {
		r.Wake()
	}
	if news.IsEmpty() {
		return nil
	}
	return r.config.State.Apply(news)
}

// ended notes that a stream is over. A relay that broke off is avoided for a
// while.
func (r *Replicator) ended(s *stream, err error) {
	r.mu.Lock()
	isCurrent := r.streams[s.instance.ID] == s
	if isCurrent {
		delete(r.streams, s.instance.ID)
		r.avoided[s.instance.ID] = time.Now().Add(avoidance)
	}
	r.mu.Unlock()
	if !isCurrent {
		return
	}
	r.config.Log.Info("a relay is not followed any more", recorder.EventRelayLost.Attr(),
		slog.String("instance", s.instance.ID), slog.Any("error", err))
	r.Wake()
}

// endSilentStreams gives up relays that are of no use at present. The lock is held.
func (r *Replicator) endSilentStreams(now time.Time) {
	for id, s := range r.streams {
		if !s.isOver(now) {
			continue
		}
		r.drop(id)
		r.avoided[id] = now.Add(avoidance)
		r.config.Log.Info("a relay is not followed any more", recorder.EventRelayLost.Attr(),
			slog.String("instance", id), slog.Bool("hasAnswered", s.hasNews))
	}
}

// endNeedlessStreams keeps the stream of the wanted relay, and another one until
// that has sent something. The lock is held.
func (r *Replicator) endNeedlessStreams(ahead []namer.Instance, wanted *namer.Instance, now time.Time) {
	isHeard := wanted != nil && r.streams[wanted.ID] != nil && r.streams[wanted.ID].isConfirmed(now)
	for id, s := range r.streams {
		if wanted != nil && id == wanted.ID && s.instance.Incarnation == wanted.Incarnation {
			continue
		}
		isAhead := false
		for _, i := range ahead {
			isAhead = isAhead || (i.ID == id && i.Incarnation == s.instance.Incarnation)
		}
		if isHeard || !isAhead {
			r.drop(id)
		}
	}
	for id, until := range r.avoided {
		if !now.Before(until) {
			delete(r.avoided, id)
		}
	}
}

// drop ends a stream. The lock is held.
func (r *Replicator) drop(id string) {
	r.streams[id].cancel()
	delete(r.streams, id)
}

// Serve sends what is new to somebody who follows this instance, until ctx ends,
// the instance stops or send fails.
func (r *Replicator) Serve(ctx context.Context, have Cursor, send func(Update) error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.config.State.notify.wait()
		var news Update
		news, have = r.Since(have)
		if err := send(news); err != nil {
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

// Since returns what somebody lacks, and what it has after that.
func (r *Replicator) Since(have Cursor) (Update, Cursor) {
	contact := r.config.Store.Health()
	now := time.Now()
	news, have := r.config.State.Since(have)
	r.mu.Lock()
	news.ConfirmedAt = r.confirmedAt(contact, now)
	r.mu.Unlock()
	news.IsReady = r.config.IsReady()
	return news, have
}
