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

// Memory remembers which servers worked on which objects for this instance. It
// is safe for concurrent use.
type Memory struct {
	mu   sync.Mutex
	last map[uint64]time.Time
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory { return &Memory{last: map[uint64]time.Time{}} }

func memoryKey(server string, object uint64) uint64 {
	return pollencrank.Mix(object ^ xxhash.Sum64String(server))
}

// Learn records that a server has worked on the object with a key.
func (m *Memory) Learn(server string, object uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.last) >= memoryMaxEntries {
		clear(m.last)
	}
	m.last[memoryKey(server, object)] = now
}

// Knows reports whether a server is believed to know the object with a key.
func (m *Memory) Knows(server string, object uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.last[memoryKey(server, object)]
	return ok && now.Sub(last) < knownFor
}
