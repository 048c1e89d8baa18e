package hoster_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/router"
)

const resumed = "the whole fleet has started anew"

// Guards against quotas that nobody holds for seconds after a loss of power.
func TestInstancesThatRestartTogetherHoldQuotasAtOnce(t *testing.T) {
	s := newStore()
	s.configureTenant(1, router.Quota{PerSecond: 5, Burst: 2})
	s.startServer(t, "i-1", echo)
	for _, id := range []string{"entry-1", "entry-2"} {
		s.instances.set(id, namer.Instance{ID: id, Incarnation: 1, FailureDomain: "north-a", Region: "north", PeerAddress: "127.0.0.1:1"}, false)
	}
	entries := []*entry{s.start(t, "entry-1", 2), s.start(t, "entry-2", 2)}
	for _, e := range entries {
		eventually(t, "it has asked the other one", func() bool { return e.log.contains(resumed) })
	}
	eventually(t, "a token", func() bool {
		_, answer := askForQuota(t, entries[0], `{"tenant":"tenant-1","count":1}`)
		return strings.HasPrefix(answer, `{"granted":1`)
	})
}

func TestAnInstanceThatWasNotListedWaitsForItsQuotas(t *testing.T) {
	s := newStore()
	s.configureTenant(1, router.Quota{PerSecond: 5, Burst: 2})
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 2)
	eventually(t, "a token", func() bool {
		_, answer := askForQuota(t, e, `{"tenant":"tenant-1","count":1}`)
		return strings.HasPrefix(answer, `{"granted":1`)
	})
	require.False(t, e.log.contains(resumed))
}

// Guards against an earlier start that goes on holding what its later start holds.
func TestAnInstanceWhoseLaterStartIsListedLendsNothing(t *testing.T) {
	s := newStore()
	s.configureTenant(1, router.Quota{PerSecond: 100, Burst: 50})
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 2)
	status := func() int {
		status, _ := askForQuota(t, e, `{"tenant":"tenant-1","count":1}`)
		return status
	}
	eventually(t, "it holds", func() bool { return status() == 200 })
	later := e.Instance
	later.Incarnation, later.PeerAddress = 3, "127.0.0.1:1"
	s.instances.set("entry-1", later, false)
	eventually(t, "it holds nothing", func() bool { return status() == 404 })
}
