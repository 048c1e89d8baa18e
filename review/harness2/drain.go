package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// arrivals watches when requests reach upstreams.
type arrivals struct {
	mu   sync.Mutex
	seen []run
}

func (a *arrivals) onRun(x run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = append(a.seen, x)
	return false
}

// slowDrain: an upstream leaves as planned while clients read large answers slowly.
func slowDrain(r *rig, hasTrouble bool) (outcome, error) {
	const (
		work        = 100 * time.Millisecond
		answerBytes = 12 << 20
		clients     = 110
		timeout     = 10 * time.Second
	)
	all := &arrivals{}
	for range 2 {
		for _, zone := range zones {
			u, err := r.addUpstream(files, zone, 3, work, all.onRun)
			if err != nil {
				return outcome{}, err
			}
			u.answerBytes, u.largePath = answerBytes, "/veco27/17"
		}
	}
	if err := r.configure(1, []route{
		{
			name: "manual-download", prefix: "/veco27/", kind: "download", service: files,
			timeout: timeout, target: time.Second, priority: 1, maxAttempts: 2,
		},
		{
			name: "spare-order", prefix: "/puba11/wu5/", kind: "non_idempotent", service: files,
			timeout: timeout, target: 1200 * time.Millisecond, priority: 0, maxAttempts: 2,
		},
	}, files); err != nil {
		return outcome{}, err
	}
	for _, zone := range zones {
		if _, err := r.addEntry(zone, r.storeLink.address, true); err != nil {
			return outcome{}, err
		}
	}
	if err := r.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second)
	r.say("traffic starts")
	e := r.entries[0]
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	pace := 60 << 20 // bytes a second
	if hasTrouble {
		pace = 1300 << 10
	}
	for n := range clients {
		traffic.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := r.download(e, fmt.Sprintf("large-%02d-%02d", n, i), pace, timeout); err != nil {
					r.say("large-%02d-%02d: %v", n, i, err)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	traffic.Go(func() {
		var orders sync.WaitGroup
		defer orders.Wait()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			orders.Go(func() {
				id := fmt.Sprintf("order-%04d", n)
				sentAt := time.Now()
				answer := r.send(e, id, http.MethodPost, "/puba11/wu5/17", "17", []byte("order "+id), timeout)
				if took := time.Since(sentAt); took > time.Second || !answer.isServed() {
					r.say("%s took %.3f s: %s", id, took.Seconds(), answer)
				}
			})
		}
	})
	leaving := r.awaitFull(hasTrouble)
	if err := r.store.Put("servers", leaving.id, leaving.entryOf("draining")); err != nil {
		return outcome{}, err
	}
	drainedAt := time.Now()
	r.say("%s is draining, acknowledged by the store", leaving.id)
	time.Sleep(10 * time.Second)
	close(stop)
	traffic.Wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	counts := map[string]int{}
	for _, x := range all.seen {
		counts[x.upstream+" "+x.path]++
	}
	r.say("requests by upstream and path: %v", counts)
	late, orders := 0, 0
	for _, x := range all.seen {
		if after := x.at.Sub(drainedAt); x.upstream == leaving.id && after > 0 {
			r.say("%s reaches %s %.3f s after the acknowledgement", x.id, x.upstream, after.Seconds())
			if after > drainBound && e.isInTouch(x.at) {
				late++
				if x.path != "/veco27/17" {
					orders++
				}
			}
		}
	}
	return outcome{
		isBroken: late > 0,
		text:     fmt.Sprintf("DRAIN: %d requests, %d of them orders, reached the upstream later than 2.5 s after the store had acknowledged that it is draining", late, orders),
	}, nil
}

// awaitFull returns an upstream all of whose connections have just been taken by answers that are
// read slowly, or any after a while.
func (r *rig) awaitFull(hasTrouble bool) *upstream {
	const full = 30
	before := map[*upstream]int64{}
	for deadline := time.Now().Add(20 * time.Second); hasTrouble && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, u := range r.upstreams {
			now := u.sending.Load()
			if now >= full && before[u] < full {
				r.say("%s sends %d answers", u.id, now)
				time.Sleep(200 * time.Millisecond)
				return u
			}
			before[u] = now
		}
	}
	return r.upstreams[2]
}

// download downloads a large answer at a pace.
func (r *rig) download(e *entry, id string, pace int, timeout time.Duration) error {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, ReadBufferSize: 4 << 10}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/veco27/17", e.ip, frontPort), nil)
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Affinity-Key", "17")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	piece, got := make([]byte, 32<<10), 0
	for {
		n, err := io.ReadFull(response.Body, piece)
		got += n
		if err == io.EOF || err == io.ErrUnexpectedEOF && int64(got) == response.ContentLength {
			return nil
		}
		if err != nil {
			return fmt.Errorf("status %d after %d bytes: %w", response.StatusCode, got, err)
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(pace))
	}
}
