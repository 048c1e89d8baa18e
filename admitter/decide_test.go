package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/admitter"
)

const ms = time.Millisecond

func newAdmitter() *admitter.Admitter {
	return admitter.New(admitter.Config{Random: func() float64 { return 0.5 }})
}

// newRequest returns a request that asks for room at epoch.
func newRequest(priority int, objective, wait, work time.Duration) *admitter.Request {
	return &admitter.Request{
		Kind: "k", Service: "parts", Priority: priority, ArrivedAt: epoch, ObjectiveAt: epoch.Add(objective),
		Deadline: epoch.Add(2 * time.Second), Expected: wait + work, Wait: wait, Work: work,
	}
}

// What is expected of an idle server is only an estimate, so that it refuses nothing.
func TestFreeRoomIsUsedWhateverIsExpected(t *testing.T) {
	r := newRequest(1, 300*ms, 0, 3*time.Second)
	require.Equal(t, admitter.Run, newAdmitter().Decide(r, epoch).Verdict)
	r.Wait = ms
	decision := newAdmitter().Decide(r, epoch)
	require.Equal(t, admitter.Refuse, decision.Verdict)
	require.Equal(t, admitter.CauseDeadline, decision.Cause)
}

// record counts requests of a rank, of which some were served.
func record(a *admitter.Admitter, r *admitter.Request, asked, served int) {
	for i := range asked {
		a.Arrive(r, epoch)
		if i < served {
			a.Start(r, epoch)
		}
	}
}

// longestWait returns the longest queue that a request of a rank may join.
func longestWait(a *admitter.Admitter, r *admitter.Request) time.Duration {
	work := r.Work
	for wait := time.Second; wait > 0; wait -= ms {
		r.Wait, r.Expected = wait, wait+work
		if a.Decide(r, epoch).Verdict == admitter.Run {
			return wait
		}
	}
	return 0
}

// ranks returns a request for each of some priorities.
func ranks(n int) []*admitter.Request {
	requests := make([]*admitter.Request, n)
	for priority := range requests {
		requests[priority] = newRequest(priority, 300*ms, 0, 20*ms)
		requests[priority].Kind = string(rune('a' + priority))
	}
	return requests
}

func TestBeingAheadShortensTheQueueHoweverManyAreMoreUrgent(t *testing.T) {
	for _, urgent := range []int{20, 60, 200} {
		even, ahead, r := newAdmitter(), newAdmitter(), ranks(2)
		record(even, r[0], urgent, urgent)
		record(ahead, r[0], urgent, urgent/2)
		record(even, r[1], 40, 40)
		record(ahead, r[1], 40, 40)
		require.LessOrEqual(t, longestWait(ahead, r[1]), longestWait(even, r[1])/4+ms)
	}
}

func TestARankThatIsBehindMayWaitHalfOfItsObjective(t *testing.T) {
	a, r := newAdmitter(), ranks(3)
	record(a, r[0], 80, 80)
	record(a, r[1], 40, 20)
	record(a, r[2], 20, 20)
	require.Equal(t, 150*ms, longestWait(a, r[1]))
	record(a, r[0], 160, 0)
	require.Less(t, longestWait(a, r[1]), 150*ms, "it is ahead of a more urgent one as well")
}

// Between two computations of the fair share, what tenants are served counts for the total too.
func TestServedWorkBetweenTwoComputationsOfTheShare(t *testing.T) {
	for _, tenants := range []int{1, 2} {
		a, r := newAdmitter(), ranks(2)
		for i := range tenants {
			r[i].Tenant = string(rune('a' + i))
			record(a, r[i], 200, 50)
		}
		now := epoch.Add(100 * ms)
		require.False(t, a.Standing(r[0], now).IsOverShare)
		for range 20 {
			for i := range tenants {
				a.Start(r[i], now)
			}
		}
		require.False(t, a.Standing(r[0], now).IsOverShare, "all %d tenants were served alike", tenants)
		for range 50 {
			a.Start(r[0], now)
		}
		require.Equal(t, tenants > 1, a.Standing(r[0], now).IsOverShare)
	}
}

// Shares and ranks bind a request without a latency objective too.
func TestARequestWithoutAnObjectiveSkipsNoRule(t *testing.T) {
	a, r := newAdmitter(), ranks(2)
	r[1].ObjectiveAt = time.Time{}
	record(a, r[0], 60, 30)
	record(a, r[1], 60, 60)
	a.Standing(r[1], epoch.Add(100*ms))
	require.Less(t, longestWait(a, r[1]), 75*ms)
}

// A request waits no longer than the deadline leaves beside its work.
func TestAWaitLeavesTimeBeforeTheDeadline(t *testing.T) {
	a, r := newAdmitter(), ranks(2)
	for i, served := range []int{150, 50} {
		r[i].Tenant = string(rune('a' + i))
		record(a, r[i], 200, served)
	}
	require.True(t, a.Standing(r[0], epoch.Add(100*ms)).IsOverShare)
	late := *r[0]
	late.ObjectiveAt, late.Deadline = epoch.Add(time.Second), epoch.Add(390*ms)
	late.Expected, late.Wait = 380*ms, 30*ms
	decision := a.Decide(&late, epoch)
	require.Equal(t, admitter.Wait, decision.Verdict)
	require.Equal(t, epoch.Add(40*ms), decision.At)
}

// A start that is revoked leaves the usages as if it had not been.
func TestARevokedStartIsNotServed(t *testing.T) {
	a, r := newAdmitter(), ranks(2)
	for i := range r {
		r[i].Tenant = string(rune('a' + i))
		record(a, r[i], 40, 20)
	}
	now := epoch.Add(100 * ms)
	for range 30 {
		a.Start(r[1], now)
	}
	require.True(t, a.Standing(r[1], now).IsOverShare)
	require.True(t, a.Standing(r[0], now).GoesFirst)
	for range 30 {
		a.Revoke(r[1], now)
	}
	require.Equal(t, admitter.Standing{}, a.Standing(r[0], now))
	require.Equal(t, admitter.Standing{}, a.Standing(r[1], now))
}

// Where few requests meet a queue, a late one delays nobody; where all do, it must be in time.
func TestTheQueueIsShorterTheMoreMeetOne(t *testing.T) {
	few, all, r := newAdmitter(), newAdmitter(), ranks(1)
	record(few, r[0], 100, 100)
	require.Equal(t, 430*ms, longestWait(few, r[0]))
	r[0].Wait = ms
	record(all, r[0], 100, 100)
	require.Equal(t, 280*ms, longestWait(all, r[0]))
}

// Callers that are refused together come back over a time, from when the queue is short enough.
func TestReturnsAreSpread(t *testing.T) {
	random := 0.0
	a := admitter.New(admitter.Config{Random: func() float64 { return random }})
	r := newRequest(1, 300*ms, 500*ms, 20*ms)
	require.Equal(t, epoch.Add(220*ms), a.ReturnAt(r, epoch))
	random = 0.5
	require.WithinDuration(t, epoch.Add((220*ms+2*time.Second/3)/2), a.ReturnAt(r, epoch), ms)
	r.Wait, r.Expected, random = 0, 20*ms, 0
	require.Equal(t, epoch.Add(150*ms), a.ReturnAt(r, epoch))
	r.Deadline, random = epoch.Add(time.Minute), 1
	require.Equal(t, epoch.Add(1500*ms), a.ReturnAt(r, epoch))
}
