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
	// lagTolerance is how long this instance waits for changes that another instance
	// already has, before it fetches them from that instance.
	lagTolerance = 900 * time.Millisecond
	// fetchTimeout bounds a fetch from another instance.
	fetchTimeout = time.Second
	// storeWait is how long a starting instance waits for a first answer of
	// the store before it queries other instances.
	storeWait = 600 * time.Millisecond
	// bootstrapPause is the pause between two rounds of queries. gatherTime is how
	// long further answers are awaited after the first one, because the instance
	// that answers first may be the one that lost the store longest ago.
	bootstrapPause = 300 * time.Millisecond
	gatherTime     = 150 * time.Millisecond
)

// lag records newer revisions that another instance has and this one does not have
// yet.
type lag struct {
	instance  namer.Instance
	revisions Positions
	since     time.Time
}

// ObserveRevisions records the revisions of the newest items that another instance
// has received, if they are newer than those of this instance.
func (r *Replicator) ObserveRevisions(from namer.Instance, latest Positions) {
	if !r.config.State.Cursor().IsBehind(latest) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, isRecorded := r.lags[from.ID]; !isRecorded {
		r.lags[from.ID] = lag{instance: from, revisions: latest, since: time.Now()}
	}
}

// catchUp fetches changes that another instance has had for lagTolerance and that
// have not reached this one.
func (r *Replicator) catchUp(ctx context.Context, now time.Time) {
	cursor := r.config.State.Cursor()
	r.mu.Lock()
	var from *lag
	for id, l := range r.lags {
		switch {
		case !cursor.IsBehind(l.revisions):
			delete(r.lags, id)
		case now.Sub(l.since) >= lagTolerance && from == nil:
			from = &l
			delete(r.lags, id)
		}
	}
	r.mu.Unlock()
	if from == nil {
		return
	}
	r.config.Log.Info("another instance has newer revisions, fetching them", recorder.EventCaughtUp.Attr(), slog.String("instance", from.instance.ID))
	r.config.Store.Renew()
	r.background.Go(func() { r.fetch(ctx, from.instance.PeerAddress) })
}

// fetch fetches the changes that this instance lacks from another one.
func (r *Replicator) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := r.config.Peers.Fetch(ctx, address, r.config.State.Cursor())
	if err == nil {
		err = r.config.State.Apply(update)
	}
	if err != nil {
		r.config.Log.Debug("fetching from another instance failed", slog.String("address", address), slog.Any("error", err))
	}
}

// bootstrap queries the seeds while the state is not loaded and the store does not
// answer. A long listing that is under way does not trigger a query: when a large
// fleet starts together, all instances would query the same few seeds.
func (r *Replicator) bootstrap(ctx context.Context) {
	pause := storeWait
	for !r.config.State.IsLoaded() {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = bootstrapPause
		if health := r.config.Store.Health(); health.AnsweredAt.IsZero() || health.IsFailing {
			r.querySeeds(ctx)
		}
	}
}

// querySeeds queries all seeds at once and applies the first answers of those that
// can serve callers.
func (r *Replicator) querySeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answers := make(chan Update, len(r.config.Seeds))
	queried := 0
	for _, address := range r.config.Seeds {
		if address == r.config.Self.PeerAddress {
			continue
		}
		queried++
		r.background.Go(func() {
			update, err := r.config.Peers.Fetch(ctx, address, Cursor{})
			if err != nil {
				r.config.Log.Debug("fetching from a seed failed", slog.String("address", address), slog.Any("error", err))
			}
			answers <- update
		})
	}
	r.applyAnswers(ctx, answers, queried)
}

func (r *Replicator) applyAnswers(ctx context.Context, answers <-chan Update, queried int) {
	var gathered []Update
	var deadline <-chan time.Time
	for range queried {
		select {
		case update := <-answers:
			if !update.IsReady {
				continue
			}
			gathered = append(gathered, update)
			if deadline == nil {
				deadline = time.After(gatherTime)
			}
			continue
		case <-deadline:
		case <-ctx.Done():
		}
		break
	}
	// The newest update is applied first, so that older ones change nothing.
	slices.SortFunc(gathered, func(a, b Update) int { return cmp.Compare(b.position(), a.position()) })
	for _, update := range gathered {
		if err := r.config.State.Apply(update); err != nil {
			r.config.Log.Warn("the state of another instance cannot be applied", recorder.EventBootstrapped.Attr(), slog.Any("error", err))
			continue
		}
		r.config.Log.Warn("the instance starts with the state of another one", recorder.EventBootstrapped.Attr(),
			slog.Uint64("version", r.config.State.Cursor().Version))
	}
}
