package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// ledger counts the runs of each attempt and holds the statuses of the answers.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]string
	statuses map[string]int
	// lost counts orders that were passed on and not answered.
	lost int
}

// playLateRefusal loads a service whose upstreams turn some requests away because they are
// full. A part of the upstreams sends a small share of its answers once more, late.
func playLateRefusal(f *fleet, withTrouble bool) (bool, error) {
	const (
		clients = 72
		timeout = 4 * time.Second
	)
	l := &ledger{runs: map[string][]string{}, statuses: map[string]int{}}
	// The dose of garble, "extra late", in the site file: share 0.6, x 0.03, 5 s.
	garble := dose{upstreams: 3, share: 0.03, span: 5 * time.Second, pause: 5 * time.Second, times: 8}
	if err := f.configure([]route{{"/orders/", "non_idempotent", "orderdesk", "1500ms"}}, []string{"orderdesk"}); err != nil {
		return false, err
	}
	for i, zone := range f.site.upstreamZones {
		u := &upstream{fleet: f, id: fmt.Sprintf("i-%d", i+1), service: "orderdesk", zone: zone, slots: 3, queue: 9, work: 40 * time.Millisecond}
		if withTrouble {
			u.isDoubled = func() bool { return garble.strikes(i) }
		}
		u.onRun = l.addRun
		if err := u.start("127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	end := garble.begin()
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { l.order(f, end, timeout) })
	}
	all.Wait()
	return l.judge(f), nil
}

// order sends orders until the end, one after the other.
func (l *ledger) order(f *fleet, end time.Time, timeout time.Duration) {
	var conn *clientConn
	for number := 0; time.Now().Before(end); number++ {
		if conn == nil {
			addresses := f.resolve()
			if len(addresses) == 0 {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			var err error
			if conn, err = dial(addresses[rand.IntN(len(addresses))]); err != nil {
				continue
			}
		}
		id := newID()
		f.record("client sends %s (POST /orders/%d)", id, number)
		answer := conn.send(http.MethodPost, fmt.Sprintf("/orders/%d", number), id, timeout, "order "+id)
		f.record("client gets %d for %s", answer.status, id)
		l.mu.Lock()
		l.statuses[id] = answer.status
		l.mu.Unlock()
		if !answer.isKept {
			_ = conn.Close()
			conn = nil
		}
		// Clients honour Retry-After up to a third of the time left.
		time.Sleep(min(answer.retryAfter, timeout/3))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// judge checks TWICE and REFUSED.
func (l *ledger) judge(f *fleet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	twice, refused := 0, 0
	for id, status := range l.statuses {
		counts[status]++
		if len(l.runs[id]) > 1 {
			twice++
			f.record("TWICE: order %s has run at %v; the client got %d", id, l.runs[id], status)
		}
		if len(l.runs[id]) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			f.record("REFUSED: order %s has run at %v; the client got %d", id, l.runs[id], status)
		}
	}
	f.record("%d orders by status %v; %d have run more than once, %d were refused though they had run", len(l.statuses), counts, twice, refused)
	return twice > 0
}
