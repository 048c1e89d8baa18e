package replicator

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// lagPatience is how long news that another instance has may be on their way
	// before they are fetched from it.
	lagPatience = 900 * time.Millisecond
	// fetchTimeout bounds a question to another instance.
	fetchTimeout = time.Second
	// storePatience is how long a starting instance waits for a first answer of
	// the store before it asks other instances.
	storePatience = 600 * time.Millisecond
	// bootstrapPause is the pause between two rounds of questions, gatherTime how
	// long further answers are waited for after the first one: who answers first
	// may have lost the store longest ago.
	bootstrapPause = 300 * time.Millisecond
	gatherTime     = 150 * time.Millisecond
)

// lag is what another instance knows and this one does not yet.
type lag struct {
	instance namer.Instance
	known    Positions
	since    time.Time
}

// ObserveRevisions takes how far another instance knows: the revisions of the newest items
// that it has seen.
func (r *Replicator) ObserveRevisions(from namer.Instance, changedAt Positions) {
	if !r.config.State.Cursor().IsBehind(changedAt) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.behind[from.ID]; !known {
		r.behind[from.ID] = lag{instance: from, known: changedAt, since: time.Now()}
	}
}

// catchUp fetches what others have known for a while.
func (r *Replicator) catchUp(ctx context.Context, now time.Time) {
	have := r.config.State.Cursor()
	r.mu.Lock()
	var from *lag
	for id, l := range r.behind {
		switch {
		case !have.IsBehind(l.known):
			delete(r.behind, id)
		case now.Sub(l.since) >= lagPatience && from == nil:
			from = &l
			delete(r.behind, id)
		}
	}
	r.mu.Unlock()
	if from == nil {
		return
	}
	r.config.Log.Info("another instance knows more", recorder.EventCaughtUp.Attr(), slog.String("instance", from.instance.ID))
	r.config.Store.Renew()
	go r.fetch(ctx, from.instance.PeerAddress)
}

// fetch asks an instance for what this one lacks.
func (r *Replicator) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	news, err := r.config.Peers.Fetch(ctx, address, r.config.State.Cursor())
	if err == nil {
		err = r.config.State.Apply(news)
	}
	if err != nil {
		r.config.Log.Debug("another instance could not be asked", slog.String("address", address), slog.Any("error", err))
	}
}

// bootstrap asks the seeds while nothing is known and the store does not answer.
// A long listing that is under way is no reason to ask: when a large fleet starts
// together, all would ask the same few.
func (r *Replicator) bootstrap(ctx context.Context) {
	pause := storePatience
	for !r.config.State.IsLoaded() {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = bootstrapPause
		if contact := r.config.Store.Health(); contact.AnsweredAt.IsZero() || contact.IsFailing {
			r.askSeeds(ctx)
		}
	}
}

// askSeeds asks all seeds at once and takes what the first ones know that can
// serve callers.
func (r *Replicator) askSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answers := make(chan Update, len(r.config.Seeds))
	asked := 0
	for _, address := range r.config.Seeds {
		if address == r.config.Self.PeerAddress {
			continue
		}
		asked++
		go func() {
			news, err := r.config.Peers.Fetch(ctx, address, Cursor{})
			if err != nil {
				r.config.Log.Debug("a seed could not be asked", slog.String("address", address), slog.Any("error", err))
			}
			answers <- news
		}()
	}
	r.takeAnswers(ctx, answers, asked)
}

func (r *Replicator) takeAnswers(ctx context.Context, answers <-chan Update, asked int) {
	var gathered []Update
	var enough <-chan time.Time
	for range asked {
		select {
		case news := <-answers:
			if !news.IsReady {
				continue
			}
			gathered = append(gathered, news)
			if enough == nil {
				enough = time.After(gatherTime)
			}
			continue
		case <-enough:
		case <-ctx.Done():
		}
		break
	}
	// The newest ones first: older ones then change nothing.
	slices.SortFunc(gathered, func(a, b Update) int { return cmp.Compare(b.position(), a.position()) })
	for _, news := range gathered {
		if err := r.config.State.Apply(news); err != nil {
			r.config.Log.Warn("what another instance knows does not fit", recorder.EventBootstrapped.Attr(), slog.Any("error", err))
			continue
		}
		r.config.Log.Warn("the instance starts with what another one knows", recorder.EventBootstrapped.Attr(),
			slog.Uint64("version", r.config.State.Cursor().Version))
	}
}
