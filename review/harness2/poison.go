package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	orders, files = "orderdesk", "drawvault"
	uploadPath    = "/veco27/17"
	// downFor is for how long an upstream is away after a crash.
	downFor = 3 * time.Second
)

// arrival is a poisonous request that has reached an upstream.
type arrival struct {
	run
	isInTouch bool
}

// poison watches the request that crashes the upstreams that run it.
type poison struct {
	rig          *rig
	method, path string
	body         []byte
	// crashesLate says that upstreams crash while they send the answer.
	crashesLate bool

	mu       sync.Mutex
	sentBy   map[string]*entry
	arrivals []arrival
}

func newPoison(r *rig, method, path string, body []byte) *poison {
	return &poison{rig: r, method: method, path: path, body: body, sentBy: map[string]*entry{}}
}

// onRun implements upstream.onRun: the poisonous request crashes the upstream.
func (p *poison) onRun(x run) bool {
	if x.path != p.path || !bytes.Equal(x.body, p.body) {
		return false
	}
	p.mu.Lock()
	sender := p.sentBy[x.id]
	a := arrival{run: x, isInTouch: sender != nil && sender.isInTouch(x.at)}
	p.arrivals = append(p.arrivals, a)
	number := len(p.arrivals)
	p.mu.Unlock()
	p.rig.say("POISON %s reaches %s, which crashes; sent by %s, in touch: %t; number %d", x.id, x.upstream, sender.name, a.isInTouch, number)
	return true
}

// send sends the poisonous request once more, as a new attempt.
func (p *poison) send(e *entry, number int) {
	id := fmt.Sprintf("poison-%03d", number)
	p.mu.Lock()
	p.sentBy[id] = e
	p.mu.Unlock()
	answer := p.rig.send(e, id, p.method, p.path, "", p.body, 4*time.Second)
	p.rig.say("poison %s sent to %s: %s", id, e.name, answer)
}

// judge counts the arrivals that the rule counts: those later than contact after the third crash,
// from machines in touch.
func (p *poison) judge() outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := 0
	for i, a := range p.arrivals {
		if i >= 3 && a.isInTouch && a.at.Sub(p.arrivals[2].at) > contact {
			counted++
		}
	}
	return outcome{
		isBroken: counted > 3,
		text: fmt.Sprintf("BUDGET: the request crashed %d upstreams; %d times it reached one later than contact after the third crash, sent by machines in touch (3 are allowed)",
			len(p.arrivals), counted),
	}
}

// addUpstreams adds upstreams of a service in all zones.
func (p *poison) addUpstreams(service string, perZone, slots int, work time.Duration) error {
	for range perZone {
		for _, zone := range zones {
			u, err := p.rig.addUpstream(service, zone, slots, work, p.onRun)
			if err != nil {
				return err
			}
			u.crashesLate = p.crashesLate
		}
	}
	return nil
}

// usualTraffic sends sound requests to entries that are up until stop is closed.
func usualTraffic(r *rig, method, path string, newBody func(n int) []byte, every time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		served, sent := 0, 0
		var mu sync.Mutex
		for n := 0; ; n++ {
			select {
			case <-stop:
				mu.Lock()
				r.say("usual requests: %d sent, %d served", sent, served)
				mu.Unlock()
				return
			case <-time.After(every):
			}
			e := r.entries[rand.IntN(len(r.entries))]
			if !e.isRunning() {
				continue
			}
			all.Go(func() {
				id := fmt.Sprintf("usual-%05d", n)
				answer := r.send(e, id, method, path, "", newBody(n), 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if answer.isServed() {
					served++
				} else {
					r.say("%s at %s: %s", id, e.name, answer)
				}
			})
		}
	})
	return &all
}

// poisonRestart: the entries are restarted one after the other while a request that crashes
// upstreams comes again.
func poisonRestart(r *rig, hasTrouble bool) (outcome, error) {
	p := newPoison(r, http.MethodPost, "/puba11/wu5/17", []byte("order 4711: 12 hinge assemblies"))
	if err := p.addUpstreams(orders, 2, 3, 150*time.Millisecond); err != nil {
		return outcome{}, err
	}
	if err := r.configure(1, []route{{
		name: "spare-order", prefix: "/puba11/wu5/", kind: "non_idempotent", service: orders,
		timeout: 4 * time.Second, target: 1200 * time.Millisecond, priority: 2, maxAttempts: 2,
	}}, orders); err != nil {
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
	stop := make(chan struct{})
	traffic := usualTraffic(r, http.MethodPost, "/puba11/wu5/3", func(n int) []byte { return fmt.Appendf(nil, "order %d", n) }, 40*time.Millisecond, stop)
	traffic.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if e := r.entries[n%len(r.entries)]; e.isRunning() {
				p.send(e, n)
			}
		}
	})
	time.Sleep(10 * time.Second)
	for _, e := range r.entries {
		if !hasTrouble {
			time.Sleep(10 * time.Second)
			continue
		}
		began := time.Now()
		r.say("SIGTERM to %s", e.name)
		e.stop()
		if err := e.start(); err != nil {
			return outcome{}, err
		}
		r.say("%s starts again", e.name)
		if err := e.awaitReady(10 * time.Second); err != nil {
			return outcome{}, err
		}
		time.Sleep(time.Until(began.Add(10 * time.Second)))
	}
	time.Sleep(10 * time.Second)
	close(stop)
	traffic.Wait()
	return p.judge(), nil
}

// poisonUpload: a large upload that crashes upstreams comes again, while sound ones go to the
// same path.
func poisonUpload(r *rig, hasTrouble bool) (outcome, error) {
	p := newPoison(r, http.MethodPost, uploadPath, newUpload("poison"))
	if err := p.addUpstreams(files, 4, 3, 30*time.Millisecond); err != nil {
		return outcome{}, err
	}
	if err := r.configure(1, []route{{
		name: "site-upload", prefix: "/veco27/", kind: "upload", service: files,
		timeout: 4 * time.Second, target: 600 * time.Millisecond, priority: 2, maxAttempts: 2,
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
	r.say("traffic starts")
	stop := make(chan struct{})
	traffic := usualTraffic(r, http.MethodPost, uploadPath, func(n int) []byte { return newUpload(fmt.Sprint("photo ", n)) }, 50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	const copies = 24
	for n := range copies {
		if hasTrouble {
			p.send(r.entries[n%len(r.entries)], n)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	return p.judge(), nil
}

// uploadBytes is the length of an upload.
const uploadBytes = 700 << 10

// newUpload returns the body of an upload, which differs by its text.
func newUpload(text string) []byte {
	body := bytes.Repeat([]byte{'.'}, uploadBytes)
	copy(body, text)
	return body
}

// poisonAnswer: a download that crashes upstreams while they send the answer comes again.
func poisonAnswer(r *rig, hasTrouble bool) (outcome, error) {
	p := newPoison(r, http.MethodGet, uploadPath, nil)
	p.crashesLate = true
	if err := p.addUpstreams(files, 4, 3, 100*time.Millisecond); err != nil {
		return outcome{}, err
	}
	if err := r.configure(1, []route{{
		name: "spec-download", prefix: "/veco27/", kind: "download", service: files,
		timeout: 4 * time.Second, target: 400 * time.Millisecond, priority: 1, maxAttempts: 2,
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
	r.say("traffic starts")
	stop := make(chan struct{})
	traffic := usualTraffic(r, http.MethodGet, "/veco27/3", func(int) []byte { return nil }, 50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	const copies = 12
	for n := range copies {
		if hasTrouble {
			p.send(r.entries[n%len(r.entries)], n)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	return p.judge(), nil
}
