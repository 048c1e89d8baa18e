package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// perZone is the number of entries of a zone of a larger fleet.
const perZone = 7

// directoryNames: a machine is removed while the store is down for a moment.
func directoryNames(r *rig, hasTrouble bool) (outcome, error) {
	const (
		outage   = 4500 * time.Millisecond
		stopAt   = time.Second
		askFor   = 20 * time.Second
		askEvery = 500 * time.Millisecond
	)
	for _, zone := range zones {
		if _, err := r.addUpstream(files, zone, 3, 100*time.Millisecond, func(run) bool { return false }); err != nil {
			return outcome{}, err
		}
	}
	if err := r.configure(1, []route{{
		name: "clasp-lookup", prefix: "/veco27/", kind: "idempotent", service: files,
		timeout: 4 * time.Second, target: time.Second, priority: 1, maxAttempts: 2,
	}}, files); err != nil {
		return outcome{}, err
	}
	for range perZone {
		for _, zone := range zones {
			if _, err := r.addEntry(zone, r.storeLink.address, true); err != nil {
				return outcome{}, err
			}
		}
	}
	if err := r.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(8 * time.Second)
	if hasTrouble {
		r.say("the store is down: connections to it are reset")
		r.storeLink.shut(true)
		time.AfterFunc(outage, func() {
			r.storeLink.shut(false)
			r.say("the store is back")
		})
	}
	backAt := time.Now().Add(outage)
	time.Sleep(stopAt)
	removed := r.entries[0]
	r.say("SIGTERM to %s, which is removed", removed.name)
	removed.touch(false)
	removed.signal(syscall.SIGTERM)
	select {
	case <-removed.exited:
	case <-time.After(grace):
		removed.kill()
	}
	endedAt := time.Now()
	r.say("%s has ended", removed.name)
	from := endedAt.Add(contact + 3*time.Second)
	if stable := backAt.Add(contact); stable.After(from) {
		from = stable
	}
	time.Sleep(time.Until(from))
	address := fmt.Sprintf("%s:%d", removed.ip, frontPort)
	var mu sync.Mutex
	named, answers := 0, 0
	for until := from.Add(askFor); time.Now().Before(until); time.Sleep(askEvery) {
		var asked sync.WaitGroup
		for _, e := range r.entries[1:] {
			if e.zone != removed.zone {
				continue
			}
			asked.Go(func() {
				got, err := e.lookUp(removed.zone)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					r.say("%s does not answer: %v", e.name, err)
					return
				}
				answers++
				if slices.Contains(got, address) {
					named++
					r.say("%s names %s, which ended %.1f s ago, and %d others", e.name, address, time.Since(endedAt).Seconds(), len(got)-1)
				}
			})
		}
		asked.Wait()
	}
	return outcome{
		isBroken: named > 3,
		text: fmt.Sprintf("DRAIN: %d of %d answers of the directory named the removed machine, later than 7 s after it had ended and 4 s after the store was back (3 are allowed)",
			named, answers),
	}, nil
}
