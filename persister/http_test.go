package persister_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/persister"
)

// stores returns an in-memory stand-in store, and an HTTP client of another one. Both
// must behave in the same way.
func stores(t *testing.T) map[string]struct {
	store   persister.Store
	standin *standin.Store
} {
	t.Helper()
	memory, servedStore := standin.NewStore(), standin.NewStore()
	server := httptest.NewServer(standin.NewStoreHandler(servedStore))
	t.Cleanup(server.Close)
	client, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: server.URL})
	require.NoError(t, err)
	return map[string]struct {
		store   persister.Store
		standin *standin.Store
	}{"memory": {memory, memory}, "http": {client, servedStore}}
}

func TestStores(t *testing.T) {
	ctx := context.Background()
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			var (
				missing     *persister.NotFoundError
				conflict    *persister.ConflictError
				unavailable *persister.UnavailableError
				unknown     *persister.OutcomeUnknownError
			)
			_, err := s.store.Get(ctx, "config/head")
			require.ErrorAs(t, err, &missing)
			object, err := s.store.Put(ctx, "config/head", []byte("one"), 0)
			require.NoError(t, err)
			require.Equal(t, uint64(1), object.Version)
			_, err = s.store.Put(ctx, "config/head", []byte("two"), 0)
			require.ErrorAs(t, err, &conflict)
			object, err = s.store.Put(ctx, "config/head", []byte("two"), 1)
			require.NoError(t, err)
			got, err := s.store.Get(ctx, "config/head")
			require.NoError(t, err)
			require.Equal(t, object, got)

			_, err = s.store.Put(ctx, "config/other", []byte("x"), 0)
			require.NoError(t, err)
			list, err := s.store.List(ctx, "config/")
			require.NoError(t, err)
			require.Len(t, list, 2)
			require.Equal(t, "two", string(list[0].Value))

			s.standin.LoseAnswers(1)
			_, err = s.store.Put(ctx, "config/head", []byte("three"), 2)
			require.ErrorAs(t, err, &unknown)
			got, err = s.store.Get(ctx, "config/head")
			require.NoError(t, err)
			require.Equal(t, "three", string(got.Value), "the update with the lost answer took effect")

			s.standin.SetDown(true)
			_, err = s.store.Get(ctx, "config/head")
			require.ErrorAs(t, err, &unavailable)
			_, err = s.store.Watch(ctx, "config/head", 0)
			require.ErrorAs(t, err, &unavailable)
			s.standin.SetDown(false)

			require.ErrorAs(t, s.store.Delete(ctx, "config/head", 1), &conflict)
			require.NoError(t, s.store.Delete(ctx, "config/head", 3))
			_, err = s.store.Get(ctx, "config/head")
			require.ErrorAs(t, err, &missing)
		})
	}
}

func TestWatchReturnsTheNextVersion(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			watched := make(chan persister.Object)
			go func() {
				object, _ := s.store.Watch(ctx, "key", 1)
				watched <- object
			}()
			for version := range uint64(2) {
				_, err := s.store.Put(ctx, "key", []byte{byte(version)}, version)
				require.NoError(t, err)
			}
			require.Equal(t, uint64(2), (<-watched).Version)
		})
	}
}

func TestAnUnreachableStoreIsUnavailableOrUnknown(t *testing.T) {
	server := httptest.NewServer(standin.NewStoreHandler(standin.NewStore()))
	client, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: server.URL})
	require.NoError(t, err)
	server.Close()
	var unavailable *persister.UnavailableError
	_, err = client.Get(context.Background(), "key")
	require.ErrorAs(t, err, &unavailable)
	_, err = client.List(context.Background(), "key")
	require.ErrorAs(t, err, &unavailable)
	var unknown *persister.OutcomeUnknownError
	_, err = client.Put(context.Background(), "key", nil, 0)
	require.ErrorAs(t, err, &unknown)
	_, err = persister.NewHTTP(persister.HTTPConfig{BaseURL: "nowhere"})
	require.Error(t, err)
}
