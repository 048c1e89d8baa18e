package soaker

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

// fixture is a ledger with one undisturbed instance and two accepted configurations.
type fixture struct {
	*ledger
	instance *process
}

func newFixture() *fixture {
	s := &fixture{ledger: newLedger(), instance: &process{id: "entry-1"}}
	s.recordAccepted(1)
	s.recordAccepted(2)
	time.Sleep(time.Minute)
	return s
}

func (s *fixture) send(id, path string, isOrder bool) *sentAttempt {
	return s.beginAttempt(imitator.Attempt{ID: id, Path: path, IsNonIdempotent: isOrder}, s.instance)
}

func (s *fixture) run(a *sentAttempt, server string) {
	s.recordRun(imitator.Run{Server: server, RequestID: a.ID, Path: a.Path, At: time.Now()})
}

var (
	served   = imitator.Reply{Status: http.StatusOK, IsGenuine: true}
	refused  = imitator.Reply{Status: http.StatusServiceUnavailable}
	notFound = imitator.Reply{Status: http.StatusNotFound}
	cut      = imitator.Reply{Err: errors.New("unexpected EOF")}
)

// Checks that the ledger reports each broken promise exactly once, and that similar but
// permitted sequences of events are not reported.
func TestLedgerReportsBrokenPromises(t *testing.T) {
	cases := map[string]struct {
		steps          func(s *fixture)
		violationCount int
	}{
		"a served request": {func(s *fixture) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.endAttempt(a, served)
		}, 0},
		"an order that ran twice": {func(s *fixture) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.run(a, "s2")
		}, 1},
		"a look-up that ran twice": {func(s *fixture) {
			a := s.send("a", "/lookup/1", false)
			s.run(a, "s1")
			s.run(a, "s2")
		}, 0},
		"a refused order that had run": {func(s *fixture) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.endAttempt(a, refused)
		}, 1},
		"a refused order that runs later": {func(s *fixture) {
			a := s.send("a", "/order/1", true)
			s.endAttempt(a, refused)
			s.run(a, "s1")
		}, 1},
		"an answer that is not the caller's": {func(s *fixture) {
			s.endAttempt(s.send("a", "/lookup/1", false), imitator.Reply{Status: http.StatusOK})
		}, 1},
		"a run of a request that was never sent": {func(s *fixture) {
			s.recordRun(imitator.Run{Server: "s1", RequestID: "x", At: time.Now()})
		}, 1},
		"a changed path": {func(s *fixture) {
			a := s.send("a", "/lookup/1", false)
			s.recordRun(imitator.Run{Server: "s1", RequestID: "a", Path: a.Path + "0", At: time.Now()})
		}, 1},
		"a request to a server past the drain bound": {func(s *fixture) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 1},
		"a request to a draining server through a suspended instance": {func(s *fixture) {
			s.forbid("s1", drainBound)
			s.instance.disturbances.add(time.Now().Add(recoveryTime))
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"a request to a draining server while the store is unavailable": {func(s *fixture) {
			s.disturbances.add(time.Now().Add(time.Minute))
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"a request to a draining server when the store failed after the drain bound": {func(s *fixture) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.disturbances.add(time.Now().Add(time.Minute))
			time.Sleep(time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 1},
		"a request to a draining server on a link that held data back": {func(s *fixture) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.disturbLink("s1", time.Now().Add(recoveryTime))
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"a new route that is not found": {func(s *fixture) {
			s.endAttempt(s.send("a", "/v2/1", false), notFound)
		}, 1},
		"a route that was just added and is not found yet": {func(s *fixture) {
			s.recordAccepted(3)
			s.endAttempt(s.send("a", "/v3/1", false), notFound)
		}, 0},
		"a configuration that reverts": {func(s *fixture) {
			s.recordAccepted(3)
			s.run(s.send("a", "/v3/1", false), "s1")
			s.endAttempt(s.send("b", "/v3/1", false), notFound)
		}, 1},
		"a route that is served while an earlier request has not found it yet": {func(s *fixture) {
			s.recordAccepted(3)
			early := s.send("b", "/v3/1", false)
			time.Sleep(time.Millisecond)
			s.run(s.send("a", "/v3/1", false), "s1")
			s.endAttempt(early, notFound)
		}, 0},
		"a dropped route that is served": {func(s *fixture) {
			s.recordAccepted(3)
			time.Sleep(time.Minute)
			s.run(s.send("a", "/v1/1", false), "s1")
		}, 1},
		"a route that was just dropped and is still served": {func(s *fixture) {
			s.recordAccepted(3)
			s.run(s.send("a", "/v1/1", false), "s1")
		}, 0},
		"a permanent route that is not found": {func(s *fixture) {
			s.endAttempt(s.send("a", "/lookup/1", false), notFound)
		}, 1},
		"an answer that a planned stop cut off": {func(s *fixture) {
			a := s.send("a", "/lookup/1", false)
			s.run(a, "s1")
			s.checkPlannedStop(a, cut)
		}, 1},
		"a request that a planned stop cut off before it ran": {func(s *fixture) {
			s.checkPlannedStop(s.send("a", "/lookup/1", false), cut)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture()
				c.steps(s)
				_, violations := s.result()
				require.Len(t, violations, c.violationCount, "%v", violations)
			})
		})
	}
}
