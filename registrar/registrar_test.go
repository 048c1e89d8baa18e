package registrar_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/registrar"
)

// clock is set by the tests.
type clock struct{ now time.Time }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newRegistrar() (*registrar.Registrar, *clock) {
	c := &clock{now: time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)}
	return registrar.New(registrar.Config{
		Warmup: func(string) time.Duration { return 3 * time.Second },
		Log:    slog.New(slog.DiscardHandler),
		Now:    func() time.Time { return c.now },
	}), c
}

func server(id string) registrar.Server {
	return registrar.Server{
		ID: id, Service: "parts", Address: "10.0.0.1:80", FailureDomain: "north-a", Region: "north", Slots: 4, Incarnation: 1,
	}
}

func put(servers ...registrar.Server) []follower.Item[registrar.Server] {
	var items []follower.Item[registrar.Server]
	for _, s := range servers {
		items = append(items, follower.Item[registrar.Server]{Name: s.ID, Value: s})
	}
	return items
}

func gone(id string) []follower.Item[registrar.Server] {
	return []follower.Item[registrar.Server]{{Name: id, Removed: true}}
}

func evacuate(domain string, removed bool) []follower.Item[registrar.Evacuation] {
	return []follower.Item[registrar.Evacuation]{{Name: domain, Removed: removed, Value: registrar.Evacuation{FailureDomain: domain}}}
}

func ids(r *registrar.Registrar) []string {
	var all []string
	for _, b := range r.Backends("parts") {
		all = append(all, b.Server().ID)
	}
	return all
}

func TestServersComeAndGo(t *testing.T) {
	r, _ := newRegistrar()
	r.Servers().Reset(put(server("b"), server("a")))
	require.Equal(t, []string{"a", "b"}, ids(r))
	r.Servers().Apply(gone("a"))
	require.Equal(t, []string{"b"}, ids(r))
	r.Servers().Reset(put(server("c")))
	require.Equal(t, []string{"c"}, ids(r))
	require.Nil(t, r.Find("b"))
	found := r.Find("c")
	require.NotNil(t, found)
	require.Same(t, found, r.FindByAddress(found.Server().Address))
}

func TestALeavingServerGetsNothing(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	leaving := server("a")
	leaving.IsLeaving = true
	r.Servers().Apply(put(leaving))
	require.Empty(t, ids(r))
	require.False(t, backend.IsUsable(c.now), "also for requests that hold it already")
}

func TestAnIDUsedAgainIsAnotherServer(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	r.Backends("parts")[0].MarkMisdirected()
	require.False(t, r.Backends("parts")[0].IsUsable(c.now))
	reborn := server("a")
	reborn.Incarnation = 2
	r.Servers().Apply(put(reborn))
	require.True(t, r.Backends("parts")[0].IsUsable(c.now))
}

func TestAnEvacuatedDomainGetsNothingAndComesBackCold(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	r.Evacuations().Apply(evacuate("north-a", false))
	require.False(t, backend.IsUsable(c.now))
	r.Evacuations().Apply(evacuate("north-a", true))
	require.True(t, backend.IsUsable(c.now))
	require.True(t, backend.IsCold(c.now))
	c.pass(4 * time.Second)
	require.False(t, backend.IsCold(c.now))
	r.Evacuations().Reset(evacuate("north-a", false))
	require.False(t, backend.IsUsable(c.now))
	r.Evacuations().Reset(nil)
	require.True(t, backend.IsUsable(c.now))
}

// Entries lapse while the store is away. They have about two seconds to return.
func TestLapsedEntriesHaveTimeToReturn(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a"), server("b")))
	r.MarkStoreUnavailable()
	c.pass(10 * time.Second)
	r.MarkStoreAvailable()
	r.Servers().Apply(gone("a"))
	r.Servers().Apply(gone("b"))
	require.Equal(t, []string{"a", "b"}, ids(r))
	c.pass(time.Second)
	r.Expire()
	require.Equal(t, []string{"a", "b"}, ids(r))
	r.Servers().Apply(put(server("a")))
	c.pass(2 * time.Second)
	r.Expire()
	require.Equal(t, []string{"a"}, ids(r), "one that is still missing is gone")
	r.Servers().Apply(gone("a"))
	require.Empty(t, ids(r), "in calm times at once")
}

