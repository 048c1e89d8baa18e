package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/wire"
)

const (
	// restartDelay is the short delay after which the platform restarts a process that ended.
	restartDelay = 500 * time.Millisecond
)

// playUploadCrash sends long uploads in short chunks, beside orders on kept connections.
// With trouble, a part of the upstreams of the uploads turns some of them away before the
// body is in, keeps the connection and reads on.
func playUploadCrash(f *fleet, withTrouble bool) (bool, error) {
	all := &uploads{form: uploadForm{bytes: 3 << 20, chunkBytes: 1000, burstBytes: 64 << 10, pause: 3 * time.Millisecond, senders: 16}}
	routes := []route{{"/uploads/", "upload", "fieldvault", "4000ms"}, {"/hires/", "non_idempotent", "hiredesk", "1500ms"}}
	if err := f.configure(routes, []string{"fieldvault", "hiredesk"}); err != nil {
		return false, err
	}
	garble := earlyDose()
	garble.times = 7
	if err := all.startUpstreams(f, garble, withTrouble); err != nil {
		return false, err
	}
	l := &ledger{runs: map[string][]string{}, statuses: map[string]int{}}
	if err := l.startUpstreams(f); err != nil {
		return false, err
	}
	if err := f.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	f.superviseEntries()
	end := garble.begin()
	var tasks sync.WaitGroup
	for range 30 {
		tasks.Go(func() { l.hire(f, end) })
	}
	_, count := all.sendUntil(f, end)
	tasks.Wait()
	f.record("%d uploads; %d orders that were passed on to a sound upstream had their kept connection closed without an answer", count, l.lost)
	for _, e := range f.entries {
		f.record("entry %s has ended by itself %d times", e.id, e.ends.Load())
	}
	return l.lost > allowedLost, nil
}

// superviseEntries restarts entries that end by themselves, and counts that.
func (f *fleet) superviseEntries() {
	for _, e := range f.entries {
		f.supervisors.Go(func() {
			for {
				<-e.exited
				if f.isClosing.Load() {
					return
				}
				e.ends.Add(1)
				f.record("ENDED: entry %s has ended by itself: %v; %s", e.id, e.command.ProcessState, e.lastPanic())
				time.Sleep(restartDelay)
				f.closing.Lock()
				var err error
				if !f.isClosing.Load() {
					err = e.start()
				}
				f.closing.Unlock()
				if err != nil {
					f.record("entry %s was not started again: %v", e.id, err)
					return
				}
			}
		})
	}
}

// startUpstreams starts sound upstreams that take orders.
func (l *ledger) startUpstreams(f *fleet) error {
	for i, zone := range f.site.upstreamZones {
		u := &upstream{fleet: f, id: fmt.Sprintf("h-%d", i+1), service: "hiredesk", zone: zone, slots: 3, queue: 9, work: 60 * time.Millisecond}
		u.onRun = l.addRun
		if err := u.start("127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

func (l *ledger) addRun(u *upstream, r *http.Request, _ []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := r.Header.Get(wire.HeaderAttempt)
	l.runs[id] = append(l.runs[id], u.id)
}

// hire sends orders on kept connections, and counts those that are lost.
func (l *ledger) hire(f *fleet, end time.Time) {
	const timeout = 1500 * time.Millisecond
	var conn *clientConn
	// isKept says that the connection has served a request before.
	isKept := false
	for number := 0; time.Now().Before(end); number++ {
		if conn == nil {
			addresses := f.resolve()
			if len(addresses) == 0 {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			var err error
			if conn, err = dial(addresses[rand.IntN(len(addresses))]); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			isKept = false
		}
		id := newID()
		f.record("client sends %s (POST /hires/%d)", id, number)
		began := time.Now()
		answer := conn.send(http.MethodPost, fmt.Sprintf("/hires/%d", number), id, timeout, "order "+id)
		f.record("client gets %d for %s", answer.status, id)
		l.mu.Lock()
		if isKept && answer.status == 0 && time.Since(began) < timeout && len(l.runs[id]) > 0 {
			l.lost++
			f.record("LOST: order %s was passed on to %v, and its connection was closed without an answer", id, l.runs[id])
		}
		l.mu.Unlock()
		isKept = answer.isKept
		if !isKept {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(max(100*time.Millisecond, min(answer.retryAfter, timeout/3)))
	}
	if conn != nil {
		_ = conn.Close()
	}
}
