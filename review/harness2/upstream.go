package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an upstream has begun to run.
type run struct {
	id, upstream, path string
	body               []byte
	at                 time.Time
}

// upstream is a stand-in for a server of a service. Each start is a new lifetime with a new id, at
// the same address.
type upstream struct {
	rig                 *rig
	name, service, zone string
	address             string
	slots               int
	work                time.Duration
	// onRun is called for each request that begins to run. The upstream crashes if it returns true,
	// before it answers or, if crashesLate is set, while it sends its answer.
	onRun       func(x run) (crashes bool)
	crashesLate bool
	// answerBytes is the length of the answers, if it is set; if largePath is set, of those for
	// that path only.
	answerBytes int
	largePath   string
	// breaksOff, if set, says whether a long answer is broken off near its end.
	breaksOff func() bool
	// readPause, if set, is how long the upstream reads nothing after the first piece of a body. It
	// then reads in its slot, while it works.
	readPause time.Duration
	// onBegin and onEnd, if set, are called when the upstream begins to work on a request, and when
	// it has finished or its connection was broken off.
	onBegin func(id string)
	onEnd   func(id string, isBroken bool)

	born int64
	seq  int
	// sending is the number of answers that are being sent.
	sending  atomic.Int64
	mu       sync.Mutex
	lifetime int
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	free     chan struct{}
	coldTill time.Time
}

// addUpstream starts an upstream and registers it.
func (r *rig) addUpstream(service, zone string, slots int, work time.Duration, onRun func(x run) bool) (*upstream, error) {
	n := len(r.upstreams) + 1
	u := &upstream{rig: r, name: fmt.Sprintf("u%02d", n), service: service, zone: zone, slots: slots, work: work, onRun: onRun}
	u.address = fmt.Sprintf("%s.%d:0", r.prefix, 100+n)
	r.upstreams = append(r.upstreams, u)
	return u, u.start(0)
}

// start begins a lifetime that is cold for a while.
func (u *upstream) start(cold time.Duration) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.lifetime++
	u.id = fmt.Sprintf("i-%s-%d", u.name, u.lifetime)
	u.address = listener.Addr().String()
	u.listener, u.conns, u.running, u.waiting = listener, map[net.Conn]bool{}, 0, 0
	u.free = make(chan struct{}, u.slots)
	u.coldTill = time.Now().Add(cold)
	life := &lifetime{upstream: u, id: u.id, free: u.free}
	u.mu.Unlock()
	server := &http.Server{Handler: life, ConnState: u.track}
	go func() { _ = server.Serve(listener) }()
	return u.register(life.id, "ready", cold)
}

// register writes the entry of a lifetime.
func (u *upstream) register(id, state string, cold time.Duration) error {
	u.born, u.seq = time.Now().UnixMilli(), 0
	entry := u.entryOf(state)
	entry["status"].(map[string]any)["warmup-left"] = milliseconds(cold)
	return u.rig.store.Put("servers", id, entry)
}

// entryOf returns the entry of the current lifetime in a state.
func (u *upstream) entryOf(state string) map[string]any {
	u.seq++
	return map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "zone": u.zone, "version": "v1", "slots": u.slots},
		"status": map[string]any{"state": state, "seq": u.seq, "warmup-left": "0ms"},
	}
}

func (u *upstream) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, conn)
	}
}

// crash ends a lifetime: its address refuses connections, the open ones are reset, and its entry
// is removed after three check-in intervals of silence. The upstream is back after downFor.
func (u *upstream) crash(downFor time.Duration) {
	u.mu.Lock()
	_ = u.listener.Close()
	for conn := range u.conns {
		reset(conn)
	}
	id := u.id
	u.mu.Unlock()
	time.AfterFunc(3*1500*time.Millisecond, func() { u.rig.store.Delete("servers", id) })
	time.AfterFunc(downFor, func() {
		if err := u.start(warmup); err != nil {
			u.rig.say("%s does not start again: %v", u.name, err)
		}
	})
}

// lifetime serves the requests of one lifetime.
type lifetime struct {
	upstream *upstream
	id       string
	free     chan struct{}
}

func (l *lifetime) report(header http.Header) {
	u := l.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots))
}

// ServeHTTP implements http.Handler.
func (l *lifetime) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u := l.upstream
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != l.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", l.id)
		u.mu.Lock()
		cold := time.Until(u.coldTill)
		u.mu.Unlock()
		if cold > 0 {
			w.Header().Set("X-Warmup-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		l.report(w.Header())
		return
	}
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	}
	defer cancel()
	if !l.acquire(ctx) {
		l.report(w.Header())
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var once sync.Once
	release := func() { once.Do(l.release) }
	defer release()
	isBroken := true
	if u.onBegin != nil {
		u.onBegin(id)
		defer func() { u.onEnd(id, isBroken) }()
	}
	body, err := u.readBody(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.onRun(run{id: id, upstream: l.id, path: r.URL.Path, body: body, at: time.Now()}) {
		if u.crashesLate {
			l.beginAnswer(w)
		}
		u.crash(downFor)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(u.work):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(id)
	if u.answerBytes > 0 && (u.largePath == "" || u.largePath == r.URL.Path) {
		answer = bytes.Repeat(answer, 1+u.answerBytes/len(answer))
	}
	// The work is done; sending the answer takes no slot.
	release()
	l.report(w.Header())
	w.Header().Set("X-Response-Signature", l.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	u.sending.Add(1)
	if len(answer) >= 1<<20 && u.breaksOff != nil && u.breaksOff() {
		_, _ = w.Write(answer[:len(answer)*9/10])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
	u.sending.Add(-1)
	isBroken = false
}

// beginAnswer sends the first part of an answer.
func (l *lifetime) beginAnswer(w http.ResponseWriter) {
	const length, part = 90 << 10, 8 << 10
	w.Header().Set("X-Response-Signature", l.id)
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(make([]byte, part))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(50 * time.Millisecond)
}

// readBody reads a body. An upstream that reads slowly pauses after the first piece.
func (u *upstream) readBody(body io.Reader) ([]byte, error) {
	if u.readPause <= 0 {
		return io.ReadAll(body)
	}
	piece := make([]byte, pieceBytes)
	n, err := io.ReadFull(body, piece)
	if err != nil {
		return piece[:n], nil
	}
	time.Sleep(u.readPause)
	rest, err := io.ReadAll(body)
	return append(piece, rest...), err
}

// answerTo is the body of the answer to an attempt.
func answerTo(id string) []byte { return fmt.Appendf(nil, "%x\n", sha256.Sum256([]byte(id))) }

// acquire waits for a slot. It reports false if the queue is full or the time is over.
func (l *lifetime) acquire(ctx context.Context) bool {
	u := l.upstream
	u.mu.Lock()
	if u.waiting >= 3*u.slots {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	isFree := false
	select {
	case l.free <- struct{}{}:
		isFree = true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	if isFree {
		u.running++
	}
	return isFree
}

func (l *lifetime) release() {
	<-l.free
	l.upstream.mu.Lock()
	defer l.upstream.mu.Unlock()
	l.upstream.running--
}
