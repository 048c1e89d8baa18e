// Package distributor brings every accepted configuration into force on every
// instance.
//
// The platform's store holds one head object that names the accepted
// generation and carries the latest changes; older contents are in snapshot
// objects. The relays of each failure domain watch the head and push changes
// down a tree of the domain's members. An instance that hears of a newer
// generation pulls the changes from the instance it heard from. A state is
// only ever replaced by a newer one.
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
	// keptChanges is the number of changes that are kept for peers that lag.
	keptChanges = 64
	// retryPause is the mean pause after a failed watch.
	retryPause = time.Second
	// relayCheck is how often an instance checks whether it is a relay.
	relayCheck  = 500 * time.Millisecond
	pushTimeout = time.Second
	pullTimeout = 10 * time.Second
)

// Peer sends configuration messages to other instances.
type Peer interface {
	PushChanges(ctx context.Context, address string, request *peerpb.PushChangesRequest) (*peerpb.PushChangesResponse, error)
	PullConfiguration(ctx context.Context, address string, request *peerpb.PullConfigurationRequest,
		each func(*peerpb.PullConfigurationResponse) error) error
}

// Fleet tells about the other instances.
type Fleet interface {
	// Self is this instance.
	Self() pollencrank.Instance
	// IsRelay reports whether this instance watches the store.
	IsRelay() bool
	// Neighbours returns the running members of this failure domain, with
	// this instance, ordered by ID.
	Neighbours() []pollencrank.Instance
}

// Config is the configuration of a Distributor.
type Config struct {
	Store persister.Store
	Peer  Peer
	Fleet Fleet
	Log   *slog.Logger
	// Seed fixes the spread of retries.
	Seed uint64
	// OnState is called with every new state, in order.
	OnState func(*versioner.State)
}

// emptyState is what the first accepted change is applied to.
var emptyState = versioner.NewState(0, map[string][]byte{})

// Distributor holds the newest configuration state.
type Distributor struct {
	config Config
	state  atomic.Pointer[versioner.State]

	mu      sync.Mutex
	changes []*peerpb.Change
	// passed is the newest generation passed on for each root.
	passed map[string]uint64
	random *rand.Rand

	storeDown atomic.Bool
	// storeContact is when the store last answered, in Unix nanoseconds.
	storeContact atomic.Int64
	// pulling names the peer address that a pull is under way from.
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
	return &Distributor{config: config, passed: map[string]uint64{}, random: rand.New(rand.NewPCG(config.Seed, 1))}
}

// State returns the newest state, or nil.
func (d *Distributor) State() *versioner.State { return d.state.Load() }

// StoreDown reports whether the last watch of the store failed.
func (d *Distributor) StoreDown() bool { return d.storeDown.Load() }

// Generation returns the generation in force here.
func (d *Distributor) Generation() pollencrank.Generation {
	if s := d.state.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// ApplyChanges applies the changes that follow the state and reports whether the
// state is at the newest of them afterwards.
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
			d.config.Log.Error("change rejected", recorder.EventConfigurationInvalid.Attr(), slog.String("error", err.Error()))
			return false
		}
		d.keep(change)
		d.enforce(next)
	}
	newest := changes[len(changes)-1].Generation
	return uint64(d.Generation()) >= newest
}

// Replace puts a whole state in force if it is newer. It reports whether it
// was.
func (d *Distributor) Replace(state *versioner.State) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Generation <= d.Generation() {
		return false
	}
	d.changes = nil
	d.enforce(state)
	return true
}

// enforce swaps the state. The lock is held.
func (d *Distributor) enforce(next *versioner.State) {
	d.state.Store(next)
	d.config.OnState(next)
	d.config.Log.Info("configuration in force", recorder.EventConfigurationInForce.Attr(),
		slog.Uint64("generation", uint64(next.Generation)))
}

func (d *Distributor) keep(change *peerpb.Change) {
	d.changes = append(d.changes, change)
	if len(d.changes) > keptChanges {
		d.changes = slices.Clone(d.changes[len(d.changes)-keptChanges:])
	}
}

// changesAfter returns the kept changes after a generation, and whether they
// reach from it to the newest without a gap.
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

// PullIfBehind is told that a peer is at a generation; it pulls what is missing.
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
			d.config.Log.Debug("pull failed", slog.String("address", address), slog.String("error", err.Error()))
		}
	}()
}

// Pull brings this instance to a peer's generation, if that is newer.
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

// messageBytes is the size of one part of a snapshot between peers.
const messageBytes = 256 << 10

// HandlePull answers a pull with changes, or with a snapshot if the kept
// changes do not reach back far enough.
func (d *Distributor) HandlePull(request *peerpb.PullConfigurationRequest, send func(*peerpb.PullConfigurationResponse) error) error {
	state := d.State()
	if state == nil || request.Generation >= uint64(state.Generation) {
		return nil
	}
	if changes, ok := d.changesAfter(request.Generation); ok {
		return send(&peerpb.PullConfigurationResponse{Generation: uint64(state.Generation), Changes: changes})
	}
	for _, part := range state.Parts(messageBytes) {
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
