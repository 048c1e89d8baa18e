// Package warmer limits the request rate of cold backend servers, summed over all
// instances, without any message between instances.
//
// Two instances, chosen by rendezvous hashing among the members of the fleet, may send to
// a cold server. Each has a token bucket that is filled at half of the server's rate, also
// one that knows of no other: others may have joined unheard of. Even the requests of three
// in any second stay below one and a half times the rate plus a small burst, so that one
// instance may hold on to a view that has passed.
//
// # Usage
//
//	w := warmer.New(membership)
//	if w.Take("server-7", 6, now) {
//		// The request may be sent to the cold server.
//	}
package warmer

import (
	"sync"
	"time"
)

const (
	// senders is the number of instances that may send to one cold server.
	senders = 2
	// burst is the capacity of a token bucket, in requests.
	burst = 1.5
	// maxBuckets bounds the memory; all buckets are dropped when it is reached.
	maxBuckets = 4096
)

// Membership says which instances share the rates of cold servers.
// apportioner.Membership implements it.
type Membership interface {
	// HeldSince returns since when this instance is one of the count instances that
	// share the rate of a server, and reports false if it is none of them.
	HeldSince(server string, count int, now time.Time) (time.Time, bool)
}

// Warmer permits requests to cold servers. It is safe for concurrent use.
type Warmer struct {
	membership Membership

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens   float64
	filledAt time.Time
}

// New returns a Warmer for an instance of the fleet.
func New(membership Membership) *Warmer {
	return &Warmer{membership: membership, buckets: map[string]*bucket{}}
}

// Take takes a token for one request to a cold server, which is limited to perSecond
// requests a second, and reports whether there was a token.
func (w *Warmer) Take(server string, perSecond float64, now time.Time) bool {
	heldSince, isSender := w.membership.HeldSince(server, senders, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isSender {
		delete(w.buckets, server)
		return false
	}
	b := w.bucketOf(server, heldSince)
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*perSecond/senders)
		b.filledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// bucketOf returns the bucket of a server, which is empty at heldSince: an instance that
// sent before may have emptied its own just then. The lock is held.
func (w *Warmer) bucketOf(server string, heldSince time.Time) *bucket {
	b := w.buckets[server]
	if b == nil {
		if len(w.buckets) >= maxBuckets {
			clear(w.buckets)
		}
		b = &bucket{}
		w.buckets[server] = b
	}
	if b.filledAt.Before(heldSince) {
		b.tokens = 0
		b.filledAt = heldSince
	}
	return b
}
