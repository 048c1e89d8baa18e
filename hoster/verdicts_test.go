package hoster_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/imitator"
	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
)

// largeFleet is a number of instances of which some are no neighbours of others.
const largeFleet = 14

// startFleet starts instances whose look-ups name all of them, and takes the store away.
func (s *platformStore) startFleet(t *testing.T) []*entry {
	t.Helper()
	s.configure(t, 1, "/x/")
	var entries []*entry
	for n := range largeFleet {
		entries = append(entries, s.start(t, fmt.Sprintf("entry-%02d", n)))
	}
	for _, asked := range entries {
		eventually(t, "look-ups name all", func() bool {
			answer := asked.lookup(t)
			return !slices.ContainsFunc(entries, func(e *entry) bool { return !strings.Contains(answer, e.CallerAddress) })
		})
	}
	s.InjectFaults(imitator.StoreFaults{IsUnavailable: true})
	for _, e := range entries {
		eventually(t, "the outage is noticed", func() bool { return e.log.has(recorder.EventStoreUnavailable) })
	}
	return entries
}

// Guards against look-ups that go on naming an instance which has ended, because only its
// neighbours know of that and the others could learn it from the store alone.
func TestADeathIsKnownToAllWhileTheStoreIsAway(t *testing.T) {
	s := newPlatformStore(t)
	entries := s.startFleet(t)
	ended := entries[largeFleet/2]
	ended.stop()
	<-ended.done
	for _, asked := range entries {
		if asked != ended {
			eventually(t, "not named by "+asked.ID, func() bool { return !named(t, asked, ended) })
		}
	}
	require.True(t, s.Has(instancesKind, ended.ID), "the store was away all the while")
	for _, e := range entries {
		e.stop()
	}
}

// Guards against an instance that believes another one: what that says of an instance
// that answers changes nothing, and what cannot be read is refused.
func TestALiveInstanceIsNotDeadByWord(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	told, accused := s.startRegistered(t, "entry-1"), s.startRegistered(t, "entry-2")
	eventually(t, "look-ups name both", func() bool { return named(t, told, accused) })
	tell := func(body string) int {
		response, err := http.Post("http://"+told.PeerAddress+"/verdicts", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	body := fmt.Sprintf(`{"from":"entry-3","verdicts":[{"instance":"entry-2","incarnation":"%d","isDead":true}]}`, accused.Incarnation)
	require.Equal(t, http.StatusOK, tell(body))
	eventually(t, "refuted", func() bool { return told.log.has(recorder.EventVerdictRefuted) })
	require.True(t, named(t, told, accused))
	require.False(t, told.log.has(recorder.EventInstanceUnreachable))
	require.Equal(t, http.StatusBadRequest, tell(`{"from":"entry-3","verdicts":[{"instance":`))
}

// Guards against an answer to a probe that others cannot read, so that they take its sender
// for dead: they read 4 KiB.
func TestAnAnswerToAProbeStaysSmall(t *testing.T) {
	t.Run("many dead instances", func(t *testing.T) { requireReadableAnswers(t, 64, 20) })
	t.Run("host names as IDs", func(t *testing.T) { requireReadableAnswers(t, 253, 4) })
}

// requireReadableAnswers plays the death of many instances with IDs of a length. An answer to a
// probe must show some of them.
func requireReadableAnswers(t *testing.T, idLength, shown int) {
	const (
		dead     = 60
		maxBytes = 4 << 10
	)
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	closed := listen(t)
	closed.Close()
	for n := range dead {
		id := fmt.Sprintf("%s-%03d", strings.Repeat("a", idLength-len("-000")), n)
		require.NoError(t, s.Put(instancesKind, id, wire.Instance{
			CallerAddress: closed.Addr().String(), PeerAddress: closed.Addr().String(), FailureDomain: "north-a", Region: "north",
			Incarnation: math.MaxUint64,
		}))
	}
	e := s.startRegistered(t, "entry-1")
	// The entries cannot be removed, so that the deaths add up.
	s.InjectFaults(imitator.StoreFaults{IsUnavailable: true})
	eventually(t, "an answer shows as many as it may", func() bool {
		response, err := http.Get("http://" + e.PeerAddress + "/state")
		require.NoError(t, err)
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.LessOrEqual(t, len(answer), maxBytes)
		return strings.Count(string(answer), "isDead") >= shown && e.log.count(recorder.EventInstanceUnreachable) > dead/2
	})
}
