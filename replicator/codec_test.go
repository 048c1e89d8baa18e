package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/internal/newspb"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// senderNow and receiverNow are the clocks of two instances.
var (
	senderNow   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	receiverNow = senderNow.Add(-time.Hour)
)

// transmit encodes an update at one instance and decodes it at another.
func transmit(t require.TestingT, update Update) Update {
	data, err := proto.Marshal(encode(update, senderNow))
	require.NoError(t, err)
	var m newspb.News
	require.NoError(t, proto.Unmarshal(data, &m))
	got, err := decode(&m, receiverNow)
	require.NoError(t, err)
	return got
}

func testRoute(name string) router.Route {
	return router.Route{
		Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Kind: router.Upload, Timeout: time.Second,
		LatencyObjective: 300 * time.Millisecond, Priority: 2, Shares: []router.Share{{Service: "parts", Weight: 3}, {Service: "old", Weight: 1}},
		MaxAttempts: 2, HasAffinity: true, HomeRegions: []string{"north"},
	}
}

func TestUpdateTimesUseTheReceiversClock(t *testing.T) {
	update := Update{
		ConfirmedAt: senderNow.Add(-2 * time.Second),
		IsReady:     true,
		Servers: &follower.Change[registrar.Server]{After: 3, Position: 9, Items: []follower.Item[registrar.Server]{
			{Name: "i-1", Revision: 4, Value: registrar.Server{
				ID: "i-1", Service: "parts", Address: "10.0.0.1:80", FailureDomain: "north-a", Region: "north", Slots: 4, Incarnation: 17,
				IsLeaving: true, ColdUntil: senderNow.Add(3 * time.Second),
			}},
			{Name: "i-2", Revision: 9, Removed: true},
		}},
		Evacuations: &follower.Change[registrar.Evacuation]{Position: 9, IsWhole: true, Items: []follower.Item[registrar.Evacuation]{
			{Name: "north-a", Revision: 5, Value: registrar.Evacuation{FailureDomain: "north-a"}},
		}},
		Instances: &follower.Change[namer.Instance]{After: 1, Position: 9, Items: []follower.Item[namer.Instance]{
			{Name: "entry-1", Revision: 6, Value: namer.Instance{
				ID: "entry-1", Incarnation: 5, FailureDomain: "north-a", Region: "north", CallerAddress: "10.1.0.1:1", PeerAddress: "10.1.0.1:2",
				Capacity: 0.32,
			}},
		}},
		Configuration: &ConfigurationUpdate{
			After: 2, Position: 9, Revision: 7, BaseVersion: 4, RemovedRoutes: []string{"r-0"},
			Configuration: router.Configuration{
				Version: 5, Routes: []router.Route{testRoute("r-1")},
				Services: map[string]router.Service{
					"parts": {Name: "parts", HealthPath: "/h", MaxConnections: 100, Warmup: 3 * time.Second, ColdRate: 6},
				},
				Limits: router.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 3 * time.Second, IdleTimeout: 4 * time.Second},
			},
		},
	}
	got := transmit(t, update)
	want := update
	want.ConfirmedAt = receiverNow.Add(-2 * time.Second)
	servers := *update.Servers
	servers.Items = append([]follower.Item[registrar.Server]{}, update.Servers.Items...)
	servers.Items[0].Value.ColdUntil = receiverNow.Add(3 * time.Second)
	want.Servers = &servers
	require.Equal(t, want, got)
}

func newTestState() *State {
	return NewState(Handlers{
		Servers: discard[registrar.Server]{}, Configurations: discard[router.Configuration]{},
		Evacuations: discard[registrar.Evacuation]{}, Instances: discard[namer.Instance]{},
	})
}

type discard[V any] struct{}

func (discard[V]) Reset([]follower.Item[V]) {}
func (discard[V]) Apply([]follower.Item[V]) {}

// Guards against routes that get lost or stay behind when a configuration is sent as
// a change. One instance gets a sequence of configurations; another one that fetches
// only some of them must have the same routes after each fetch.
func TestConfigurationsAreReplicatedAsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newTestState(), newTestState()
		var cursor Cursor
		for version := uint64(1); version <= 12; version++ {
			routes := []router.Route{}
			for i := range 6 {
				if !rapid.Bool().Draw(t, "present") {
					continue
				}
				route := testRoute(fmt.Sprint("r-", i))
				route.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
				routes = append(routes, route)
			}
			c := router.Configuration{Version: version, Routes: routes, Services: map[string]router.Service{}}
			require.NoError(t, first.Configurations.ApplyChange(follower.Change[router.Configuration]{
				Position: follower.Position(version + 1), IsWhole: true,
				Items: []follower.Item[router.Configuration]{{Name: configurationName, Revision: follower.Position(version), Value: c}},
			}))
			if !rapid.Bool().Draw(t, "fetched") {
				continue
			}
			update, next := first.Since(cursor)
			cursor = next
			require.NoError(t, second.Apply(transmit(t, update)))
			got, _ := second.Configurations.Value(configurationName)
			require.ElementsMatch(t, routes, got.Routes)
			require.Equal(t, version, got.Version)
			require.Equal(t, cursor.Version, second.Cursor().Version)
		}
	})
}

