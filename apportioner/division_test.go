package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/apportioner"
)

// regionMembers returns members of three regions.
func regionMembers(size int) []apportioner.Member {
	var members []apportioner.Member
	for i := range size {
		members = append(members, apportioner.Member{ID: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint(i % 6), Region: fmt.Sprint(i % 3)})
	}
	return members
}

// settled returns the membership of one of the members, that has settled at start.
func settled(self apportioner.Member, members []apportioner.Member) *apportioner.Membership {
	began := start.Add(-time.Minute)
	m := apportioner.NewMembership(apportioner.MembershipConfig{Self: self, StartedAt: began})
	m.Set(members, began)
	for at := began; !at.After(start); at = at.Add(time.Second) {
		m.Confirm(at)
	}
	return m
}

func TestABoundIsSpreadOverTheRegions(t *testing.T) {
	members := regionMembers(69)
	chosen := map[string]int{}
	for n := range 77 {
		bound := fmt.Sprint("tenant-", n)
		held := settled(members[0], members).Division(bound, start)
		require.Equal(t, 3, held.Parts)
		regions := map[string]bool{}
		for _, holder := range held.Holders {
			regions[holder.Region] = true
			chosen[holder.ID]++
			require.True(t, settled(holder, members).Division(bound, start).IsHolder)
		}
		require.Len(t, regions, 3)
	}
	require.Greater(t, len(chosen), 60, "all instances share the work")
	require.Equal(t, 2, settled(members[0], members[:2]).Division("tenant-1", start).Parts)
}

// Guards against a part that two instances hold at the same time: one that was removed, has
// heard only from others that did not know either, and is cut off then; and its successor.
func TestAPartIsHeldByOneInstanceAtATime(t *testing.T) {
	members := regionMembers(9)
	const bound, lastContact = "tenant-1", 1900 * time.Millisecond
	earlier := settled(members[0], members).Division(bound, start).Holders[0]
	left := make([]apportioner.Member, 0, len(members))
	for _, m := range members {
		if m.ID != earlier.ID {
			left = append(left, m)
		}
	}
	removed := settled(earlier, members)
	successors := map[string]*apportioner.Membership{}
	for _, m := range left {
		successors[m.ID] = settled(m, members)
	}
	endedAt, begunAt := time.Duration(0), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		if elapsed <= lastContact {
			removed.Confirm(now)
		}
		if removed.Division(bound, now).IsHolder {
			endedAt = elapsed
		}
		holders := 0
		for _, m := range successors {
			m.Confirm(now)
			m.Set(left, now)
			if m.Division(bound, now).IsHolder {
				holders++
			}
		}
		if holders == 3 && begunAt == 0 {
			begunAt = elapsed
			require.Equal(t, 3, settled(left[0], left).Division(bound, now).Parts)
		}
	}
	require.Greater(t, endedAt, lastContact, "it may go on for a while")
	require.Greater(t, begunAt, endedAt)
	require.Less(t, begunAt, 4*time.Second)
}

// Changes that come together must not take the parts of those that go on holding them.
func TestAHolderGoesOnWhileOthersChange(t *testing.T) {
	members := regionMembers(69)
	holders := settled(members[0], members).Division("tenant-1", start).Holders
	m := settled(holders[0], members)
	before := m.Division("tenant-1", start)
	m.Set(append([]apportioner.Member{}, holders...), start)
	m.Confirm(start.Add(2 * time.Second))
	m.Sweep(start.Add(2 * time.Second))
	require.Equal(t, before, m.Division("tenant-1", start.Add(2*time.Second)))
	m.RecordSuspension(start.Add(2 * time.Second))
	require.False(t, m.Division("tenant-1", start.Add(2*time.Second)).IsHolder, "it does not know what happened meanwhile")
}

// A part grows only when nobody can act on the earlier view any more.
func TestPartsGrowLate(t *testing.T) {
	members := regionMembers(2)
	m := settled(members[0], members)
	require.Equal(t, 2, m.Division("tenant-1", start).Parts)
	m.Set(members[:1], start)
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += time.Second {
		m.Sweep(start.Add(elapsed))
		require.Equal(t, 2, m.Division("tenant-1", start.Add(elapsed)).Parts)
	}
	m.Sweep(start.Add(4 * time.Second))
	require.Equal(t, 1, m.Division("tenant-1", start.Add(4*time.Second)).Parts)
}

// Guards against a process that stood still and goes on as if it were alone.
func TestAnInstanceThatStoodStillHoldsNothing(t *testing.T) {
	members := regionMembers(1)
	m := settled(members[0], members)
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += time.Second {
		m.Sweep(start.Add(elapsed))
	}
	last := start.Add(3 * time.Second)
	require.True(t, m.Division("tenant-1", last).IsHolder)
	require.False(t, m.Division("tenant-1", last.Add(4*time.Second)).IsHolder, "it has not run")
	m.Sweep(last.Add(4 * time.Second))
	require.False(t, m.Division("tenant-1", last.Add(4*time.Second)).IsHolder, "others may hold by now")
}

// With fewer regions than parts, the rest of the holders follow by their scores.
func TestHoldersOfFewRegionsDiffer(t *testing.T) {
	for regions := range 3 {
		members := regionMembers(9)
		for i := range members {
			members[i].Region = fmt.Sprint(i % (regions + 1))
		}
		held := settled(members[0], members).Division("tenant-1", start)
		chosen, chosenRegions := map[string]bool{}, map[string]bool{}
		for _, holder := range held.Holders {
			chosen[holder.ID], chosenRegions[holder.Region] = true, true
		}
		require.Len(t, chosen, 3)
		require.Len(t, chosenRegions, regions+1)
	}
}
