package forwarder

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

const (
	// pausedDivisor divides the connections to a server into those that streamed answers
	// may occupy whose callers do not read.
	pausedDivisor = 4
	// pausedAfter is the time without a read from which a stream counts as paused.
	pausedAfter = 300 * time.Millisecond
)

// streams are the streamed answers that have not been closed, by server. It is safe for
// concurrent use.
type streams struct {
	mu       sync.Mutex
	byServer map[*registrar.Backend]map[*streamedBody]struct{}
}

func newStreams() *streams {
	return &streams{byServer: map[*registrar.Backend]map[*streamedBody]struct{}{}}
}

// add adds a stream, and returns those of its server that have to end for it.
func (s *streams) add(b *streamedBody, now time.Time) []*streamedBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byServer[b.backend] == nil {
		s.byServer[b.backend] = map[*streamedBody]struct{}{}
	}
	s.byServer[b.backend][b] = struct{}{}
	if len(s.byServer[b.backend]) <= b.maxPaused {
		return nil
	}
	return s.surplusOf(b.backend, now)
}

func (s *streams) remove(b *streamedBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byServer[b.backend], b)
	if len(s.byServer[b.backend]) == 0 {
		delete(s.byServer, b.backend)
	}
}

// surplus returns the paused streams beyond the limits of their servers, those with the
// longest pauses first.
func (s *streams) surplus(now time.Time) []*streamedBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*streamedBody
	for server := range s.byServer {
		all = append(all, s.surplusOf(server, now)...)
	}
	return all
}

// surplusOf returns those of one server. The lock is held.
func (s *streams) surplusOf(server *registrar.Backend, now time.Time) []*streamedBody {
	var paused []*streamedBody
	limit := 0
	for b := range s.byServer[server] {
		limit = max(limit, b.maxPaused)
		if b.pause(now) >= pausedAfter {
			paused = append(paused, b)
		}
	}
	if len(paused) <= limit {
		return nil
	}
	slices.SortFunc(paused, func(a, b *streamedBody) int { return cmp.Compare(b.pause(now), a.pause(now)) })
	return paused[:len(paused)-limit]
}

// EndPausedStreams ends streamed answers whose callers do not read, if they occupy too many
// connections to a server: other callers need these. It returns their number. Call it
// periodically.
func (f *Forwarder) EndPausedStreams(now time.Time) int { return f.endStreams(f.streams.surplus(now)) }

func (f *Forwarder) endStreams(surplus []*streamedBody) int {
	ended := 0
	for _, b := range surplus {
		if b.isEnded.Swap(true) {
			continue
		}
		ended++
		pausedStreamsTotal.Inc()
		f.config.Log.Info("a caller does not read a streamed answer, and others need its connection to the server",
			recorder.EventCallerUnread.Attr(), slog.String("server", b.server))
		_ = b.Closer.Close()
	}
	return ended
}

var pausedStreamsTotal = metrics.GetOrCreateCounter("pollencrank_unread_streams_total")
