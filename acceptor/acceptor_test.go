package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/persister"
)

func propose(store persister.Store, operation string, expect pollencrank.Generation, preset string) (acceptor.Accepted, error) {
	return acceptor.New(acceptor.Config{Store: store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: operation, Author: "author of " + operation, Summary: "use " + preset, Expect: expect,
		Edit: func(c *pollencrank.Configuration) error {
			c.PresetInForce = preset
			return nil
		},
	})
}

// inForce returns the head in the store and the preset of the accepted state.
func inForce(t require.TestingT, store *standin.Store) (*peerpb.Head, string) {
	head, _ := headOf(t, store)
	state, err := acceptor.Load(context.Background(), store, head)
	require.NoError(t, err)
	c, err := state.Decode()
	require.NoError(t, err)
	return head, c.PresetInForce
}

func TestAConcurrentProposalIsRejectedWithTheAcceptedChange(t *testing.T) {
	store := standin.NewStore()
	first, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	_, err = propose(store, "two", first.Generation, "peak")
	require.NoError(t, err)
	_, err = propose(store, "three", first.Generation, "maintenance")
	var race *acceptor.RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, "two", race.Winner.OperationID)
	require.Equal(t, "author of two", race.Winner.Author)
	_, preset := inForce(t, store)
	require.Equal(t, "peak", preset)
}

// racingStore calls before once, between a proposal's read of the head and its
// write.
type racingStore struct {
	*standin.Store
	before func()
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, version uint64) (persister.Object, error) {
	if s.before != nil && key == distributor.HeadKey {
		before := s.before
		s.before = nil
		before()
	}
	return s.Store.Put(ctx, key, value, version)
}

func TestAChangeAcceptedBetweenReadAndWriteIsReported(t *testing.T) {
	store := standin.NewStore()
	_, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	racing := &racingStore{Store: store, before: func() {
		_, err := propose(store, "two", 0, "peak")
		require.NoError(t, err)
	}}
	_, err = propose(racing, "three", 0, "maintenance")
	var race *acceptor.RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, "two", race.Winner.OperationID)
}

func TestAfterALostAnswerTheChangeIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		_, err := propose(store, "one", 0, "ordinary")
		require.NoError(t, err)
		store.LoseAnswers(1)
		accepted, err := propose(store, "two", 0, "peak")
		require.NoError(t, err)
		require.Equal(t, pollencrank.Generation(2), accepted.Generation)
		again, err := propose(store, "two", 0, "peak")
		require.NoError(t, err)
		require.Equal(t, accepted.Generation, again.Generation)
		head, _ := inForce(t, store)
		require.Equal(t, uint64(2), head.Generation)
	})
}

func TestDuringAnOutageNothingIsAccepted(t *testing.T) {
	store := standin.NewStore()
	store.SetDown(true)
	_, err := propose(store, "one", 0, "ordinary")
	var unavailable *persister.UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

func TestAConfigurationThatFailsTheCheckIsNotAccepted(t *testing.T) {
	store := standin.NewStore()
	errInvalid := errors.New("invalid configuration")
	a := acceptor.New(acceptor.Config{Store: store, Check: func(*pollencrank.Configuration) error { return errInvalid }})
	_, err := a.Accept(context.Background(), acceptor.Proposal{OperationID: "one", Edit: func(c *pollencrank.Configuration) error {
		c.PresetInForce = "peak"
		return nil
	}})
	require.ErrorIs(t, err, errInvalid)
	require.Zero(t, store.Counts().Writes)
}

// Guards against a change of the preset that alters the client blocks, and
// against one that reads the state from the store although the accepted state
// is in memory.
func TestAChangeOfThePresetKeepsTheClientBlocks(t *testing.T) {
	store := standin.NewStore()
	configuration := standin.MakeConfiguration(standin.Size{Regions: 1, FailureDomains: 1, Locations: 2, Blocks: 50, Seed: 1})
	_, err := acceptor.New(acceptor.Config{Store: store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: "one", WithBlocks: true, Edit: func(c *pollencrank.Configuration) error {
			*c = *configuration
			return nil
		},
	})
	require.NoError(t, err)
	d := distributor.New(distributor.Config{})
	head, _ := inForce(t, store)
	require.True(t, d.ApplyChanges(head.Changes))
	reads := store.Counts().Reads
	_, err = acceptor.New(acceptor.Config{Store: store, Current: d.State}).Accept(context.Background(), acceptor.Proposal{
		OperationID: "two", Edit: func(c *pollencrank.Configuration) error {
			c.PresetInForce = "peak"
			return nil
		},
	})
	require.NoError(t, err)
	require.Equal(t, reads+1, store.Counts().Reads)
	head, preset := inForce(t, store)
	require.Equal(t, "peak", preset)
	require.Len(t, head.Changes[1].Items, 1)
	state, err := acceptor.Load(context.Background(), store, head)
	require.NoError(t, err)
	c, err := state.DecodeAll()
	require.NoError(t, err)
	require.ElementsMatch(t, configuration.ClientBlocks, c.ClientBlocks)
}

// BenchmarkAccept measures the acceptance of a change to a preset at the design
// size.
func BenchmarkAccept(b *testing.B) {
	store := standin.NewStore()
	a := acceptor.New(acceptor.Config{Store: store})
	_, err := a.Accept(context.Background(), acceptor.Proposal{OperationID: "first", WithBlocks: true,
		Edit: func(c *pollencrank.Configuration) error {
			*c = *standin.MakeConfiguration(standin.DesignSize)
			return nil
		}})
	require.NoError(b, err)
	d := distributor.New(distributor.Config{})
	head, _ := inForce(b, store)
	state, err := acceptor.Load(context.Background(), store, head)
	require.NoError(b, err)
	d.Replace(state)
	a = acceptor.New(acceptor.Config{Store: store, Current: d.State})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, err := a.Accept(context.Background(), acceptor.Proposal{OperationID: fmt.Sprint(i),
			Edit: func(c *pollencrank.Configuration) error {
				c.Presets[0].LookupCache += time.Millisecond
				return nil
			}})
		require.NoError(b, err)
		b.StopTimer()
		head, _ := headOf(b, store)
		d.ApplyChanges(head.Changes)
		b.StartTimer()
	}
}

