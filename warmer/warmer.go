// Package warmer keeps cold backend servers below the rate that they bear, summed
// over all instances, without any message between them.
//
// Two instances, chosen by rendezvous hashing, may send to a cold server. Each
// has a bucket of tokens with half of the server's rate. What both can send in
// any second stays below the rate and a small burst, also while the instances
// do not agree about who is in the fleet.
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
	// burst is the number of requests that a sender may send at once.
	burst = 2
	// maxBuckets bounds the memory; the buckets are dropped when there are more.
	maxBuckets = 4096
)

// Warmer gives out the right to send to cold servers. It is safe for concurrent
// use.
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

// New returns a Warmer for the instance with an ID. It gives out nothing until
// the instances are set: one that does not know the others must not believe to
// be alone.
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

// isSender reports whether this instance is one of a server's senders. The lock
// is held.
func (w *Warmer) isSender(server string) bool {
	if len(w.instances) == 0 {
		return false
	}
	own := pollencrank.RendezvousScore(server, w.self)
	ahead := 0
	for _, id := range w.instances {
		if id == w.self {
			continue
		}
		score := pollencrank.RendezvousScore(server, id)
		if c := cmp.Compare(score, own); c > 0 || (c == 0 && id < w.self) {
			ahead++
		}
	}
	return ahead < senders
}

// Take takes the right to send one request to a cold server, which bears a
// number of requests a second, and reports whether there was one.
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
