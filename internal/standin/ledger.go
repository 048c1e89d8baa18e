package standin

import (
	"sync"
	"time"
)

// Request headers that stand-in callers set and backend stand-ins record.
const (
	// HeaderAttempt is unique to each request that a caller sends.
	HeaderAttempt = "X-Attempt"
	// HeaderOrder is the same for all retries of an order.
	HeaderOrder = "X-Order"
)

// Violations counts violations of the system's guarantees as backend servers
// observe them.
type Violations struct {
	// RepeatedOrders is the number of orders that ran more than once.
	RepeatedOrders int
	// OverSlots is the number of requests that reached a server whose slots were
	// all busy.
	OverSlots int
	// AfterDrain is the number of requests that reached a server after the
	// deadline for new work that followed the start of its drain.
	AfterDrain int
}

// Ledger records the requests that run on backend servers. It is safe for
// concurrent use; the servers of a fleet share one.
type Ledger struct {
	mu         sync.Mutex
	orders     map[string]int
	attempts   map[string]int
	drains     map[string]time.Time
	violations Violations
	runs       int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{orders: map[string]int{}, attempts: map[string]int{}, drains: map[string]time.Time{}}
}

// RecordDrainStart records that a server must not receive new work after
// deadline.
func (l *Ledger) RecordDrainStart(server string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[server] = deadline
}

// RecordDrainEnd records that a server may receive work again.
func (l *Ledger) RecordDrainEnd(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drains, server)
}

// RecordRun records that a server starts to run a request.
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
			l.violations.RepeatedOrders++
		}
	}
	if deadline, ok := l.drains[server]; ok && now.After(deadline) {
		l.violations.AfterDrain++
	}
}

// RecordOverSlots records a request that reached a server while every slot was
// busy.
func (l *Ledger) RecordOverSlots() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations.OverSlots++
}

// HasRun reports whether a request ran on any server.
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

// Violations returns the violations recorded so far.
func (l *Ledger) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}
