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

// scene is a ledger with one calm instance and two accepted configurations.
type scene struct {
	*ledger
	p *process
}

func newScene() *scene {
	s := &scene{ledger: newLedger(), p: &process{id: "entry-1"}}
	s.accepted(1)
	s.accepted(2)
	time.Sleep(time.Minute)
	return s
}

func (s *scene) send(id, path string, isOrder bool) *sent {
	return s.begin(imitator.Attempt{ID: id, Path: path, IsNonIdempotent: isOrder}, s.p)
}

func (s *scene) run(a *sent, server string) {
	s.ran(imitator.Run{Server: server, RequestID: a.ID, Path: a.Path, At: time.Now()})
}

var (
	served  = imitator.Reply{Status: http.StatusOK, IsGenuine: true}
	refused = imitator.Reply{Status: http.StatusServiceUnavailable}
	missing = imitator.Reply{Status: http.StatusNotFound}
	cut     = imitator.Reply{Err: errors.New("unexpected EOF")}
)

// Each promise is broken once, and everything that looks like it is not.
func TestTheLedgerTellsBrokenPromises(t *testing.T) {
	cases := map[string]struct {
		play   func(s *scene)
		broken int
	}{
		"a served request": {func(s *scene) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.end(a, served)
		}, 0},
		"an order that ran twice": {func(s *scene) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.run(a, "s2")
		}, 1},
		"a look-up that ran twice": {func(s *scene) {
			a := s.send("a", "/lookup/1", false)
			s.run(a, "s1")
			s.run(a, "s2")
		}, 0},
		"a refused order that had run": {func(s *scene) {
			a := s.send("a", "/order/1", true)
			s.run(a, "s1")
			s.end(a, refused)
		}, 1},
		"a refused order that runs later": {func(s *scene) {
			a := s.send("a", "/order/1", true)
			s.end(a, refused)
			s.run(a, "s1")
		}, 1},
		"an answer that is not the caller's": {func(s *scene) {
			s.end(s.send("a", "/lookup/1", false), imitator.Reply{Status: http.StatusOK})
		}, 1},
		"a request that nobody sent": {func(s *scene) {
			s.ran(imitator.Run{Server: "s1", RequestID: "x", At: time.Now()})
		}, 1},
		"a changed path": {func(s *scene) {
			a := s.send("a", "/lookup/1", false)
			s.ran(imitator.Run{Server: "s1", RequestID: "a", Path: a.Path + "0", At: time.Now()})
		}, 1},
		"work for a server that has left": {func(s *scene) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 1},
		"the same by an instance that was frozen": {func(s *scene) {
			s.forbid("s1", drainBound)
			s.p.disturbances.add(time.Now().Add(contactTime))
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"the same while the store is down": {func(s *scene) {
			s.disturbances.add(time.Now().Add(time.Minute))
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"the same when the store has been down after the news took effect": {func(s *scene) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.disturbances.add(time.Now().Add(time.Minute))
			time.Sleep(time.Second)
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 1},
		"the same on a link that was held": {func(s *scene) {
			s.forbid("s1", drainBound)
			time.Sleep(drainBound + time.Second)
			s.disturbLink("s1", time.Now().Add(contactTime))
			s.run(s.send("a", "/lookup/1", false), "s1")
		}, 0},
		"a new route that is missing": {func(s *scene) {
			s.end(s.send("a", "/v2/1", false), missing)
		}, 1},
		"a route that was just added": {func(s *scene) {
			s.accepted(3)
			s.end(s.send("a", "/v3/1", false), missing)
		}, 0},
		"a configuration that reverts": {func(s *scene) {
			s.accepted(3)
			s.run(s.send("a", "/v3/1", false), "s1")
			s.end(s.send("b", "/v3/1", false), missing)
		}, 1},
		"a dropped route that is served": {func(s *scene) {
			s.accepted(3)
			time.Sleep(time.Minute)
			s.run(s.send("a", "/v1/1", false), "s1")
		}, 1},
		"a route that was just dropped": {func(s *scene) {
			s.accepted(3)
			s.run(s.send("a", "/v1/1", false), "s1")
		}, 0},
		"a lasting route that is missing": {func(s *scene) {
			s.end(s.send("a", "/lookup/1", false), missing)
		}, 1},
		"an answer that a stop cut off": {func(s *scene) {
			a := s.send("a", "/lookup/1", false)
			s.run(a, "s1")
			s.cutByStop(a, cut)
		}, 1},
		"a request that crossed the stop": {func(s *scene) {
			s.cutByStop(s.send("a", "/lookup/1", false), cut)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene()
				c.play(s)
				_, violations := s.result()
				require.Len(t, violations, c.broken, "%v", violations)
			})
		})
	}
}
