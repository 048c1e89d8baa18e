// Package warmer limits the request rate of cold backend servers, summed over all
// instances, without any message between instances.
//
// Two instances, chosen by rendezvous hashing, may send to a cold server. Each
// has a token bucket that is filled at half of the server's rate. The requests of
// both in any second stay below the rate plus a small burst, also while instances
// have different views of the membership.
//
// # Usage
//
//	w := warmer.New("entry-1")
//	w.SetInstances([]string{"entry-1", "entry-2", "entry-3"})
//	if w.Take("server-7", 6, now) {
//		// The request may be sent to the cold server.
//	}
package warmer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
)

const (
	// senders is the number of instances that may send to one cold server.
	senders = 2
	// burst is the capacity of a token bucket, in requests.
	burst = 2
	// maxBuckets bounds the memory; all buckets are dropped when it is reached.
	maxBuckets = 4096
)

// Warmer permits requests to cold servers. It is safe for concurrent use.
type Warmer struct {
	self string

	mu        sync.Mutex
	instances []string
	buckets   map[string]*bucket
}

type bucket struct {
	tokens   float64
	filledAt time.Time
	isSender bool
}

// New returns a Warmer for the instance with the given ID. The Warmer permits nothing until
// the instances are set: an instance that has not learned of the others yet must not
// send as if it were the only one.
func New(self string) *Warmer {
	return &Warmer{self: self, buckets: map[string]*bucket{}}
}

// SetInstances sets the instances that take requests.
func (w *Warmer) SetInstances(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = slices.Clone(ids)
	for server, b := range w.buckets {
		b.isSender = w.isSender(server)
	}
}

// isSender reports whether this instance is one of a server's senders. The caller
// must hold the lock.
func (w *Warmer) isSender(server string) bool {
	if len(w.instances) == 0 {
		return false
	}
	ownScore := pollencrank.RendezvousScore(server, w.self)
	higher := 0
	for _, id := range w.instances {
		if id == w.self {
			continue
		}
		score := pollencrank.RendezvousScore(server, id)
		if c := cmp.Compare(score, ownScore); c > 0 || (c == 0 && id < w.self) {
			higher++
		}
	}
	return higher < senders
}

// Take takes a token for one request to a cold server, which is limited to perSecond
// requests a second, and reports whether there was a token.
func (w *Warmer) Take(server string, perSecond float64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.buckets[server]
	if b == nil {
		b = w.add(server, now)
	}
	if !b.isSender {
		return false
	}
	b.tokens = min(burst, b.tokens+now.Sub(b.filledAt).Seconds()*perSecond/senders)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (w *Warmer) add(server string, now time.Time) *bucket {
	if len(w.buckets) >= maxBuckets {
		clear(w.buckets)
	}
	b := &bucket{tokens: 1, filledAt: now, isSender: w.isSender(server)}
	w.buckets[server] = b
	return b
}