// Guards against merging a change into a configuration other than its base version.
func TestAChangeWithADifferentBaseVersionIsRejected(t *testing.T) {
	s := newTestState()
	require.NoError(t, s.Apply(Update{Configuration: &ConfigurationUpdate{Position: 5, Configuration: router.Configuration{Version: 3}}}))
	err := s.Apply(Update{Configuration: &ConfigurationUpdate{After: 5, Position: 6, BaseVersion: 4, Configuration: router.Configuration{Version: 5}}})
	var base *BaseVersionError
	require.ErrorAs(t, err, &base)
	require.EqualValues(t, 3, s.Cursor().Version)
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	good := &newspb.Range{After: 1, Position: 2}
	for name, m := range map[string]*newspb.News{
		"no range":             {Servers: &newspb.ServerChange{}},
		"backwards":            {Servers: &newspb.ServerChange{Range: &newspb.Range{After: 3, Position: 2}}},
		"server without slots": {Servers: &newspb.ServerChange{Range: good, Servers: []*newspb.Server{{Id: "i", Service: "s", Address: "a", FailureDomain: "d"}}}},
		"instance without id":  {Instances: &newspb.InstanceChange{Range: good, Instances: []*newspb.Instance{{CallerAddress: "a"}}}},
		"route without path":   {Configuration: &newspb.ConfigurationChange{Range: good, Routes: []*newspb.Route{{Name: "r"}}}},
		"route without service": {Configuration: &newspb.ConfigurationChange{Range: good, Routes: []*newspb.Route{{
			Name: "r", PathPrefix: "/x/",
		}}}},
		"negative weight": {Configuration: &newspb.ConfigurationChange{Range: good, Routes: []*newspb.Route{{
			Name: "r", PathPrefix: "/x/", Shares: []*newspb.Share{{Service: "s", Weight: -1}},
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(m, receiverNow)
			require.ErrorIs(t, err, errMalformed)
		})
	}
}

// Instances of a later version may send additional fields and unknown kinds of
// routes. The message is accepted, and an unknown kind is treated as non-idempotent,
// the most careful one.
func TestAMessageOfALaterVersionIsAccepted(t *testing.T) {
	m := &newspb.News{Configuration: &newspb.ConfigurationChange{
		Range: &newspb.Range{Position: 2, Whole: true}, Version: 1,
		Routes: []*newspb.Route{{Name: "r", PathPrefix: "/x/", Kind: 99, Shares: []*newspb.Share{{Service: "s", Weight: 1}}}},
	}}
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	// A field with an unused number.
	data = append(data, 0xfa, 0x3f, 0x02, 'h', 'i')
	var later newspb.News
	require.NoError(t, proto.Unmarshal(data, &later))
	update, err := decode(&later, receiverNow)
	require.NoError(t, err)
	require.Equal(t, router.NonIdempotent, update.Configuration.Configuration.Routes[0].Kind)
}

// Guards against durations in a message that are missing, negative or out of range.
func TestDurationsAreBounded(t *testing.T) {
	for _, d := range []*durationpb.Duration{nil, {Seconds: -5}, {Seconds: 1 << 62}, {Nanos: -1 << 31}} {
		got := clamp(d)
		require.GreaterOrEqual(t, got, time.Duration(0))
		require.LessOrEqual(t, got, maxDuration)
	}
}

// FuzzNews feeds arbitrary bytes as a message of another instance to a state, which
// must apply or reject them without a panic.
func FuzzNews(f *testing.F) {
	for _, m := range []*newspb.News{
		{}, {Servers: &newspb.ServerChange{Range: &newspb.Range{Position: 3, Whole: true}}},
		{Configuration: &newspb.ConfigurationChange{Range: &newspb.Range{Position: 3}, BaseVersion: 1, Version: 2}},
	} {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m newspb.News
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		update, err := decode(&m, receiverNow)
		if err != nil {
			return
		}
		s := newTestState()
		if s.Apply(update) == nil {
			_, _ = s.Since(Cursor{})
		}
	})
}
