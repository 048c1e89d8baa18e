// Package acceptor accepts configuration changes: it writes them to the
// platform's store with a conditional update. If several operators propose
// changes at the same time, one change is accepted, and the other operators get
// an error that describes the accepted change.
//
// # Usage
//
//	a := acceptor.New(acceptor.Config{Store: store})
//	accepted, err := a.Accept(ctx, acceptor.Proposal{
//		OperationID: "5f0c...",
//		Author:      "kari",
//		Expect:      7,
//		Edit:        func(c *pollencrank.Configuration) error { c.PresetInForce = "peak"; return nil },
//	})
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/versioner"
)

const (
	// maxHeadChanges and maxHeadBytes bound the changes in the head object,
	// because every watcher reads the whole object on every change.
	maxHeadChanges = 16
	maxHeadBytes   = 64 << 10
	// maxAccepted and maxAutomatic are the largest numbers of operators' changes
	// and of automatic changes that the head describes.
	maxAccepted  = 32
	maxAutomatic = 16
	// snapshotPartBytes keeps snapshot parts below the store's limit on the size
	// of an object.
	snapshotPartBytes = 900 << 10
	// maxResolveReads bounds the reads of the head after a write with an unknown
	// outcome or a conflict.
	maxResolveReads = 5
	resolveDelay    = 200 * time.Millisecond
)

// Config is the configuration of an Acceptor.
type Config struct {
	Store persister.Store
	// Current returns the state in force on this instance, or nil. If that is the
	// accepted state, the Acceptor does not read it from the store.
	Current func() *versioner.State
	// Check validates a configuration. A configuration for which it returns an
	// error is not accepted.
	Check func(*pollencrank.Configuration) error
}

// Proposal is a change that an operator or the system proposes.
type Proposal struct {
	// OperationID is unique to the change. If a proposal is repeated with the
	// same ID, the change is not accepted twice.
	OperationID string
	Author      string
	Summary     string
	// Expect is the generation on which the operator based the change. 0 disables
	// the check for changes by other operators.
	Expect pollencrank.Generation
	// Edit modifies the configuration in force into the proposed one. Changes to
	// the plan are discarded unless Automatic is set.
	Edit func(*pollencrank.Configuration) error
	// Automatic marks a change that the system makes itself. Automatic changes do
	// not conflict with operators' changes: an operator's expected generation
	// stays valid after one, and if one is accepted while an operator's proposal
	// is being written, the operator's proposal is retried.
	Automatic bool
	// Guard is called immediately before the change is written. If it returns an
	// error, the change is not written. It may be nil.
	Guard func() error
	// WithBlocks gives Edit access to the client blocks. Without it they are not
	// changed, which avoids decoding a long list.
	WithBlocks bool
	// editState replaces Edit for changes that work on the whole state.
	editState func(*versioner.State) (*versioner.State, error)
}

// Accepted describes an accepted change.
type Accepted struct {
	Generation  pollencrank.Generation
	OperationID string
	Author      string
	Summary     string
	At          time.Time
	// Automatic reports that the system made the change itself.
	Automatic bool
	// Unchanged reports that the proposal equals the configuration in force, so
	// that no generation was added.
	Unchanged bool
}

// RaceError reports that another change was accepted first.
type RaceError struct {
	Expected pollencrank.Generation
	Winner   Accepted
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("generation %d is no longer in force: %s accepted generation %d (%s)",
		e.Expected, e.Winner.Author, e.Winner.Generation, e.Winner.Summary)
}

// History returns the latest accepted changes in the order of their generations.
func (a *Acceptor) History(ctx context.Context) ([]Accepted, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var history []Accepted
	for _, change := range head.Accepted {
		history = append(history, acceptedOf(change))
	}
	return history, nil
}

// Acceptor accepts changes by writing them to the store.
type Acceptor struct {
	config Config
}

// New returns an Acceptor.
func New(config Config) *Acceptor {
	if config.Check == nil {
		config.Check = func(*pollencrank.Configuration) error { return nil }
	}
	return &Acceptor{config: config}
}

// maxAcceptAttempts bounds the attempts at an operator's proposal that conflicts
// with automatic changes.
const maxAcceptAttempts = 8

