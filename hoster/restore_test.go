package hoster_test

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/imitator"
	"github.com/pollencrank/pollencrank/recorder"
)

// platformStore is a stand-in of the platform's store that speaks its protocol.
type platformStore struct {
	*imitator.Store
	address string
}

func newPlatformStore(t *testing.T) *platformStore {
	t.Helper()
	s := &platformStore{Store: imitator.NewStore()}
	server := httptest.NewServer(s.Store)
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

func (s *platformStore) start(t *testing.T, id string) *entry {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	client := platform.NewStore(platform.StoreConfig{Address: s.address})
	return startEntry(t, id, 1, hoster.Config{
		Registry: platform.NewRegistry(client), Servers: platform.Servers(client, map[string]string{"north-a": "north"}, log, time.Now),
		Configurations: platform.Configurations(client, log), Evacuations: platform.Evacuations(client, log),
		Instances: platform.Instances(client, log),
	})
}

func (s *platformStore) configure(t *testing.T, version uint64, prefix string) {
	t.Helper()
	require.NoError(t, s.Configure(version, []imitator.RouteConfig{
		{Name: "r", Host: "a.example", PathPrefix: prefix, Service: "parts", Timeout: 5 * time.Second},
	}, []string{"parts"}))
}

// addServer starts a server. The returned function writes its entry.
func (s *platformStore) addServer(t *testing.T, id string) func() {
	t.Helper()
	server, err := imitator.StartServer(imitator.ServerConfig{
		ID: id, Service: "parts", FailureDomain: "north-a", Slots: 4, OnRun: func(imitator.Run) {},
	}, "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return func() { require.NoError(t, s.PutServer(server, server.Address())) }
}

// Guards against an instance that is in no look-up after a drill, because the store has
// lost its entry and it does not write it again, and against requests that are refused
// because the store has lost their route and their server.
func TestAnInstanceServesOnAfterTheStoreIsRestored(t *testing.T) {
	s := newPlatformStore(t)
	s.configure(t, 6, "/old/")
	empty := s.Copy()
	writeServer := s.addServer(t, "i-1")
	writeServer()
	s.configure(t, 11, "/x/")
	e := s.start(t, "entry-1")
	serves := func(path string) bool { status, _, _ := e.get(t, path); return status == 200 }
	eventually(t, "served", func() bool { return serves("/x/1") })
	eventually(t, "registered", func() bool { return s.Has("pollencrank-instances", "entry-1") })

	s.Restore(empty)
	eventually(t, "the loss of history is seen", func() bool { return e.log.has(recorder.EventHistoryGone) })
	require.True(t, serves("/x/2"), "what the store has lost may be written again")
	writeServer()
	eventually(t, "registered again", func() bool { return s.Has("pollencrank-instances", "entry-1") })
	require.True(t, serves("/x/3"))
	s.configure(t, 13, "/y/")
	eventually(t, "the next route", func() bool { status, _, _ := e.get(t, "/y/1"); return status != 404 })
}
