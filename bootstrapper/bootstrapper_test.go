package bootstrapper_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/bootstrapper"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

func snapshot(version uint64) bootstrapper.Snapshot {
	return bootstrapper.Snapshot{Configuration: router.Configuration{Version: version}}
}

func TestASnapshotArrivesWholeAndByTheReadersClock(t *testing.T) {
	sent := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	read := sent.Add(-time.Hour)
	original := bootstrapper.Snapshot{
		TakenAt: sent,
		Configuration: router.Configuration{
			Version:  7,
			Routes:   []router.Route{{Name: "r", Timeout: time.Second, Shares: []router.Share{{Service: "parts", Weight: 1}}}},
			Services: map[string]router.Service{"parts": {Name: "parts", ColdRate: 6}},
		},
		Servers: []registrar.Server{
			{ID: "cold", ColdUntil: sent.Add(2 * time.Second)},
			{ID: "warm", IsLeaving: true},
		},
		Evacuations: []registrar.Evacuation{{FailureDomain: "north-1"}},
		Instances:   []namer.Instance{{ID: "entry-1", Incarnation: 9}},
	}
	var encoded bytes.Buffer
	require.NoError(t, bootstrapper.Encode(&encoded, original))
	decoded, err := bootstrapper.Decode(&encoded, read)
	require.NoError(t, err)
	require.Equal(t, original.Configuration, decoded.Configuration)
	require.Equal(t, original.Evacuations, decoded.Evacuations)
	require.Equal(t, original.Instances, decoded.Instances)
	require.Equal(t, read.Add(2*time.Second), decoded.Servers[0].ColdUntil)
	require.True(t, decoded.Servers[1].IsLeaving)
	require.True(t, decoded.Servers[1].ColdUntil.IsZero())
}

func FuzzDecode(f *testing.F) {
	var encoded bytes.Buffer
	require.NoError(f, bootstrapper.Encode(&encoded, snapshot(1)))
	f.Add(encoded.Bytes())
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = bootstrapper.Decode(bytes.NewReader(data), time.Now())
	})
}

// peers answers by address, after a while.
type peers map[string]struct {
	bootstrapper.Snapshot
	after time.Duration
	err   error
}

func (p peers) ask(ctx context.Context, address string) (bootstrapper.Snapshot, error) {
	select {
	case <-time.After(p[address].after):
		return p[address].Snapshot, p[address].err
	case <-ctx.Done():
		return bootstrapper.Snapshot{}, ctx.Err()
	}
}

func TestFetchPrefersTheNewestConfiguration(t *testing.T) {
	errDown := errors.New("down")
	cases := map[string]struct {
		peers peers
		want  uint64
	}{
		"the newest of those that come together": {peers{"a": {Snapshot: snapshot(3)}, "b": {Snapshot: snapshot(5), after: 100 * time.Millisecond}}, 5},
		"one that is late is not waited for":     {peers{"a": {Snapshot: snapshot(3)}, "b": {Snapshot: snapshot(5), after: time.Minute}}, 3},
		"one that is down does not matter":       {peers{"a": {err: errDown}, "b": {Snapshot: snapshot(5), after: time.Second}}, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, err := bootstrapper.Fetch(t.Context(), c.peers.ask, []string{"a", "b"})
				require.NoError(t, err)
				require.Equal(t, c.want, got.Configuration.Version)
			})
		})
	}
}

func TestFetchFailsIfNobodyCanTell(t *testing.T) {
	_, err := bootstrapper.Fetch(t.Context(), peers{}.ask, nil)
	require.Error(t, err)
	errDown := errors.New("down")
	_, err = bootstrapper.Fetch(t.Context(), peers{"a": {err: errDown}}.ask, []string{"a"})
	require.ErrorIs(t, err, errDown)
}