// Accept accepts a proposal. It returns RaceError if another change was accepted
// first, and the errors of the store, of Check and of the proposal's functions.
func (a *Acceptor) Accept(ctx context.Context, proposal Proposal) (Accepted, error) {
	for attempt := 1; ; attempt++ {
		accepted, err := a.acceptOnce(ctx, proposal)
		var race *RaceError
		if attempt < maxAcceptAttempts && !proposal.Automatic && errors.As(err, &race) && race.Winner.Automatic {
			continue
		}
		return accepted, err
	}
}

// acceptOnce makes a single attempt at accepting a proposal.
func (a *Acceptor) acceptOnce(ctx context.Context, proposal Proposal) (Accepted, error) {
	head, version, err := a.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if change := findOperation(head, proposal.OperationID); change != nil {
		return acceptedOf(change), nil
	}
	if proposal.Expect != 0 && !isExpected(head, proposal.Expect) {
		return Accepted{}, &RaceError{Expected: proposal.Expect, Winner: newestByOperator(head)}
	}
	change, next, undo, err := a.prepare(ctx, head, proposal)
	if err != nil {
		return Accepted{}, err
	}
	if len(change.Items) == 0 {
		return Accepted{Generation: pollencrank.Generation(head.Generation), Unchanged: true}, nil
	}
	nextHead, err := a.nextHead(ctx, head, change, next)
	if err != nil {
		return Accepted{}, err
	}
	if err := a.writeUndo(ctx, change, undo); err != nil {
		return Accepted{}, err
	}
	if proposal.Guard != nil {
		if err := proposal.Guard(); err != nil {
			return Accepted{}, err
		}
	}
	accepted, err := a.writeHead(ctx, nextHead, version, change)
	a.removeUnusedSnapshot(ctx, head, nextHead, err)
	a.removeUndo(ctx, head, nextHead, change, err)
	return accepted, err
}

// isExpected reports whether no operator's change was accepted after a
// generation. The head always describes the latest operator's change.
func isExpected(head *peerpb.Head, expected pollencrank.Generation) bool {
	return uint64(expected) <= head.Generation && newestByOperator(head).Generation <= expected
}

// newestByOperator returns the latest operator's change.
func newestByOperator(head *peerpb.Head) Accepted {
	for _, change := range slices.Backward(head.Accepted) {
		if !change.Automatic {
			return acceptedOf(change)
		}
	}
	return newestAccepted(head)
}

// removeUnusedSnapshot deletes the snapshot that the accepted head no longer
// refers to. A relay that was reading the snapshot reads the newer head
// instead. Errors of the deletion are ignored; the snapshot then stays in the
// store. The snapshot of a proposal that was not accepted is not deleted
// either, because a proposal with the same contents may have been accepted and
// refer to it.
func (a *Acceptor) removeUnusedSnapshot(ctx context.Context, before, accepted *peerpb.Head, err error) {
	if err != nil || before.SnapshotGeneration == accepted.SnapshotGeneration {
		return
	}
	const onlyVersion = 1
	for part := range before.SnapshotParts {
		key := distributor.SnapshotKey(before.SnapshotGeneration, before.SnapshotDigest, int(part))
		_ = a.config.Store.Delete(ctx, key, onlyVersion)
	}
}

// readHead returns the head object, or an empty one with version 0.
func (a *Acceptor) readHead(ctx context.Context) (*peerpb.Head, uint64, error) {
	object, err := a.config.Store.Get(ctx, distributor.HeadKey)
	var missing *persister.NotFoundError
	if errors.As(err, &missing) {
		return &peerpb.Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("accept: %w", err)
	}
	head, err := distributor.DecodeHead(object.Value)
	return head, object.Version, err
}

// prepare computes the change, the state after it and the undo record.
func (a *Acceptor) prepare(ctx context.Context, head *peerpb.Head, proposal Proposal) (*peerpb.Change, *versioner.State, *peerpb.Undo, error) {
	current, err := a.currentState(ctx, head)
	if err != nil {
		return nil, nil, nil, err
	}
	next, err := a.proposedState(current, proposal)
	if err != nil {
		return nil, nil, nil, err
	}
	change := versioner.Diff(current, next)
	change.OperationId = proposal.OperationID
	change.Author = proposal.Author
	change.Summary = proposal.Summary
	change.AcceptedUnixMs = time.Now().UnixMilli()
	change.Automatic = proposal.Automatic
	return change, next, &peerpb.Undo{Items: versioner.Diff(next, current).Items}, nil
}