func headOf(t require.TestingT, store *standin.Store) (*peerpb.Head, uint64) {
	object, err := store.Get(context.Background(), distributor.HeadKey)
	require.NoError(t, err)
	head, err := distributor.DecodeHead(object.Value)
	require.NoError(t, err)
	return head, object.Version
}

func TestTheSizeOfTheHeadIsBounded(t *testing.T) {
	store := standin.NewStore()
	for i := range 200 {
		_, err := propose(store, fmt.Sprint(i), 0, fmt.Sprint("preset-", i))
		require.NoError(t, err)
	}
	object, err := store.Get(context.Background(), distributor.HeadKey)
	require.NoError(t, err)
	require.Less(t, len(object.Value), 64<<10)
	snapshots, err := store.List(context.Background(), "config/snapshot/")
	require.NoError(t, err)
	require.Len(t, snapshots, 1, "snapshots to which the head no longer refers are deleted")
	_, preset := inForce(t, store)
	require.Equal(t, "preset-199", preset)
	history, err := acceptor.New(acceptor.Config{Store: store}).History(context.Background())
	require.NoError(t, err)
	require.Equal(t, pollencrank.Generation(200), history[len(history)-1].Generation)
}

func TestAProposalThatChangesNothingAddsNoGeneration(t *testing.T) {
	store := standin.NewStore()
	_, err := propose(store, "one", 0, "ordinary")
	require.NoError(t, err)
	accepted, err := propose(store, "two", 0, "ordinary")
	require.NoError(t, err)
	require.True(t, accepted.Unchanged)
	require.Equal(t, pollencrank.Generation(1), accepted.Generation)
}

// Operators repeat proposals with outdated expectations while answers are lost
// and the store has outages. Guards against an operation that is accepted as
// two generations, two operations that share one, and a newest generation that
// is not in force.
func TestEveryAcceptedOperationIsExactlyOneGeneration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			store := standin.NewStore()
			accepted := map[pollencrank.Generation]string{}
			newest := pollencrank.Generation(0)
			for i := range rapid.IntRange(1, 30).Draw(rt, "proposals") {
				switch rapid.IntRange(0, 4).Draw(rt, "fault") {
				case 0:
					store.LoseAnswers(1)
				case 1:
					store.SetDown(true)
					time.AfterFunc(300*time.Millisecond, func() { store.SetDown(false) })
				}
				operation := fmt.Sprint("operation-", rapid.IntRange(0, i).Draw(rt, "operation"))
				expect := pollencrank.Generation(rapid.IntRange(0, int(newest)).Draw(rt, "expect"))
				result, err := propose(store, operation, expect, "preset of "+operation)
				store.LoseAnswers(0)
				if err != nil || result.Unchanged {
					continue
				}
				if other, ok := accepted[result.Generation]; ok {
					require.Equal(rt, other, operation, "generation %d", result.Generation)
				}
				accepted[result.Generation] = operation
				newest = max(newest, result.Generation)
			}
			time.Sleep(time.Second)
			if newest > 0 {
				head, preset := inForce(rt, store)
				require.GreaterOrEqual(rt, head.Generation, uint64(newest))
				if head.Generation == uint64(newest) {
					require.Equal(rt, "preset of "+accepted[newest], preset)
				}
			}
		})
	})
}
