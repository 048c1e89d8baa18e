package standin

import (
	"sync"
	"time"
)

// Headers with which stand-in callers mark their requests.
const (
	// HeaderAttempt is unique to each request that a caller sends.
	HeaderAttempt = "X-Attempt"
	// HeaderOrder is the same for all repeats of an order.
	HeaderOrder = "X-Order"
)

// Violations counts broken promises as seen by backend servers.
type Violations struct {
	// RepeatedOrders are orders that ran more than once.
	RepeatedOrders int
	// OverSlots are requests that reached a server whose slots were all busy.
	OverSlots int
	// AfterDrain are requests that reached a server too long after its drain
	// began.
	AfterDrain int
}

// Ledger records what ran on backend servers. All of them share one.
type Ledger struct {
	mu       sync.Mutex
	orders   map[string]int
	attempts map[string]int
	drains   map[string]time.Time
	found    Violations
	runs     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{orders: map[string]int{}, attempts: map[string]int{}, drains: map[string]time.Time{}}
}

// RecordDrainStart notes that a server must get no new work from deadline on.
func (l *Ledger) RecordDrainStart(server string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[server] = deadline
}

// RecordDrainEnd notes that a server may get work again.
func (l *Ledger) RecordDrainEnd(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drains, server)
}

// RecordRun notes that a server begins to run a request.
func (l *Ledger) RecordRun(server, attempt, order string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	if attempt != "" {
		l.attempts[attempt]++
	}
	if order != "" {
		l.orders[order]++
		if l.orders[order] == 2 {
			l.found.RepeatedOrders++
		}
	}
	if deadline, ok := l.drains[server]; ok && now.After(deadline) {
		l.found.AfterDrain++
	}
}

// RecordOverSlots notes a request that found every slot of a server busy.
func (l *Ledger) RecordOverSlots() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found.OverSlots++
}

// HasRun reports whether a caller's request ran on any server.
func (l *Ledger) HasRun(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[attempt] > 0
}

// Orders returns the number of distinct orders that ran.
func (l *Ledger) Orders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.orders)
}

// Runs returns the number of requests that ran.
func (l *Ledger) Runs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs
}

// Violations returns the broken promises so far.
func (l *Ledger) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found
}
