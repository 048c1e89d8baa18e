package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// pieceBytes is what an upstream that reads slowly reads before its pause.
const pieceBytes = 64 << 10

// upload is an upload as its client and the upstreams saw it.
type upload struct {
	entry           *entry
	sentAt, endedAt time.Time
	answer          reply
	beganAt         time.Time
	brokenOffAt     time.Time
	finishedAt      time.Time
}

// uploads watches the uploads of a case.
type uploads struct {
	mu   sync.Mutex
	byID map[string]*upload
}

func (u *uploads) update(id string, change func(x *upload)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if x := u.byID[id]; x != nil {
		change(x)
	}
}

// slowReader: entries are stopped as planned while uploads are sent to upstreams that read slowly.
func slowReader(r *rig, hasTrouble bool) (outcome, error) {
	const (
		pause    = 2 * time.Second
		work     = 100 * time.Millisecond
		every    = 200 * time.Millisecond
		bytes    = 360_000
		timeout  = 4 * time.Second
		stopAt   = 8 * time.Second
		lastSent = 2500 * time.Millisecond
	)
	all := &uploads{byID: map[string]*upload{}}
	for range 4 {
		for _, zone := range zones {
			u, err := r.addUpstream(files, zone, 3, work, func(run) bool { return false })
			if err != nil {
				return outcome{}, err
			}
			u.onBegin = func(id string) { all.update(id, func(x *upload) { x.beganAt = time.Now() }) }
			u.onEnd = func(id string, isBroken bool) {
				all.update(id, func(x *upload) {
					if isBroken {
						x.brokenOffAt = time.Now()
						return
					}
					x.finishedAt = time.Now()
				})
			}
			if hasTrouble {
				u.readPause = pause
			}
		}
	}
	if err := r.configure(1, []route{{
		name: "site-upload", prefix: "/veco27/", kind: "upload", service: files,
		timeout: timeout, target: 1200 * time.Millisecond, priority: 2, maxAttempts: 2,
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
	begun := time.Now()
	stopped := r.entries[0]
	var stoppedAt time.Time
	var clients sync.WaitGroup
	r.say("traffic starts")
	body := newUpload("photo")[:bytes]
	for n := 0; time.Since(begun) < stopAt+lastSent; n++ {
		if stoppedAt.IsZero() && time.Since(begun) >= stopAt {
			stoppedAt = time.Now()
			r.say("SIGTERM to %s", stopped.name)
			stopped.signal(syscall.SIGTERM)
		}
		id, e := fmt.Sprintf("upload-%04d", n), r.entries[n%2]
		all.mu.Lock()
		all.byID[id] = &upload{entry: e, sentAt: time.Now()}
		all.mu.Unlock()
		clients.Go(func() {
			answer := r.send(e, id, http.MethodPost, uploadPath, "", body, timeout)
			all.update(id, func(x *upload) { x.answer, x.endedAt = answer, time.Now() })
		})
		time.Sleep(every)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return all.judge(r, stopped, stoppedAt, timeout), nil
}

// judge counts the uploads that were taken by the entry that was stopped, ended between its SIGTERM
// and a second after grace, and were broken off while their upstream was at work.
func (u *uploads) judge(r *rig, stopped *entry, stoppedAt time.Time, timeout time.Duration) outcome {
	u.mu.Lock()
	defer u.mu.Unlock()
	lost, brokenOff, served := 0, 0, 0
	for n := range len(u.byID) {
		id := fmt.Sprintf("upload-%04d", n)
		x := u.byID[id]
		r.say("%s to %s: sent %.3f, begun %.3f, broken off %.3f, finished %.3f, answered %.3f: %s", id, x.entry.name,
			r.at(x.sentAt), r.at(x.beganAt), r.at(x.brokenOffAt), r.at(x.finishedAt), r.at(x.endedAt), x.answer)
		if x.answer.isServed() {
			served++
			continue
		}
		isCut := !x.beganAt.IsZero() && !x.brokenOffAt.IsZero() && x.endedAt.Sub(x.sentAt) < timeout*7/10
		if !isCut {
			continue
		}
		brokenOff++
		if x.entry == stopped && x.endedAt.After(stoppedAt) && x.endedAt.Before(stoppedAt.Add(grace*5/6)) {
			lost++
		}
	}
	return outcome{
		isBroken: lost > 0,
		text: fmt.Sprintf("LOST: of %d uploads %d were served and %d broken off while their upstream was at work; %d of these after the SIGTERM of their machine, answered by the machine itself",
			len(u.byID), served, brokenOff, lost),
	}
}