// An instance that was cut off from the store lists the servers anew, before or
// after the news that the store is back. The few that are missing have left while
// the others could write: they get nothing more.
func TestAfterAnInstancesOwnCutMissingServersAreGoneAtOnce(t *testing.T) {
	for name, isListedFirst := range map[string]bool{"listed first": true, "told first": false} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			all := []registrar.Server{server("a"), server("b"), server("c"), server("d"), server("e")}
			r.Servers().Reset(put(all...))
			r.MarkStoreUnavailable()
			c.pass(10 * time.Second)
			if !isListedFirst {
				r.MarkStoreAvailable()
			}
			r.Servers().Reset(put(all[1:]...))
			require.Equal(t, []string{"b", "c", "d", "e"}, ids(r))
		})
	}
}

// Entries that lapsed have the same time to return in whatever order the listing
// and the news of the store come, and further news give no more.
func TestLapsedEntriesHaveTheSameTimeInEitherOrder(t *testing.T) {
	for name, isListedFirst := range map[string]bool{"listed first": true, "told first": false} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Servers().Reset(put(server("a"), server("b")))
			r.MarkStoreUnavailable()
			c.pass(10 * time.Second)
			if isListedFirst {
				r.Servers().Reset(nil)
				r.MarkStoreAvailable()
			} else {
				r.MarkStoreAvailable()
				r.Servers().Reset(nil)
			}
			c.pass(2 * time.Second)
			r.MarkStoreAvailable()
			r.Expire()
			require.Equal(t, []string{"a", "b"}, ids(r))
			c.pass(500 * time.Millisecond)
			r.Expire()
			require.Empty(t, ids(r))
		})
	}
}

func TestAnUnreachableServerIsTriedAgain(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	backend.MarkUnreachable(c.now)
	require.False(t, backend.IsUsable(c.now))
	c.pass(300 * time.Millisecond)
	require.True(t, backend.IsUsable(c.now))
	backend.MarkUnreachable(c.now)
	c.pass(300 * time.Millisecond)
	require.False(t, backend.IsUsable(c.now), "the pause doubles")
	c.pass(time.Second)
	require.True(t, backend.RecordSuccess(1, c.now), "it may have started anew")
	require.False(t, backend.RecordSuccess(1, c.now))
}

func TestHealthIsForgotten(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	for range 20 {
		backend.RecordSuccess(5, c.now)
		backend.RecordFailure(c.now)
	}
	health := backend.Health(c.now)
	require.Greater(t, health.Slowness, 3.0)
	require.Greater(t, health.FailureShare, 0.4)
	c.pass(20 * time.Second)
	health = backend.Health(c.now)
	require.InDelta(t, 1, health.Slowness, 0.01)
	require.InDelta(t, 0, health.FailureShare, 0.01)
}

func TestLoadOfOthersFades(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	sent := backend.Begin(c.now, time.Second)
	backend.RecordLoad(4, 3, c.now)
	require.InDelta(t, 7, backend.Load(c.now), 0.01, "6 of others and 1 of this instance")
	c.pass(10 * time.Second)
	require.InDelta(t, 1, backend.Load(c.now), 0.01)
	backend.End(sent)
	require.InDelta(t, 0, backend.Load(c.now), 0.01)
}

// A server that falls silent answers nothing that would show it: what it owes does.
func TestARequestThatIsOverdueMakesItsServerSlow(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	const expected = 100 * time.Millisecond
	sent := backend.Begin(c.now, expected)
	c.pass(3 * expected)
	require.InDelta(t, 1, backend.Health(c.now).Slowness, 0.01, "work on an unknown object takes as long")
	c.pass(3 * expected)
	require.InDelta(t, 6, backend.Health(c.now).Slowness, 0.01)
	c.pass(time.Minute)
	require.InDelta(t, 8, backend.Health(c.now).Slowness, 0.01, "bounded")
	backend.End(sent)
	require.InDelta(t, 1, backend.Health(c.now).Slowness, 0.01)
}

func TestARequestThatWasNotAnsweredInTimeMakesItsServerSlowForAWhile(t *testing.T) {
	r, c := newRegistrar()
	r.Servers().Reset(put(server("a")))
	backend := r.Backends("parts")[0]
	backend.RecordTimeout(5, c.now)
	require.InDelta(t, 3, backend.Health(c.now).Slowness, 0.01)
	require.Greater(t, backend.Health(c.now).FailureShare, 0.1)
	backend.RecordTimeout(0.1, c.now)
	require.InDelta(t, 3, backend.Health(c.now).Slowness, 0.01, "a caller that left little time says nothing of the server's speed")
	c.pass(20 * time.Second)
	require.InDelta(t, 1, backend.Health(c.now).Slowness, 0.01)
}
