package acceptor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/versioner"
)

// nextHead returns the head after a change. If the changes exceed the limits of
// the head, nextHead writes a snapshot of the state and keeps only recent
// changes in the head.
func (a *Acceptor) nextHead(ctx context.Context, head *peerpb.Head, change *peerpb.Change, next *versioner.State) (*peerpb.Head, error) {
	result := &peerpb.Head{
		Generation:         change.Generation,
		SnapshotGeneration: head.SnapshotGeneration,
		SnapshotParts:      head.SnapshotParts,
		SnapshotDigest:     head.SnapshotDigest,
		Changes:            append(head.Changes[:len(head.Changes):len(head.Changes)], change),
		Accepted:           appendAccepted(head.Accepted, change),
	}
	if len(result.Changes) <= maxHeadChanges && proto.Size(result) <= maxHeadBytes {
		return result, nil
	}
	parts := next.Parts(snapshotPartBytes)
	for i, part := range parts {
		if err := a.writePart(ctx, next, i, part); err != nil {
			return nil, err
		}
	}
	result.SnapshotGeneration = uint64(next.Generation)
	result.SnapshotParts = uint32(len(parts))
	result.SnapshotDigest = next.Digest
	result.Changes = recentChanges(result.Changes)
	return result, nil
}

// appendAccepted appends the description of a change to those in the head, and
// drops the oldest descriptions that exceed the limits.
func appendAccepted(accepted []*peerpb.Change, change *peerpb.Change) []*peerpb.Change {
	description := &peerpb.Change{
		Generation:     change.Generation,
		OperationId:    change.OperationId,
		Author:         change.Author,
		Summary:        change.Summary,
		AcceptedUnixMs: change.AcceptedUnixMs,
		Automatic:      change.Automatic,
	}
	kept := dropOldest(accepted, false, maxAccepted)
	kept = dropOldest(kept, true, maxAutomatic)
	return append(kept, description)
}

// dropOldest returns the descriptions without the oldest automatic ones, or
// without the oldest operators' ones, so that fewer than limit of that kind are
// left.
func dropOldest(accepted []*peerpb.Change, automatic bool, limit int) []*peerpb.Change {
	surplus := 1 - limit
	for _, change := range accepted {
		if change.Automatic == automatic {
			surplus++
		}
	}
	var kept []*peerpb.Change
	for _, change := range accepted {
		if change.Automatic == automatic && surplus > 0 {
			surplus--
			continue
		}
		kept = append(kept, change)
	}
	return kept
}

// recentChanges returns the newest changes, up to a small number and size, so
// that watchers that are only slightly behind do not have to read the snapshot.
func recentChanges(changes []*peerpb.Change) []*peerpb.Change {
	const maxKept, maxKeptBytes = 4, 8 << 10
	size := 0
	for i := len(changes) - 1; i >= 0; i-- {
		size += proto.Size(changes[i])
		if len(changes)-i > maxKept || size > maxKeptBytes {
			return changes[i+1:]
		}
	}
	return changes
}

// writePart writes a part of a snapshot. The key contains the digest of the
// snapshot, so a part that already exists has the same contents.
func (a *Acceptor) writePart(ctx context.Context, state *versioner.State, number int, part *peerpb.SnapshotPart) error {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	key := distributor.SnapshotKey(uint64(state.Generation), state.Digest, number)
	_, err = a.config.Store.Put(ctx, key, encoded, 0)
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

func findOperation(head *peerpb.Head, operation string) *peerpb.Change {
	for _, change := range head.Accepted {
		if operation != "" && change.OperationId == operation {
			return change
		}
	}
	return nil
}

func findGeneration(head *peerpb.Head, generation uint64) *peerpb.Change {
	for _, change := range head.Accepted {
		if change.Generation == generation {
			return change
		}
	}
	return nil
}

// newestAccepted returns the latest change that the head describes.
func newestAccepted(head *peerpb.Head) Accepted {
	if len(head.Accepted) == 0 {
		return Accepted{Generation: pollencrank.Generation(head.Generation)}
	}
	return acceptedOf(head.Accepted[len(head.Accepted)-1])
}

func acceptedOf(change *peerpb.Change) Accepted {
	return Accepted{
		Generation:  pollencrank.Generation(change.Generation),
		OperationID: change.OperationId,
		Author:      change.Author,
		Summary:     change.Summary,
		At:          time.UnixMilli(change.AcceptedUnixMs),
		Automatic:   change.Automatic,
	}
}
