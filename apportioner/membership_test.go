package apportioner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/apportioner"
)

func membersOf(size int) []apportioner.Member {
	var members []apportioner.Member
	for i := range size {
		members = append(members, apportioner.Member{ID: fmt.Sprint("entry-", i)})
	}
	return members
}

func TestAnInstanceHoldsNoShareBeforeTheSpanSinceItsStartHasPassed(t *testing.T) {
	const span = 10 * time.Second
	m := apportioner.NewMembership(apportioner.MembershipConfig{Self: apportioner.Member{ID: "entry-0"}, StartedAt: start})
	m.Set(membersOf(8), start)
	for at := start; at.Before(start.Add(span)); at = at.Add(time.Second) {
		m.Confirm(at)
		require.Zero(t, m.Share(span, at), "its previous start may have spent it")
	}
	require.InDelta(t, 1.0/8, m.Share(span, start.Add(span)), 1e-9)
	require.Zero(t, m.Share(span, start.Add(span+2*time.Second)), "it hears of nobody")
}

func TestAnInstanceThatIsNotListedHoldsNoShare(t *testing.T) {
	m := apportioner.NewMembership(apportioner.MembershipConfig{Self: apportioner.Member{ID: "entry-0"}, StartedAt: start})
	now := start.Add(time.Minute)
	require.Zero(t, m.Share(time.Second, now), "it knows nobody")
	m.Set(membersOf(8)[1:], now)
	require.Zero(t, m.Share(time.Second, now), "the others divide the bound without it")
	m.Set(membersOf(8), now)
	require.Zero(t, m.Share(time.Second, now), "the others do not know that it is back")
	for range 4 {
		now = now.Add(time.Second)
		m.Confirm(now)
	}
	require.NotZero(t, m.Share(time.Second, now))
}

func TestMembersThatAreGoneCountForTheSpan(t *testing.T) {
	m := apportioner.NewMembership(apportioner.MembershipConfig{Self: apportioner.Member{ID: "entry-0"}, StartedAt: start})
	m.Set(membersOf(8), start)
	now := start.Add(30 * time.Second)
	m.Set(membersOf(2), now)
	require.Equal(t, 2, m.Count(0, now))
	require.Equal(t, 8, m.Count(10*time.Second, now.Add(9*time.Second)), "they may have spent their shares")
	require.Equal(t, 2, m.Count(10*time.Second, now.Add(10*time.Second)))
	m.Set(membersOf(8), now.Add(time.Second))
	require.Equal(t, 8, m.Count(10*time.Second, now.Add(time.Second)), "a member that comes back counts once")
}

// drain lets instances perform a planned stop. They are no longer listed, and learn of it as
// late as they may; all others learn of it at once.
func (f *fleet) drain(ids []string) {
	for _, i := range f.instances {
		i.learnsAt = f.now
	}
	for _, id := range ids {
		i := f.instances[id]
		i.isListed = false
		i.learnsAt = f.now.Add(newsDelay)
		i.endsAt = f.now.Add(drainTime)
	}
}

// Guards against a limit that is used twice while holders leave: their successors must wait
// until those that leave have learned of it. Counted at the server, over all instances.
func TestSuccessorsOfHoldersThatLeaveWait(t *testing.T) {
	f := newFleet(20, 300)
	var leaving []string
	for range 6 {
		f.senders = map[string]bool{}
		f.advance(newsDelay)
		leaving = slices.DeleteFunc(slices.Sorted(maps.Keys(f.senders)), func(id string) bool { return slices.Contains(leaving, id) })
		f.drain(leaving)
	}
	require.NotEmpty(t, f.arrivals)
	f.requireBound(t)
}

// Guards against a limit that is used twice while instances are replaced: those that start
// know nothing of the ones they replace, and must wait until these have stopped. Counted at
// the server, over all instances.
func TestInstancesThatStartInPlaceOfOthersWait(t *testing.T) {
	const size = 3
	f := newFleet(20, size)
	for range 12 {
		f.advance(newsDelay)
		leaving := slices.DeleteFunc(f.ids(), func(id string) bool { return !f.instances[id].isListed })
		for range size {
			f.startInstance(f.now)
		}
		f.drain(leaving)
	}
	f.advance(2 * window)
	require.NotEmpty(t, f.arrivals)
	f.requireBound(t)
}
