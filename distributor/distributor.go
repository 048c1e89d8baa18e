// Package distributor delivers every accepted configuration to every instance
// and puts it in force there.
//
// The platform's store holds one head object, which contains the number of the
// accepted generation and the latest changes; older contents are in snapshot
// objects. The relays of each failure domain watch the head and push changes
// down a tree of the domain's members. An instance that learns from a heartbeat
// that a peer is at a newer generation pulls the changes from that peer. A state
// is only replaced by a newer one.
//
// # Usage
//
//	d := distributor.New(distributor.Config{Store: store, Peer: client, Fleet: fleet})
//	d.OnState(func(state *versioner.State) { ... })
//	go d.Run(ctx)
package distributor

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/versioner"
)

// Keys of the store's configuration objects.
const (
	HeadKey        = "config/head"
	snapshotPrefix = "config/snapshot/"
)

const (
	// maxKeptChanges bounds the changes that are kept for peers that lag behind.
	maxKeptChanges = 64
	// retryDelay is the mean delay before a failed watch is retried.
	retryDelay = time.Second
	// relayCheckInterval is the interval at which an instance checks whether it
	// is a relay.
	relayCheckInterval = 500 * time.Millisecond
	pushTimeout        = time.Second
	pullTimeout        = 10 * time.Second
)

// Peer sends configuration messages to other instances.
type Peer interface {
	PushChanges(ctx context.Context, address string, request *peerpb.PushChangesRequest) (*peerpb.PushChangesResponse, error)
	PullConfiguration(ctx context.Context, address string, request *peerpb.PullConfigurationRequest,
		receive func(*peerpb.PullConfigurationResponse) error) error
}

// Fleet provides this instance's view of the membership.
type Fleet interface {
	// Self returns this instance.
	Self() pollencrank.Instance
	// IsRelay reports whether this instance is to watch the store for its
	// failure domain.
	IsRelay() bool
	// Neighbours returns the running members of this failure domain, including
	// this instance, ordered by ID.
	Neighbours() []pollencrank.Instance
}

// Config is the configuration of a Distributor.
type Config struct {
	Store persister.Store
	Peer  Peer
	Fleet Fleet
	Log   *slog.Logger
	// Seed seeds the random jitter of retries.
	Seed uint64
	// OnState is called with every new state, in order of generation.
	OnState func(*versioner.State)
}

// emptyState is the state to which the first accepted change is applied.
var emptyState = versioner.NewState(0, map[string][]byte{})

// Distributor holds the newest configuration state.
type Distributor struct {
	config Config
	state  atomic.Pointer[versioner.State]

	mu      sync.Mutex
	changes []*peerpb.Change
	// pushed maps the root of a tree to the newest generation that this instance
	// has pushed to its children in that tree.
	pushed map[string]uint64
	random *rand.Rand

	storeDown atomic.Bool
	// storeContact is the time of the store's last answer, in Unix nanoseconds.
	storeContact atomic.Int64
	// pulling is set while a background pull is in progress.
	pulling atomic.Bool
}

// New returns a Distributor without a state.
func New(config Config) *Distributor {
	if config.OnState == nil {
		config.OnState = func(*versioner.State) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Distributor{config: config, pushed: map[string]uint64{}, random: rand.New(rand.NewPCG(config.Seed, 1))}
}

// State returns the newest state, or nil.
func (d *Distributor) State() *versioner.State { return d.state.Load() }

// StoreDown reports whether the last watch of the store failed. It is false on
// an instance that does not watch the store.
func (d *Distributor) StoreDown() bool { return d.storeDown.Load() }

// Generation returns the generation in force on this instance, or 0 if there is
// none.
func (d *Distributor) Generation() pollencrank.Generation {
	if s := d.state.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// ApplyChanges applies those changes that continue the current state without a
// gap. It reports whether the state has reached the generation of the last
// change.
func (d *Distributor) ApplyChanges(changes []*peerpb.Change) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(changes) == 0 {
		return true
	}
	for _, change := range changes {
		current := d.state.Load()
		if current == nil {
			current = emptyState
		}
		if pollencrank.Generation(change.Generation) != current.Generation+1 {
			continue
		}
		next, err := current.Apply(change)
		if err != nil {
			d.config.Log.Error("configuration change rejected", recorder.EventConfigurationInvalid.Attr(), slog.String("error", err.Error()))
			return false
		}
		d.keepChange(change)
		d.activate(next)
	}
	newest := changes[len(changes)-1].Generation
	return uint64(d.Generation()) >= newest
}

// Replace puts a whole state in force if it is newer than the current one, and
// reports whether it was.
func (d *Distributor) Replace(state *versioner.State) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Generation <= d.Generation() {
		return false
	}
	d.changes = nil
	d.activate(state)
	return true
}

