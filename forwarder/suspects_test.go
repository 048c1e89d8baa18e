package forwarder_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/router"
)

// Pattern: a failure domain loses its power. Its servers end at the same moment while each
// runs a copy of the same request, and the copies that are sent again are served.
func TestServersThatEndAtOnceBlockNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.route.MaxAttempts = 1
		s.route.HasAffinity = false
		s.callerTimeout = time.Minute
		s.serversCrash.Store(true)
		powerLoss := make(chan struct{})
		s.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			select {
			case <-powerLoss:
				return soundAnswer(server, request), nil
			default:
				<-powerLoss
				return nil, connectionLost(server)
			}
		}
		const copies = 8
		var wait sync.WaitGroup
		for range copies {
			wait.Go(func() { _, _ = s.forwardRequest(t.Context(), "17") })
			synctest.Wait()
		}
		time.Sleep(time.Second)
		close(powerLoss)
		wait.Wait()
		s.Wait()
		require.NotEmpty(t, s.broadcasts)
		time.Sleep(time.Second)
		_, err := s.forwardRequest(t.Context(), "17")
		require.NoError(t, err)
	})
}

// Pattern: suspects are sent again at the same time. No two different ones are in flight on
// one server, so that the next crash has one cause.
func TestDifferentSuspectsNeverShareAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.route.MaxAttempts = 1
		s.route.Kind = router.NonIdempotent
		s.callerTimeout = time.Minute
		s.serversCrash.Store(true)
		var mu sync.Mutex
		isSuspected := false
		running := map[string]map[string]bool{}
		s.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
			if !isSuspected {
				return nil, connectionLost(server)
			}
			mu.Lock()
			if running[server] == nil {
				running[server] = map[string]bool{}
			}
			running[server][request.URI] = true
			shared := len(running[server])
			mu.Unlock()
			require.LessOrEqual(t, shared, 1, "%s runs %v", server, running[server])
			time.Sleep(time.Second)
			mu.Lock()
			delete(running[server], request.URI)
			mu.Unlock()
			return soundAnswer(server, request), nil
		}
		send := func(uri string) error {
			_, err := s.forwardURI(t.Context(), uri)
			return err
		}
		uris := []string{"/a", "/b", "/c", "/d"}
		for _, uri := range uris {
			require.Error(t, send(uri))
			s.Wait()
			time.Sleep(5 * time.Second)
		}
		isSuspected = true
		var wait sync.WaitGroup
		for _, uri := range uris {
			wait.Go(func() { require.NoError(t, send(uri)) })
			synctest.Wait()
		}
		wait.Wait()
	})
}
