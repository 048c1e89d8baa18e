package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/apportioner"
)

func TestARestartOfTheWholeFleetIsFound(t *testing.T) {
	for _, test := range []struct {
		name           string
		others, young  int
		isSelfEarlier  bool
		old            time.Duration
		isOutdated     bool
		age            time.Duration
		isFound, hasNo bool
	}{
		{name: "half have answered", others: 5, young: 3, isSelfEarlier: true, isFound: true},
		{name: "fewer have answered", others: 5, young: 2, isSelfEarlier: true},
		{name: "a large fleet", others: 649, young: 32, isSelfEarlier: true, isFound: true},
		{name: "one has run for long", others: 5, young: 4, isSelfEarlier: true, old: 10 * time.Second},
		{name: "own entry is missing or pending", others: 5, young: 5},
		{name: "nobody else is listed", isSelfEarlier: true, isFound: true},
		{name: "an earlier copy of the store", others: 5, young: 5, isSelfEarlier: true, isOutdated: true},
		{name: "too late", others: 5, young: 5, isSelfEarlier: true, age: time.Minute},
		{name: "no list of the store", young: 5, hasNo: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := apportioner.Restart{}
			for n := range test.young {
				r.ObserveUptime(fmt.Sprint(n), time.Second)
				r.ObserveUptime(fmt.Sprint(n), 2*time.Second)
			}
			if test.old > 0 {
				r.ObserveUptime("old", test.old)
			}
			if test.isOutdated {
				r.RuleOut()
			}
			if !test.hasNo {
				r.ObserveList(test.others, test.isSelfEarlier)
				r.ObserveList(0, true)
			}
			require.Equal(t, test.isSelfEarlier && !test.hasNo && test.old == 0 && !test.isOutdated, r.IsPossible(), "others are asked")
			require.Equal(t, test.isFound, r.IsFound(test.age))
			require.False(t, r.IsFound(test.age), "it is reported once")
		})
	}
}

// Guards against quotas that nobody holds for seconds after a loss of power, and against
// parts that are held early by whoever got them later.
func TestAnInstanceThatResumesHoldsAtOnce(t *testing.T) {
	members := regionMembers(9)
	holders := settled(members[0], members).Division("tenant-1", start).Holders
	resumed := func() *apportioner.Membership {
		m := apportioner.NewMembership(apportioner.MembershipConfig{Self: holders[0], StartedAt: start})
		m.Set(members, start.Add(200*time.Millisecond))
		m.Confirm(start.Add(300 * time.Millisecond))
		return m
	}
	now := start.Add(400 * time.Millisecond)
	m := resumed()
	require.False(t, m.Division("tenant-1", now).IsHolder)
	m.Resume()
	held := m.Division("tenant-1", now)
	require.True(t, held.IsHolder)
	require.Equal(t, start, held.From, "the bucket is empty as of the start")
	_, isHolder := m.HeldSince("tenant-1", 3, now)
	require.False(t, isHolder, "other bounds wait")
	require.False(t, m.Division("tenant-1", now.Add(1200*time.Millisecond)).IsHolder, "it has heard nobody since")

	for name, disturb := range map[string]func(m *apportioner.Membership){
		"a suspension": func(m *apportioner.Membership) { m.RecordSuspension(now) },
		"an absence": func(m *apportioner.Membership) {
			m.Set(members[:0], now)
			m.Set(members, now)
		},
	} {
		m = resumed()
		m.Resume()
		disturb(m)
		m.Confirm(now)
		require.False(t, m.Division("tenant-1", now).IsHolder, name)
	}

	// The holder's successor waits, although it has resumed.
	left := make([]apportioner.Member, 0, len(members))
	for _, member := range members {
		if member.ID != holders[0].ID {
			left = append(left, member)
		}
	}
	for _, member := range left {
		m := apportioner.NewMembership(apportioner.MembershipConfig{Self: member, StartedAt: start})
		m.Set(members, start)
		m.Resume()
		before := m.Division("tenant-1", start).IsHolder
		for elapsed := time.Duration(0); elapsed < 3200*time.Millisecond; elapsed += 50 * time.Millisecond {
			m.Confirm(start.Add(elapsed))
			m.Set(left, start.Add(elapsed))
			require.Equal(t, before, m.Division("tenant-1", start.Add(elapsed)).IsHolder)
		}
	}
}
