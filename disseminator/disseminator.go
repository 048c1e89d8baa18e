// Package disseminator tells the instances of a fleet which of them count as dead,
// without the platform's store.
//
// An instance that has changed its verdict on another one tells a few others, chosen at
// random, and shows it in its answers to probes. Who hears of a verdict that differs from
// its own probes the instance in question, and tells others only if its own verdict has
// changed by that. A verdict that is right reaches the whole fleet in a number of steps
// that grows with the logarithm of its size. One that is wrong, as that of an instance
// which is cut off, ends with those that were told.
//
// # Usage
//
//	d := disseminator.New(disseminator.Config{Self: self, Peers: peers, Holds: holds, Send: send, Log: log})
//	d.Tell(prober.Verdict{Instance: "entry-1", Incarnation: 7, IsDead: true})
//	err := d.Run(ctx)
package disseminator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// interval is the time between two rounds of messages. What the store tells all within
	// that time is not sent.
	interval = 300 * time.Millisecond
	// fanout is the number of instances that are told in a round.
	fanout = 4
	// MaxVerdicts is the largest number of verdicts in a message. Further ones follow in
	// the next rounds.
	MaxVerdicts = 64
	// maxShown is the largest number of verdicts in an answer to a probe, and maxShownIDBytes
	// limits the length of their IDs: who gets a longer answer than it reads takes the probe for
	// failed. Of more than that, each answer shows other ones.
	maxShown        = 20
	maxShownIDBytes = 20 * 64
	// sendTimeout limits the time to send one message.
	sendTimeout = time.Second
	// returnMemory is how long answers to probes show that an instance is not dead.
	returnMemory = 10 * time.Second
)

// Config is the configuration of a Disseminator.
type Config struct {
	// Peers returns the other instances that serve requests.
	Peers func() []namer.Instance
	// Holds reports whether this instance still holds a verdict on an instance that the
	// store lists.
	Holds func(v prober.Verdict) bool
	// Send sends verdicts to another instance.
	Send func(ctx context.Context, to namer.Instance, verdicts []prober.Verdict) error
	Log  *slog.Logger
}

// Disseminator sends this instance's verdicts. It is safe for concurrent use.
type Disseminator struct {
	config Config

	mu sync.Mutex
	// pending are the verdicts to send in the next rounds, in the order in which they were
	// made.
	pending []prober.Verdict
	// shown are the verdicts that answers to probes show, by the ID of the instance.
	shown map[string]shownVerdict
}

// shownVerdict is a verdict and when it was made.
type shownVerdict struct {
	prober.Verdict
	madeAt time.Time
}

// New returns a Disseminator.
func New(config Config) *Disseminator {
	return &Disseminator{config: config, shown: map[string]shownVerdict{}}
}

// Tell tells other instances of a verdict. It replaces earlier ones on the same instance.
func (d *Disseminator) Tell(v prober.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = slices.DeleteFunc(d.pending, func(p prober.Verdict) bool { return p.Instance == v.Instance })
	d.pending = append(d.pending, v)
	d.shown[v.Instance] = shownVerdict{v, time.Now()}
}

// Shown returns the verdicts to show in an answer to a probe.
func (d *Disseminator) Shown() []prober.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	var shown []prober.Verdict
	idBytes := 0
	// The order of a map differs each time.
	for id, v := range d.shown {
		fits := len(shown) < maxShown && idBytes+len(id) <= maxShownIDBytes
		if fits && d.config.Holds(v.Verdict) {
			shown = append(shown, v.Verdict)
			idBytes += len(id)
		}
	}
	slices.SortFunc(shown, func(a, b prober.Verdict) int { return strings.Compare(a.Instance, b.Instance) })
	return shown
}

// Run sends verdicts until ctx ends. It returns after its last message has ended.
func (d *Disseminator) Run(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		peers := d.config.Peers()
		if len(peers) == 0 {
			continue
		}
		verdicts := d.next(time.Now())
		if len(verdicts) == 0 {
			continue
		}
		for _, peer := range choose(peers, verdicts) {
			sends.Go(func() { d.send(ctx, peer, verdicts) })
		}
	}
}

// next returns the verdicts of the next message, and forgets those that do not hold any more.
func (d *Disseminator) next(now time.Time) []prober.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, v := range d.shown {
		isOld := !v.IsDead && now.Sub(v.madeAt) >= returnMemory
		if isOld || !d.config.Holds(v.Verdict) {
			delete(d.shown, id)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(v prober.Verdict) bool { return !d.config.Holds(v) })
	n := min(len(d.pending), MaxVerdicts)
	verdicts := slices.Clone(d.pending[:n])
	d.pending = slices.Delete(d.pending, 0, n)
	return verdicts
}

// choose returns a few instances at random, of those to which the verdicts tell something of
// others than themselves.
func choose(peers []namer.Instance, verdicts []prober.Verdict) []namer.Instance {
	others := slices.DeleteFunc(slices.Clone(peers), func(i namer.Instance) bool {
		return !slices.ContainsFunc(verdicts, func(v prober.Verdict) bool { return v.Instance != i.ID })
	})
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(len(others), fanout)]
}

func (d *Disseminator) send(ctx context.Context, to namer.Instance, verdicts []prober.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := d.config.Send(ctx, to, verdicts); err != nil {
		d.config.Log.Info("an instance could not be told which others count as dead", recorder.EventVerdictNotSent.Attr(),
			slog.String("instance", to.ID), slog.Int("verdicts", len(verdicts)), slog.Any("error", err))
	}
}
