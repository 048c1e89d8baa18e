package acceptor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/versioner"
)

// UndoPrefix is the key prefix of undo records. An undo record is a store object
// with the items that revert an accepted change.
const UndoPrefix = "config/undo/"

// undoVersion is the store version of every undo record, as a record is written
// only once.
const undoVersion = 1

// RollbackError reports that the contents of a generation can no longer be
// restored.
type RollbackError struct {
	Generation pollencrank.Generation
}

// Error implements error.
func (e *RollbackError) Error() string {
	return fmt.Sprintf("the contents of generation %d are not kept", e.Generation)
}

func undoKey(change *peerpb.Change) string {
	return fmt.Sprintf("%s%d-%s", UndoPrefix, change.Generation, change.OperationId)
}

// writeUndo writes the undo record of a change before the change is accepted. A
// record that is too large for one object is not written.
func (a *Acceptor) writeUndo(ctx context.Context, change *peerpb.Change, undo *peerpb.Undo) error {
	if change.Automatic || proto.Size(undo) > snapshotPartBytes {
		return nil
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(undo)
	if err != nil {
		return fmt.Errorf("encode undo: %w", err)
	}
	_, err = a.config.Store.Put(ctx, undoKey(change), encoded, 0)
	var conflict *persister.ConflictError
	var unknown *persister.OutcomeUnknownError
	if err == nil || errors.As(err, &conflict) || errors.As(err, &unknown) {
		// A conflict means that an earlier attempt at this proposal wrote the same
		// record. If the outcome is unknown and the record is missing, only
		// rollbacks to a generation before this change are refused.
		return nil
	}
	return fmt.Errorf("write undo: %w", err)
}

// removeUndo deletes the undo records of changes that the accepted head no
// longer describes, and the undo record of a proposal that was not accepted
// because of a conflict.
func (a *Acceptor) removeUndo(ctx context.Context, before, accepted *peerpb.Head, change *peerpb.Change, err error) {
	if change.Automatic {
		return
	}
	var race *RaceError
	if errors.As(err, &race) {
		_ = a.config.Store.Delete(ctx, undoKey(change), undoVersion)
	}
	if err != nil {
		return
	}
	for _, old := range before.Accepted {
		if !old.Automatic && findGeneration(accepted, old.Generation) == nil {
			_ = a.config.Store.Delete(ctx, undoKey(old), undoVersion)
		}
	}
}

// Rollback accepts the contents of an earlier generation as a new generation.
// The plan in force is not rolled back. Rollback returns RollbackError if the
// contents of the earlier generation can no longer be restored.
func (a *Acceptor) Rollback(ctx context.Context, to pollencrank.Generation, proposal Proposal) (Accepted, error) {
	proposal.editState = func(current *versioner.State) (*versioner.State, error) {
		head, _, err := a.readHead(ctx)
		if err != nil {
			return nil, err
		}
		next, err := a.contentsAt(ctx, head, current, to)
		if err != nil {
			return nil, err
		}
		configuration, err := next.DecodeAll()
		if err != nil {
			return nil, err
		}
		return next, a.config.Check(configuration)
	}
	return a.Accept(ctx, proposal)
}

// contentsAt returns the current state with the operators' changes after a
// generation reverted, the newest first.
func (a *Acceptor) contentsAt(ctx context.Context, head *peerpb.Head, current *versioner.State, to pollencrank.Generation) (*versioner.State, error) {
	if to == 0 || to > current.Generation || head.Generation != uint64(current.Generation) {
		return nil, &RollbackError{Generation: to}
	}
	items := maps.Clone(current.Items)
	for _, change := range slices.Backward(head.Accepted) {
		if change.Generation <= uint64(to) {
			break
		}
		if err := a.revert(ctx, change, items); err != nil {
			return nil, err
		}
	}
	if !describesAllAfter(head, to) {
		return nil, &RollbackError{Generation: to}
	}
	return versioner.NewState(current.Generation+1, items), nil
}

// describesAllAfter reports whether the head describes every operator's change
// after a generation. Automatic changes, of which the head keeps fewer, are
// ignored because they affect only the plan.
func describesAllAfter(head *peerpb.Head, to pollencrank.Generation) bool {
	oldest := uint64(0)
	operators := 0
	for _, change := range head.Accepted {
		if change.Automatic {
			continue
		}
		operators++
		if oldest == 0 {
			oldest = change.Generation
		}
	}
	return operators < maxAccepted || uint64(to) >= oldest
}

// revert applies the undo record of a change to items. Automatic changes are not
// reverted.
func (a *Acceptor) revert(ctx context.Context, change *peerpb.Change, items map[string][]byte) error {
	if change.Automatic {
		return nil
	}
	object, err := a.config.Store.Get(ctx, undoKey(change))
	var missing *persister.NotFoundError
	if errors.As(err, &missing) {
		return &RollbackError{Generation: pollencrank.Generation(change.Generation) - 1}
	}
	if err != nil {
		return fmt.Errorf("read undo: %w", err)
	}
	var undo peerpb.Undo
	if err := proto.Unmarshal(object.Value, &undo); err != nil {
		return fmt.Errorf("decode undo of generation %d: %w", change.Generation, err)
	}
	for _, item := range undo.Items {
		delete(items, item.Key)
		if !item.Removed {
			items[item.Key] = item.Value
		}
	}
	return nil
}
