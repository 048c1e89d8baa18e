package forwarder_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
)

// Guards against FAILBACK: a server that starts again under its ID, of which the store says
// nothing, gets all requests of all instances until it has answered the first ones.
func TestAServerThatReturnsIsNotFloodedBeforeItsFirstAnswer(t *testing.T) { requireNoFlood(t, 8) }

// The same for larger fleets.
func TestAServerThatReturnsIsNotFloodedByManyInstances(t *testing.T) {
	for _, instances := range []int{12, 61, 650} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) { requireNoFlood(t, instances) })
	}
}

// returnWarmup is how long the server is cold after its return, by the service's
// configuration.
const returnWarmup = 3 * time.Second

// requireNoFlood checks what all instances together send in any second to a server that is
// unreachable and returns cold, as long as it is cold.
func requireNoFlood(t *testing.T, instances int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		returnsAt := time.Now().Add(3 * time.Second)
		var mu sync.Mutex
		var arrivals []time.Time
		var fleet []*system
		var memberships []*apportioner.Membership
		for i := range instances {
			m := newMembership(i, instances, time.Now().Add(-time.Minute), time.Now())
			one := newInstance(t, m, fleetRetries, nil)
			one.setServers(server("n-1", "north"))
			one.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
				if time.Now().Before(returnsAt) {
					return nil, pollencrank.NotRun(pollencrank.ReasonServerUnreachable, "refused")
				}
				mu.Lock()
				if time.Now().Before(returnsAt.Add(returnWarmup)) {
					arrivals = append(arrivals, time.Now())
				}
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				return soundAnswer(server, request), nil
			}
			one.sender.probe = func(string) error {
				if time.Now().Before(returnsAt) {
					return errors.New("refused")
				}
				return nil
			}
			fleet, memberships = append(fleet, one), append(memberships, m)
		}
		defer confirmPeriodically(memberships)()
		var calls sync.WaitGroup
		requests := 700
		if instances > 100 {
			requests = 100 * instances
		}
		for i := range requests {
			calls.Go(func() { _, _ = fleet[i%instances].forwardRequest(t.Context(), fmt.Sprint("object-", i%30)) })
			time.Sleep(7 * time.Second / time.Duration(requests))
		}
		calls.Wait()
		most := 0
		for _, begin := range arrivals {
			count := 0
			for _, at := range arrivals {
				if !at.Before(begin) && at.Sub(begin) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		require.NotEmpty(t, arrivals)
		require.LessOrEqual(t, most, 6*3/2+5)
	})
}

// The instances that may send nothing to a server that returns learn by a probe that it is
// back, and use it once it is warm.
func TestAServerThatReturnsIsUsedByAllInstancesOnceItIsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 12
		isDown := true
		var mu sync.Mutex
		refuse := func() error {
			mu.Lock()
			defer mu.Unlock()
			if isDown {
				return pollencrank.NotRun(pollencrank.ReasonServerUnreachable, "refused")
			}
			return nil
		}
		var fleet []*system
		var memberships []*apportioner.Membership
		for i := range instances {
			m := newMembership(i, instances, time.Now().Add(-time.Minute), time.Now())
			one := newInstance(t, m, fleetRetries, nil)
			one.setServers(server("n-1", "north"))
			one.sender.probe = func(string) error { return refuse() }
			one.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
				if err := refuse(); err != nil {
					return nil, err
				}
				return soundAnswer(server, request), nil
			}
			fleet, memberships = append(fleet, one), append(memberships, m)
		}
		defer confirmPeriodically(memberships)()
		time.Sleep(3 * time.Second)
		ask := func() (served int) {
			for _, one := range fleet {
				if _, err := one.forwardRequest(t.Context(), "17"); err == nil {
					served++
				}
			}
			return served
		}
		require.Zero(t, ask())
		mu.Lock()
		isDown = false
		mu.Unlock()
		time.Sleep(time.Second)
		ask()
		time.Sleep(returnWarmup)
		require.Equal(t, instances, ask())
	})
}
