package distributor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/versioner"
)

// Run watches the store while this instance is a relay or has no configuration,
// until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.config.Fleet.IsRelay() && d.State() != nil {
			d.storeDown.Store(false)
			sleep(ctx, relayCheckInterval)
			continue
		}
		d.watch(ctx)
	}
	return nil
}

// watch watches the head object until this instance has a configuration and is
// not a relay.
func (d *Distributor) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.cancelWhenNotRelay(ctx, cancel)
	d.config.Log.Info("started watching the store", recorder.EventRelayStarted.Attr())
	defer d.config.Log.Info("stopped watching the store", recorder.EventRelayStopped.Attr())
	var version uint64
	for ctx.Err() == nil {
		object, err := d.config.Store.Watch(ctx, HeadKey, version)
		var unchanged *persister.NotChangedError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &unchanged):
			d.setStoreDown(false)
		case err != nil:
			d.setStoreDown(true)
			sleep(ctx, d.jitteredRetryDelay())
		default:
			d.setStoreDown(false)
			if d.applyHead(ctx, object) == nil {
				version = object.Version
			} else {
				sleep(ctx, d.jitteredRetryDelay())
			}
		}
	}
}

func (d *Distributor) cancelWhenNotRelay(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		sleep(ctx, relayCheckInterval)
		if !d.config.Fleet.IsRelay() && d.State() != nil {
			cancel()
		}
	}
}

// StoreContact returns the time of the store's last answer to a watch.
func (d *Distributor) StoreContact() time.Time { return time.Unix(0, d.storeContact.Load()) }

func (d *Distributor) setStoreDown(down bool) {
	if !down {
		d.storeContact.Store(time.Now().UnixNano())
	}
	if d.storeDown.Swap(down) == down {
		return
	}
	if down {
		d.config.Log.Warn("store unavailable", recorder.EventStoreUnavailable.Attr())
		return
	}
	d.config.Log.Info("store back", recorder.EventStoreRecovered.Attr())
}

// jitteredRetryDelay returns a random delay between 0.5 and 1.5 times
// retryDelay, so that the watchers do not all retry at the same time.
func (d *Distributor) jitteredRetryDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retryDelay/2 + time.Duration(d.random.Int64N(int64(retryDelay)))
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyHead applies a head object and pushes the changes that are new to this
// instance down the tree.
func (d *Distributor) applyHead(ctx context.Context, object persister.Object) error {
	head, err := DecodeHead(object.Value)
	if err != nil {
		d.config.Log.Error("configuration head rejected", recorder.EventConfigurationInvalid.Attr(), slog.String("error", err.Error()))
		return err
	}
	before := d.Generation()
	if uint64(before) < head.SnapshotGeneration {
		state, err := LoadSnapshot(ctx, d.config.Store, head)
		if err != nil {
			return err
		}
		d.Replace(state)
	}
	d.ApplyChanges(head.Changes)
	if d.Generation() > before {
		d.pushToChildren(ctx, d.config.Fleet.Self().ID, newChanges(head.Changes, uint64(before)))
	}
	if uint64(d.Generation()) < head.Generation {
		return &versioner.GapError{Current: d.Generation(), Target: pollencrank.Generation(head.Generation)}
	}
	return nil
}

// newChanges returns the changes after a generation.
func newChanges(changes []*peerpb.Change, after uint64) []*peerpb.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c *peerpb.Change) bool { return c.Generation <= after })
}

// DecodeHead decodes the head object.
func DecodeHead(value []byte) (*peerpb.Head, error) {
	head := &peerpb.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, fmt.Errorf("decode %s: %w", HeadKey, err)
	}
	return head, nil
}

// LoadSnapshot reads the snapshot that a head refers to.
func LoadSnapshot(ctx context.Context, store persister.Store, head *peerpb.Head) (*versioner.State, error) {
	var items []*peerpb.Item
	for part := range head.SnapshotParts {
		object, err := store.Get(ctx, SnapshotKey(head.SnapshotGeneration, head.SnapshotDigest, int(part)))
		if err != nil {
			return nil, fmt.Errorf("load snapshot %d: %w", head.SnapshotGeneration, err)
		}
		decoded := &peerpb.SnapshotPart{}
		if err := proto.Unmarshal(object.Value, decoded); err != nil {
			return nil, fmt.Errorf("load snapshot %d part %d: %w", head.SnapshotGeneration, part, err)
		}
		items = append(items, decoded.Items...)
	}
	return versioner.Join(pollencrank.Generation(head.SnapshotGeneration), head.SnapshotDigest, items)
}

// SnapshotKey returns the key of a part of a snapshot. The digest keeps the
// snapshots of two writers that prepare the same generation from overwriting
// each other.
func SnapshotKey(generation, digest uint64, part int) string {
	return fmt.Sprintf("%s%d-%016x/%d", snapshotPrefix, generation, digest, part)
}
