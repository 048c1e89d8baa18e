package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstLong: the first long downloads of a route are sent in pipelines while some upstreams break
// off a part of their answers.
func firstLong(r *rig, hasTrouble bool) (outcome, error) {
	const (
		work        = 20 * time.Millisecond
		answerBytes = 3 << 19
		clients     = 40
		faulty      = 7 // of 12
		brokenOff   = 0.03
	)
	var sound sync.Map
	for range 2 {
		for _, zone := range zones {
			isFaulty := hasTrouble && len(r.upstreams) < faulty
			u, err := r.addUpstream(files, zone, 3, work, func(x run) bool {
				if !isFaulty {
					sound.Store(x.id, x.upstream)
				}
				return false
			})
			if err != nil {
				return outcome{}, err
			}
			u.answerBytes, u.largePath = answerBytes, "/veco27/17"
			if isFaulty {
				u.breaksOff = func() bool { return rand.Float64() < brokenOff }
			}
		}
	}
	if err := r.configure(1, []route{{
		name: "manual-download", prefix: "/veco27/", kind: "download", service: files,
		timeout: 8 * time.Second, target: 4 * time.Second, priority: 0, maxAttempts: 2,
	}, {
		name: "clasp-lookup", prefix: "/levo940/", kind: "idempotent", service: files,
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
	var mu sync.Mutex
	lost, whole, refused := 0, 0, 0
	for i, e := range r.entries {
		r.say("first long downloads at %s", e.name)
		var all sync.WaitGroup
		for n := range clients {
			all.Go(func() {
				got, missing := r.fourDownloads(e, fmt.Sprintf("e%d-c%02d", i, n))
				mu.Lock()
				defer mu.Unlock()
				for _, status := range got {
					if status == http.StatusOK {
						whole++
					} else {
						refused++
					}
				}
				for k, id := range missing {
					if upstream, isSound := sound.Load(id); k > 0 && isSound {
						lost++
						r.say("%s was run by %s, which is sound, and its connection was closed without an answer", id, upstream)
					}
				}
			})
		}
		all.Wait()
	}
	return outcome{
		isBroken: lost > 3,
		text:     fmt.Sprintf("LOST: %d downloads were whole, %d refused or failed with an answer; %d that sound upstreams ran got none on a kept connection (3 are allowed)", whole, refused, lost),
	}, nil
}

// fourDownloads sends a look-up and then four downloads at once on a connection. It returns the
// statuses of the whole answers to the downloads, and the ids without one; the first of these is
// the one that broke off.
func (r *rig) fourDownloads(e *entry, client string) (statuses []int, missing []string) {
	conn, err := net.Dial("tcp", net.JoinHostPort(e.ip, fmt.Sprint(frontPort)))
	if err != nil {
		return nil, nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	send := func(path, id string) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\n\r\n", path, host, id)
	}
	receive := func() (int, error) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	send("/levo940/1", client+"-first")
	if _, err := receive(); err != nil {
		return nil, nil
	}
	const downloads = 4
	for n := range downloads {
		send("/veco27/17", fmt.Sprintf("%s-%d", client, n))
	}
	for n := range downloads {
		status, err := receive()
		if err != nil {
			for k := n; k < downloads; k++ {
				missing = append(missing, fmt.Sprintf("%s-%d", client, k))
			}
			r.say("%s-%d: %v", client, n, err)
			return statuses, missing
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}
