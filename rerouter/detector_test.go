package rerouter_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/rerouter"
)

// links are the links of one instance to the servers of a service.
type links struct {
	*rerouter.Detector
	probes atomic.Int64
	// changes counts the calls of OnChange.
	changes atomic.Int64

	mu     sync.Mutex
	isDown map[string]bool
	names  []string
}

func newLinks(servers int) *links {
	l := &links{isDown: map[string]bool{}}
	for i := range servers {
		l.names = append(l.names, fmt.Sprint("i-", i))
	}
	l.Detector = rerouter.NewDetector(rerouter.DetectorConfig{
		Servers:  func(string) []rerouter.Server { return l.servers() },
		OnChange: func(string, bool) { l.changes.Add(1) },
		Log:      slog.New(slog.DiscardHandler),
	})
	return l
}

var errNoAnswer = errors.New("the server does not answer")

func (l *links) servers() []rerouter.Server {
	var servers []rerouter.Server
	for _, name := range l.names {
		servers = append(servers, rerouter.Server{ID: name, Probe: func(ctx context.Context) error {
			l.probes.Add(1)
			if l.works(name) {
				return nil
			}
			<-ctx.Done()
			return errNoAnswer
		}})
	}
	return servers
}

func (l *links) works(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isDown[server]
}

func (l *links) set(isDown bool, servers ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range servers {
		l.isDown[server] = isDown
	}
}

// request lets a request go to a server.
func (l *links) request(server string) {
	if l.works(server) {
		l.ObserveAnswer(service)
		return
	}
	l.ObserveFailure(service, server, time.Now())
}

const service = "parts"

// Guards against RECOVER: it takes long until an instance knows that its own links are lost.
func TestALossOfAllLinksIsNoticedWithinASecond(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 14, 3000} {
		synctest.Test(t, func(t *testing.T) {
			l := newLinks(servers)
			defer l.Close()
			l.set(true, l.names...)
			for i := range min(servers, 4) {
				l.request(l.names[i])
			}
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, servers > 1, l.IsCutOff(service), "%d servers", servers)
		})
	}
}

// Guards against requests that are refused as cut off while servers under load answer others:
// only the probes get no answer in time.
func TestServersThatAnswerDuringTheProbesAreNotACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(2)
		defer l.Close()
		l.set(true, l.names...)
		for _, server := range l.names {
			l.request(server)
		}
		time.Sleep(100 * time.Millisecond)
		l.ObserveAnswer(service)
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, l.IsCutOff(service))
		require.Zero(t, l.changes.Load())
	})
}

// Guards against a cut that is not noticed because servers answered before it.
func TestAnswersBeforeACutDoNotHideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(2)
		defer l.Close()
		l.ObserveFailure(service, l.names[1], time.Now())
		l.request(l.names[0])
		l.set(true, l.names...)
		for _, server := range l.names {
			l.request(server)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.True(t, l.IsCutOff(service))
	})
}

// Guards against requests that go through other instances after the cut has ended.
func TestTheEndOfACutIsNoticedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(14)
		defer l.Close()
		l.set(true, l.names...)
		for _, server := range l.names {
			l.request(server)
		}
		time.Sleep(12 * time.Second)
		require.True(t, l.IsCutOff(service))
		require.True(t, l.IsDoubtful(service))
		l.set(false, l.names...)
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, l.IsCutOff(service))
		require.False(t, l.IsDoubtful(service))
		require.Equal(t, int64(2), l.changes.Load())
	})
}

// Links are mostly lost together: once one service is known to be cut off, another one whose
// servers fail is checked at the first failure.
func TestALossOfLinksIsNoticedForAllServicesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(14)
		defer l.Close()
		l.set(true, l.names...)
		l.ObserveFailure("orders", l.names[0], time.Now())
		for _, server := range l.names[:4] {
			l.request(server)
		}
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		require.True(t, l.IsCutOff("orders"))
	})
}

// Failed servers are not a cut: some servers answer, or a probe does.
func TestFailedServersAreNotACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(14)
		defer l.Close()
		l.set(true, l.names[:3]...)
		for range 100 {
			for _, server := range l.names[:4] {
				l.request(server)
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Zero(t, l.probes.Load(), "answers in between need no probes")

		l.set(true, l.names[:12]...)
		for range 100 {
			for _, server := range l.names[:12] {
				l.ObserveFailure(service, server, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, l.probes.Load(), int64(40), "checks have pauses")
	})
}

// Guards against lost connections that no longer count as crashes after a false alarm.
func TestACheckThatGetsAnAnswerEndsTheDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinks(14)
		defer l.Close()
		for _, server := range l.names[:4] {
			l.ObserveFailure(service, server, time.Now())
		}
		require.True(t, l.IsDoubtful(service))
		time.Sleep(time.Second)
		require.False(t, l.IsDoubtful(service))
		require.Zero(t, l.changes.Load())
	})
}

// Property: whatever is lost and restored, a second after the last change the detector says
// that the instance is cut off only if no server is reached, and never spends more than
// ten probes a second.
func TestDetectorFollowsTheLinks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 12).Draw(rt, "servers")
		steps := rapid.SliceOfN(rapid.IntRange(0, size), 1, 12).Draw(rt, "servers that work")
		synctest.Test(t, func(t *testing.T) {
			l := newLinks(size)
			defer l.Close()
			began := time.Now()
			for _, working := range steps {
				l.set(false, l.names[:working]...)
				l.set(true, l.names[working:]...)
				for range 20 {
					if l.IsCutOff(service) {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					for _, server := range l.names {
						l.request(server)
					}
					time.Sleep(100 * time.Millisecond)
				}
				synctest.Wait()
				if working == 0 {
					require.True(t, l.IsCutOff(service))
				}
				if working == size {
					require.False(t, l.IsCutOff(service))
				}
			}
			require.LessOrEqual(t, float64(l.probes.Load()), 10*time.Since(began).Seconds())
		})
	})
}
