package hoster_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/imitator"
	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
)

const instancesKind = "pollencrank-instances"

// Guards against look-ups that go on naming an instance which was removed while the store was
// away: nobody tried again to remove its entry when the store was back.
func TestAnInstanceThatEndsWhileTheStoreIsAwayIsRemovedWhenItReturns(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 1, "/x/")
	entries := []*entry{s.startRegistered(t, "entry-1"), s.startRegistered(t, "entry-2"), s.startRegistered(t, "entry-3")}
	eventually(t, "look-ups name all", func() bool { return named(t, entries[0], entries[2]) })

	s.InjectFaults(imitator.StoreFaults{IsUnavailable: true})
	for _, e := range entries {
		eventually(t, "the outage is noticed", func() bool { return e.log.has(recorder.EventStoreUnavailable) })
	}
	entries[2].stop()
	<-entries[2].done
	for _, e := range entries[:2] {
		eventually(t, "the death is noticed", func() bool { return e.log.has(recorder.EventInstanceUnreachable) })
	}
	require.True(t, s.Has(instancesKind, "entry-3"), "the store was away all the while")

	s.InjectFaults(imitator.StoreFaults{})
	eventually(t, "removed", func() bool { return !s.Has(instancesKind, "entry-3") })
	require.True(t, s.Has(instancesKind, "entry-1"))
	require.True(t, s.Has(instancesKind, "entry-2"))
}

// Guards against an entry that stays because the leaving instance called the store only once,
// at the begin of its stop, in an outage that ended before the stop.
func TestALeavingInstanceRemovesItsEntryWhenTheStoreReturns(t *testing.T) {
	s := newPlatformStore(t)
	e := s.startRegistered(t, "entry-1")
	s.stopInOutage(t, e)
	s.InjectFaults(imitator.StoreFaults{})
	<-e.done
	require.False(t, s.Has(instancesKind, "entry-1"))
}

// Guards against an entry that is written by a call without an answer, which the store executes
// after the leaving instance has removed its entry.
func TestALeavingInstanceRemovesAnEntryThatIsWrittenLate(t *testing.T) {
	s := newPlatformStore(t)
	e := s.startRegistered(t, "entry-1")
	e.stop()
	eventually(t, "removed", func() bool { return !s.Has(instancesKind, "entry-1") })
	s.putInstance(t, e, e.Incarnation)
	<-e.done
	require.False(t, s.Has(instancesKind, "entry-1"))
}

// Guards against an instance that removes the entry of its own next start, which has begun
// before this one has ended.
func TestALeavingInstanceKeepsTheEntryOfItsNextStart(t *testing.T) {
	s := newPlatformStore(t)
	e := s.startRegistered(t, "entry-1")
	s.stopInOutage(t, e)
	s.putInstance(t, e, e.Incarnation+1)
	s.InjectFaults(imitator.StoreFaults{})
	<-e.done
	require.True(t, s.Has(instancesKind, "entry-1"))
}

// startRegistered starts an instance and waits for its entry.
func (s *platformStore) startRegistered(t *testing.T, id string) *entry {
	t.Helper()
	e := s.start(t, id)
	eventually(t, "registered", func() bool { return s.Has(instancesKind, id) })
	return e
}

// stopInOutage begins a planned stop while the store is away, which it stays.
func (s *platformStore) stopInOutage(t *testing.T, e *entry) {
	t.Helper()
	s.InjectFaults(imitator.StoreFaults{IsUnavailable: true})
	e.stop()
	eventually(t, "a call has failed", func() bool { return e.log.has(recorder.EventRegistrationFailed) })
}

// putInstance writes the entry of a start of an instance.
func (s *platformStore) putInstance(t *testing.T, e *entry, incarnation uint64) {
	t.Helper()
	require.NoError(t, s.Put(instancesKind, e.ID, wire.Instance{
		CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain, Region: e.Region, Incarnation: incarnation,
	}))
}

// named reports whether the look-ups of an instance name another one.
func named(t *testing.T, asked, other *entry) bool {
	t.Helper()
	return strings.Contains(asked.lookup(t), other.CallerAddress)
}