// proposedState returns the state that a proposal makes of the current one. It
// returns the error of Check if the proposed configuration is invalid.
func (a *Acceptor) proposedState(current *versioner.State, proposal Proposal) (*versioner.State, error) {
	if proposal.editState != nil {
		return proposal.editState(current)
	}
	decode := current.Decode
	if proposal.WithBlocks {
		decode = current.DecodeAll
	}
	configuration, err := decode()
	if err != nil {
		return nil, err
	}
	plan := configuration.Plan
	if err := proposal.Edit(configuration); err != nil {
		return nil, err
	}
	if !proposal.Automatic {
		configuration.Plan = plan
	}
	if err := a.config.Check(configuration); err != nil {
		return nil, err
	}
	next, err := versioner.Encode(configuration, current.Generation+1)
	if err != nil {
		return nil, err
	}
	if !proposal.WithBlocks {
		next = next.WithBlocksOf(current)
	}
	return next, nil
}

// currentState returns the state of a head. It does not read the state from the
// store if this instance has it in memory.
func (a *Acceptor) currentState(ctx context.Context, head *peerpb.Head) (*versioner.State, error) {
	if a.config.Current != nil && len(head.Changes) > 0 {
		newest := head.Changes[len(head.Changes)-1]
		state := a.config.Current()
		if state != nil && uint64(state.Generation) == head.Generation && state.Digest == newest.Digest {
			return state, nil
		}
	}
	return Load(ctx, a.config.Store, head)
}

// Load reads the state of a head from the store: the snapshot that the head
// refers to, with the head's changes applied.
func Load(ctx context.Context, store persister.Store, head *peerpb.Head) (*versioner.State, error) {
	state := versioner.NewState(0, map[string][]byte{})
	if head.SnapshotGeneration > 0 {
		loaded, err := distributor.LoadSnapshot(ctx, store, head)
		if err != nil {
			return nil, err
		}
		state = loaded
	}
	for _, change := range head.Changes {
		if change.Generation <= uint64(state.Generation) {
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			return nil, err
		}
		state = next
	}
	return state, nil
}

// writeHead accepts a change by writing the head that contains it. No other
// write accepts a change.
func (a *Acceptor) writeHead(ctx context.Context, head *peerpb.Head, version uint64, change *peerpb.Change) (Accepted, error) {
	encoded, err := proto.Marshal(head)
	if err != nil {
		return Accepted{}, fmt.Errorf("encode head: %w", err)
	}
	_, err = a.config.Store.Put(ctx, distributor.HeadKey, encoded, version)
	if err == nil {
		return acceptedOf(change), nil
	}
	var conflict *persister.ConflictError
	var unknown *persister.OutcomeUnknownError
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return a.resolveOutcome(ctx, change, version, err)
	}
	return Accepted{}, fmt.Errorf("accept: %w", err)
}

// resolveOutcome reads the head to determine which change was accepted, after a
// conflict or if the store's answer to the write was lost.
func (a *Acceptor) resolveOutcome(ctx context.Context, change *peerpb.Change, before uint64, cause error) (Accepted, error) {
	for range maxResolveReads {
		head, version, err := a.readHead(ctx)
		if err == nil {
			if found := findOperation(head, change.OperationId); found != nil {
				return acceptedOf(found), nil
			}
			if winner := findGeneration(head, change.Generation); winner != nil {
				return Accepted{}, &RaceError{
					Expected: pollencrank.Generation(change.Generation - 1),
					Winner:   acceptedOf(winner),
				}
			}
			if version > before {
				// The head no longer describes this generation.
				return Accepted{}, fmt.Errorf("accept: %w", cause)
			}
		}
		select {
		case <-ctx.Done():
			return Accepted{}, fmt.Errorf("accept: %w", cause)
		case <-time.After(resolveDelay):
		}
	}
	return Accepted{}, fmt.Errorf("accept: %w", cause)
}
