package receiver

import (
	"strings"
	"sync"
	"time"
)

const (
	// maxRecentRefusals is the number of refusals that an instance keeps in memory.
	maxRecentRefusals = 512
	// maxRecordedPathBytes is the length to which a recorded path is truncated.
	maxRecordedPathBytes = 128
)

// RefusalRecord is a request that was not answered by a backend server.
type RefusalRecord struct {
	At time.Time `json:"at"`
	Refusal
	Caller string `json:"caller"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Trace is the trace ID that the caller sent, or all zeros if it sent none.
	Trace string `json:"trace"`
}

// refusalKeeper is a ring buffer of the latest refusals.
type refusalKeeper struct {
	mu      sync.Mutex
	records [maxRecentRefusals]RefusalRecord
	// count is the number of refusals added so far, including overwritten ones.
	count int
}

func (k *refusalKeeper) add(record RefusalRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records[k.count%maxRecentRefusals] = record
	k.count++
}

// latest returns the refusals in the buffer, newest first.
func (k *refusalKeeper) latest() []RefusalRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	stored := min(k.count, maxRecentRefusals)
	records := make([]RefusalRecord, 0, stored)
	for i := range stored {
		records = append(records, k.records[(k.count-1-i)%maxRecentRefusals])
	}
	return records
}

// Refusals returns the latest refusals, newest first.
func (r *Receiver) Refusals() []RefusalRecord { return r.recentRefusals.latest() }

// truncatePath shortens a path to maxRecordedPathBytes, without a part of a character at
// its end.
func truncatePath(path string) string {
	return strings.ToValidUTF8(path[:min(len(path), maxRecordedPathBytes)], "")
}
