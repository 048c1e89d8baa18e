package selector

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencrank/pollencrank"
)

const (
	// knownFor is how long after its last request a server is believed to know
	// an object.
	knownFor = 10 * time.Second
	// memoryMaxEntries bounds the memory; it is cleared when it is full.
	memoryMaxEntries = 16_384
)

// ObjectHistory remembers which servers worked on which objects for this instance. It
// is safe for concurrent use.
type ObjectHistory struct {
	mu   sync.Mutex
	last map[uint64]time.Time
}

// NewObjectHistory returns an empty Memory.
func NewObjectHistory() *ObjectHistory { return &ObjectHistory{last: map[uint64]time.Time{}} }

func memoryKey(server string, object uint64) uint64 {
	return pollencrank.Mix(object ^ xxhash.Sum64String(server))
}

// Record records that a server has worked on the object with a key.
func (m *ObjectHistory) Record(server string, object uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.last) >= memoryMaxEntries {
		clear(m.last)
	}
	m.last[memoryKey(server, object)] = now
}

// ServedRecently reports whether a server is believed to know the object with a key.
func (m *ObjectHistory) ServedRecently(server string, object uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.last[memoryKey(server, object)]
	return ok && now.Sub(last) < knownFor
}
