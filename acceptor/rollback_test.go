package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/persister"
)

// proposePlan proposes a plan as an automatic change.
func proposePlan(store persister.Store, number uint64, guard func() error) (acceptor.Accepted, error) {
	return acceptor.New(acceptor.Config{Store: store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: fmt.Sprintf("plan-%d", number), Author: "entry-1", Summary: "plan", Automatic: true, Guard: guard,
		Edit: func(c *pollencrank.Configuration) error {
			c.Plan = &pollencrank.Plan{Number: number}
			return nil
		},
	})
}

func rollback(store persister.Store, operation string, to, expect pollencrank.Generation) (acceptor.Accepted, error) {
	return acceptor.New(acceptor.Config{Store: store}).Rollback(context.Background(), to,
		acceptor.Proposal{OperationID: operation, Expect: expect})
}

func configurationOf(t require.TestingT, store *standin.Store) *pollencrank.Configuration {
	head, _ := headOf(t, store)
	state, err := acceptor.Load(context.Background(), store, head)
	require.NoError(t, err)
	c, err := state.Decode()
	require.NoError(t, err)
	return c
}

func TestAutomaticChangesDoNotInvalidateAnOperatorsExpectedGeneration(t *testing.T) {
	store := standin.NewStore()
	seen, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	const plans = 40
	for number := range uint64(plans) {
		_, err = proposePlan(store, number+1, nil)
		require.NoError(t, err)
	}
	_, err = propose(store, "two", seen.Generation, "peak")
	require.NoError(t, err)
	_, err = propose(store, "three", seen.Generation, "maintenance")
	var race *acceptor.RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, "two", race.Winner.OperationID)
}

// Documents of operators contain no plan. Guards against a whole document that
// removes the plan in force.
func TestAnOperatorCannotChangeThePlan(t *testing.T) {
	store := standin.NewStore()
	_, err := proposePlan(store, 1, nil)
	require.NoError(t, err)
	_, err = acceptor.New(acceptor.Config{Store: store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: "document", Edit: func(c *pollencrank.Configuration) error {
			*c = pollencrank.Configuration{PresetInForce: "peak"}
			return nil
		},
	})
	require.NoError(t, err)
	c := configurationOf(t, store)
	require.Equal(t, "peak", c.PresetInForce)
	require.EqualValues(t, 1, c.Plan.Number)
}

func TestAPlanAcceptedBetweenReadAndWriteDoesNotRejectAnOperatorsChange(t *testing.T) {
	store := standin.NewStore()
	seen, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	racing := &racingStore{Store: store, before: func() {
		_, err := proposePlan(store, 1, nil)
		require.NoError(t, err)
	}}
	accepted, err := propose(racing, "two", seen.Generation, "peak")
	require.NoError(t, err)
	require.EqualValues(t, 3, accepted.Generation)
	c := configurationOf(t, store)
	require.Equal(t, "peak", c.PresetInForce)
	require.EqualValues(t, 1, c.Plan.Number)
}

func TestAChangeIsNotWrittenIfItsGuardFails(t *testing.T) {
	store := standin.NewStore()
	_, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	errExpired := errors.New("the lease has expired")
	_, err = proposePlan(store, 1, func() error { return errExpired })
	require.ErrorIs(t, err, errExpired)
	require.Nil(t, configurationOf(t, store).Plan)
}

func TestARollbackRestoresOldContentsAsANewGeneration(t *testing.T) {
	store := standin.NewStore()
	presets := []string{"ordinary", "peak", "maintenance", "peak"}
	for i, preset := range presets {
		_, err := propose(store, fmt.Sprint(i), 0, preset)
		require.NoError(t, err)
		_, err = proposePlan(store, uint64(i+1), nil)
		require.NoError(t, err)
	}
	// Generations 1, 3, 5 and 7 are operators' changes; the others are plans.
	targets := []pollencrank.Generation{1, 3, 5, 2}
	for i, preset := range []string{"ordinary", "peak", "maintenance", "ordinary"} {
		to := targets[i]
		before, _ := headOf(t, store)
		accepted, err := rollback(store, fmt.Sprintf("back to %d", to), to, 0)
		require.NoError(t, err)
		require.EqualValues(t, before.Generation+1, accepted.Generation)
		c := configurationOf(t, store)
		require.Equal(t, preset, c.PresetInForce)
		require.EqualValues(t, 4, c.Plan.Number, "the plan in force stays")
	}
}

func TestARollbackWithAnOutdatedExpectedGenerationIsRefused(t *testing.T) {
	store := standin.NewStore()
	for i, preset := range []string{"ordinary", "peak", "maintenance"} {
		_, err := propose(store, fmt.Sprint(i), 0, preset)
		require.NoError(t, err)
	}
	_, err := rollback(store, "back", 1, 2)
	var race *acceptor.RaceError
	require.ErrorAs(t, err, &race)
}

func TestTheNumberOfUndoRecordsIsBounded(t *testing.T) {
	store := standin.NewStore()
	const changes = 50
	for i := range changes {
		_, err := propose(store, fmt.Sprint(i), 0, fmt.Sprintf("preset-%d", i))
		require.NoError(t, err)
	}
	kept, err := store.List(context.Background(), acceptor.UndoPrefix)
	require.NoError(t, err)
	require.Len(t, kept, 32)
	_, err = rollback(store, "too far", 3, 0)
	var missing *acceptor.RollbackError
	require.ErrorAs(t, err, &missing)
	_, err = rollback(store, "far", changes-30, 0)
	require.NoError(t, err)
	require.Equal(t, fmt.Sprintf("preset-%d", changes-31), configurationOf(t, store).PresetInForce)
}

func TestTheUndoRecordOfARejectedProposalIsDeleted(t *testing.T) {
	store := standin.NewStore()
	_, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	racing := &racingStore{Store: store, before: func() {
		_, err := propose(store, "winner", 0, "peak")
		require.NoError(t, err)
	}}
	_, err = propose(racing, "loser", 1, "maintenance")
	var race *acceptor.RaceError
	require.ErrorAs(t, err, &race)
	kept, err := store.List(context.Background(), acceptor.UndoPrefix)
	require.NoError(t, err)
	require.Len(t, kept, 2)
}
