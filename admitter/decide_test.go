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
