package selector

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

const (
	// recentFor is how long after its last request for an object a server counts as
	// having served it recently.
	recentFor = 10 * time.Second
	// historyMaxEntries bounds the history; a full history is cleared.
	historyMaxEntries = 16_384
)

// ObjectHistory records which servers served which objects for this instance. It is
// safe for concurrent use.
type ObjectHistory struct {
	mu   sync.Mutex
	last map[uint64]time.Time
}

// NewObjectHistory returns an empty ObjectHistory.
func NewObjectHistory() *ObjectHistory { return &ObjectHistory{last: map[uint64]time.Time{}} }

func historyKey(server string, object uint64) uint64 {
	return pollencrank.Mix(object ^ xxhash.Sum64String(server))
}

// Record records that a server has served the object with the given key.
func (h *ObjectHistory) Record(server string, object uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.last) >= historyMaxEntries {
		clear(h.last)
	}
	h.last[historyKey(server, object)] = now
}

// ServedRecently reports whether a server has served the object with the given key
// recently, and so is expected to answer faster for it.
func (h *ObjectHistory) ServedRecently(server string, object uint64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.last[historyKey(server, object)]
	return ok && now.Sub(last) < recentFor
}