// activate puts a state in force and passes it to OnState. The caller holds
// d.mu.
func (d *Distributor) activate(next *versioner.State) {
	d.state.Store(next)
	d.config.OnState(next)
	d.config.Log.Info("configuration in force", recorder.EventConfigurationInForce.Attr(),
		slog.Uint64("generation", uint64(next.Generation)))
}

// keepChange keeps a change for peers that lag behind. The caller holds d.mu.
func (d *Distributor) keepChange(change *peerpb.Change) {
	d.changes = append(d.changes, change)
	if len(d.changes) > maxKeptChanges {
		d.changes = slices.Clone(d.changes[len(d.changes)-maxKeptChanges:])
	}
}

// changesAfter returns the kept changes after a generation, and whether they
// cover every generation from there to the current one.
func (d *Distributor) changesAfter(generation uint64) ([]*peerpb.Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := uint64(d.Generation())
	if generation >= newest {
		return nil, true
	}
	for i, change := range d.changes {
		if change.Generation == generation+1 {
			return slices.Clone(d.changes[i:]), true
		}
	}
	return nil, false
}

// PullIfBehind pulls the configuration from a peer in the background if the peer's
// generation is newer than the one in force on this instance.
func (d *Distributor) PullIfBehind(ctx context.Context, from pollencrank.Instance, generation pollencrank.Generation) {
	if generation > d.Generation() {
		d.PullInBackground(ctx, from.PeerAddress)
	}
}

// PullInBackground pulls from a peer in the background, one pull at a time.
func (d *Distributor) PullInBackground(ctx context.Context, address string) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer d.pulling.Store(false)
		if err := d.Pull(ctx, address); err != nil {
			d.config.Log.Debug("configuration pull failed", slog.String("address", address), slog.String("error", err.Error()))
		}
	}()
}

// Pull requests the changes since the current generation from a peer, or a
// snapshot if the peer no longer keeps them, and applies what the peer sends.
func (d *Distributor) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	before := d.Generation()
	var (
		items  []*peerpb.Item
		last   *peerpb.PullConfigurationResponse
		pulled []*peerpb.Change
	)
	request := &peerpb.PullConfigurationRequest{Generation: uint64(before)}
	err := d.config.Peer.PullConfiguration(ctx, address, request, func(r *peerpb.PullConfigurationResponse) error {
		items = append(items, r.Items...)
		pulled = append(pulled, r.Changes...)
		last = r
		return nil
	})
	if err != nil {
		return fmt.Errorf("pull configuration from %s: %w", address, err)
	}
	if last == nil {
		return nil
	}
	if len(items) == 0 {
		d.ApplyChanges(pulled)
		return nil
	}
	state, err := versioner.Join(pollencrank.Generation(last.Generation), last.Digest, items)
	if err != nil {
		return fmt.Errorf("pull configuration from %s: %w", address, err)
	}
	d.Replace(state)
	return nil
}

// maxPartBytes bounds the size of one part of a snapshot that is sent to a peer.
const maxPartBytes = 256 << 10

// HandlePull answers a pull with the changes after the requested generation, or
// with a snapshot if some of them are no longer kept. It sends nothing if this
// instance has no newer generation.
func (d *Distributor) HandlePull(request *peerpb.PullConfigurationRequest, send func(*peerpb.PullConfigurationResponse) error) error {
	state := d.State()
	if state == nil || request.Generation >= uint64(state.Generation) {
		return nil
	}
	if changes, ok := d.changesAfter(request.Generation); ok {
		return send(&peerpb.PullConfigurationResponse{Generation: uint64(state.Generation), Changes: changes})
	}
	for _, part := range state.Parts(maxPartBytes) {
		response := &peerpb.PullConfigurationResponse{
			Generation: uint64(state.Generation),
			Digest:     state.Digest,
			Items:      part.Items,
		}
		if err := send(response); err != nil {
			return err
		}
	}
	return nil
}
