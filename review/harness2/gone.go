package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// goneMany: clients that have many requests outstanding on a connection leave.
func goneMany(r *rig, hasTrouble bool) (outcome, error) {
	if hasTrouble {
		return clientsLeave(r, 12, 18, false)
	}
	return clientsLeave(r, 12, 8, false)
}

// goneBehindLong: clients that have two requests outstanding leave, on a route that has lately had
// long answers.
func goneBehindLong(r *rig, hasTrouble bool) (outcome, error) {
	return clientsLeave(r, 48, 2, hasTrouble)
}

// clientsLeave lets clients leave with some requests outstanding on each connection. hadLong says
// that each entry has passed on a long answer on the route before.
func clientsLeave(r *rig, clients, outstanding int, hadLong bool) (outcome, error) {
	const work = 2 * time.Second
	var mu sync.Mutex
	ended := map[string]time.Time{}
	for range 6 {
		for _, zone := range zones {
			u, err := r.addUpstream(files, zone, 9, work, func(run) bool { return false })
			if err != nil {
				return outcome{}, err
			}
			u.answerBytes, u.largePath = 3<<19, "/veco27/long"
			u.onBegin = func(id string) {
				mu.Lock()
				defer mu.Unlock()
				ended[id] = time.Time{}
			}
			u.onEnd = func(id string, _ bool) {
				mu.Lock()
				defer mu.Unlock()
				ended[id] = time.Now()
			}
		}
	}
	if err := r.configure(1, []route{{
		name: "cord-lookup", prefix: "/veco27/", kind: "idempotent", service: files,
		timeout: 8 * time.Second, target: 4 * time.Second, priority: 0, maxAttempts: 2,
	}}, files); err != nil {
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
	for _, e := range r.entries {
		if hadLong {
			r.say("a long download at %s: %s", e.name, r.send(e, "long-"+e.name, http.MethodGet, "/veco27/long", "", nil, 8*time.Second))
		}
	}
	var conns []net.Conn
	for n := range clients {
		e := r.entries[n%len(r.entries)]
		conn, err := net.Dial("tcp", net.JoinHostPort(e.ip, fmt.Sprint(frontPort)))
		if err != nil {
			return outcome{}, err
		}
		for i := range outstanding {
			fmt.Fprintf(conn, "GET /veco27/%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: gone-%02d-%02d\r\nX-Deadline-Ms: 8000\r\n\r\n", i, host, n, i)
		}
		conns = append(conns, conn)
	}
	time.Sleep(500 * time.Millisecond)
	leftAt := time.Now()
	for _, conn := range conns {
		_ = conn.Close()
	}
	r.say("all %d clients left, with %d requests each", clients, outstanding)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, begun := 0, 0
	for id, at := range ended {
		if strings.HasPrefix(id, "long-") {
			continue
		}
		begun++
		if at.IsZero() || at.Sub(leftAt) > 500*time.Millisecond {
			late++
			r.say("%s is worked on %.3f s after its client left", id, at.Sub(leftAt).Seconds())
		}
	}
	return outcome{
		isBroken: 4*late > begun,
		text:     fmt.Sprintf("GONE: upstreams were still at work half a second later on %d of %d idempotent requests of clients that had left", late, begun),
	}, nil
}
