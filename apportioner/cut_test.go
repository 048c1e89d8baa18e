package apportioner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/apportioner"
)

// withoutRegion returns the members of the other regions.
func withoutRegion(members []apportioner.Member, region string) []apportioner.Member {
	var left []apportioner.Member
	for _, m := range members {
		if m.Region != region {
			left = append(left, m)
		}
	}
	return left
}

// Guards against a region that is cut off as a whole, hears itself, and holds its parts
// beside their successors. While the store is away for all, everybody goes on.
func TestPartsOfAGroupThatIsCutOffEndBeforeTheirSuccessorsBegin(t *testing.T) {
	members := regionMembers(30)
	for _, isCut := range []bool{true, false} {
		isCutOff := false
		instances := map[string]*apportioner.Membership{}
		began := start.Add(-time.Minute)
		for _, self := range members {
			config := apportioner.MembershipConfig{Self: self, StartedAt: began}
			if self.Region == "1" {
				config.MayBeIsolated = func() bool { return isCutOff }
			}
			m := apportioner.NewMembership(config)
			m.Set(members, began)
			instances[self.ID] = m
		}
		most := 0
		for elapsed := -time.Minute; elapsed < 20*time.Second; elapsed += 50 * time.Millisecond {
			now := start.Add(elapsed)
			isCutOff = isCut && elapsed > 1600*time.Millisecond && elapsed < 10*time.Second
			for _, self := range members {
				m := instances[self.ID]
				m.Confirm(now)
				if elapsed < 0 || (isCut && (self.Region != "1" || elapsed >= 10*time.Second)) {
					m.ConfirmStore(now)
				}
				if isCut && self.Region != "1" && elapsed >= 1800*time.Millisecond && elapsed < 10*time.Second {
					m.Set(withoutRegion(members, "1"), now)
				}
				if isCut && elapsed >= 11800*time.Millisecond {
					m.Set(members, now)
				}
				m.Sweep(now)
			}
			if elapsed < -50*time.Second {
				continue
			}
			for _, bound := range []string{"tenant-1", "tenant-2", "tenant-3"} {
				holders := 0
				for _, m := range instances {
					if m.Division(bound, now).IsHolder {
						holders++
					}
				}
				most = max(most, holders)
				if !isCut {
					require.Equal(t, 3, holders, elapsed)
				}
				require.LessOrEqual(t, holders, 3, elapsed)
			}
		}
		require.Equal(t, 3, most)
	}
}

// When one of two dies, the other one goes on holding its own part: the store answers it.
func TestTheSurvivorOfTwoGoesOn(t *testing.T) {
	members := regionMembers(2)
	m := settled(members[0], members)
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 500 * time.Millisecond {
		now := start.Add(elapsed)
		if elapsed%(3500*time.Millisecond) == 0 {
			m.Confirm(now)
			m.ConfirmStore(now)
		}
		if elapsed >= 3*time.Second {
			m.Set(members[:1], now)
		}
		m.Sweep(now)
		require.True(t, m.Division("tenant-1", now).IsHolder, elapsed)
	}
}

// Guards against two views of the holders: one that starts again in another region moves for
// all.
func TestAMemberMayMoveToAnotherRegion(t *testing.T) {
	members := regionMembers(9)
	m := settled(members[0], members)
	before := m.Division("tenant-1", start).Holders
	for i := range members {
		if members[i].ID == before[1].ID {
			members[i].Region = before[0].Region
		}
	}
	m.Set(members, start)
	require.Equal(t, settled(members[0], members).Division("tenant-1", start).Holders, m.Division("tenant-1", start).Holders)
}
