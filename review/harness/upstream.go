package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/wire"
)

// upstream is a stand-in for a backend server. It speaks HTTP/1.1, runs slots requests at
// a time, queues some and turns others away, and drops a request whose connection closes.
type upstream struct {
	fleet             *fleet
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// isDoubled, if set, says whether an answer is sent once more, late: where the next
	// answer on its connection is due.
	isDoubled func() bool
	// serveOwn, if set, may serve a request in another way, and then reports true.
	serveOwn func(c *upstreamConn, r *http.Request, body io.Reader) bool
	// onRun is called when a request begins to run.
	onRun func(u *upstream, r *http.Request, body []byte)

	listener net.Listener
	born     int64
	free     chan struct{}

	mu      sync.Mutex
	waiting int
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	*upstream
	net.Conn
	reader *bufio.Reader
	// extra is an answer that is sent once more when the next request has arrived.
	extra []byte
}

// start starts a lifetime of the upstream and writes its entry.
func (u *upstream) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.listener = listener
	u.born = time.Now().UnixMilli()
	u.free = make(chan struct{}, u.slots)
	go u.accept()
	u.fleet.record("upstream %s of %s in %s starts at %s", u.id, u.service, u.zone, listener.Addr())
	return u.publish()
}

func (u *upstream) publish() error {
	entry := wire.ServerEntry{Address: u.listener.Addr().String(), Born: u.born, Status: wire.ServerStatus{State: wire.StateReady}}
	entry.Info.Service, entry.Info.Zone, entry.Info.Slots = u.service, u.zone, u.slots
	return u.fleet.store.Put(wire.KindServers, u.id, entry)
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		c := &upstreamConn{upstream: u, Conn: conn, reader: bufio.NewReader(conn)}
		go c.serve()
	}
}

func (c *upstreamConn) serve() {
	defer c.Conn.Close()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if !c.answer(request) {
			return
		}
	}
}

// answer serves one request, and reports whether the connection stays open.
func (c *upstreamConn) answer(r *http.Request) bool {
	if c.extra != nil {
		_, err := c.Write(c.extra)
		c.fleet.record("upstream %s sends its answer to %s once more, where the answer to %s is due", c.id, attemptOf(c.extra), r.Header.Get(wire.HeaderAttempt))
		c.extra = nil
		if err != nil {
			return false
		}
	}
	expected := r.Header.Get(wire.HeaderExpect)
	switch {
	case expected != "" && expected != c.id:
		_, _ = io.Copy(io.Discard, r.Body)
		return c.reply(r, http.StatusMisdirectedRequest, nil, false)
	case r.URL.Path == "/health":
		return c.reply(r, http.StatusOK, nil, false)
	case c.serveOwn != nil && c.serveOwn(c, r, r.Body):
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	gone := make(chan struct{})
	next := make(chan struct{})
	go func() {
		defer close(next)
		if _, err := c.reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	isOpen := c.runInSlot(r, body, gone)
	<-next
	return isOpen
}

// runInSlot waits for a slot and runs the request, or turns it away.
func (c *upstreamConn) runInSlot(r *http.Request, body []byte, gone <-chan struct{}) bool {
	c.mu.Lock()
	isFull := c.waiting >= c.queue && len(c.free) >= c.slots
	if !isFull {
		c.waiting++
	}
	c.mu.Unlock()
	if isFull {
		return c.turnAway(r)
	}
	milliseconds, err := strconv.Atoi(r.Header.Get(wire.HeaderDeadline))
	if err != nil {
		milliseconds = 30000
	}
	deadline := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer deadline.Stop()
	hasSlot := false
	select {
	case c.free <- struct{}{}:
		hasSlot = true
	case <-deadline.C:
	case <-gone:
	}
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
	if !hasSlot {
		return c.turnAway(r)
	}
	defer func() { <-c.free }()
	c.fleet.record("upstream %s runs %s (%s %s)", c.id, r.Header.Get(wire.HeaderAttempt), r.Method, r.RequestURI)
	if c.onRun != nil {
		c.onRun(c.upstream, r, body)
	}
	select {
	case <-time.After(c.work):
		return c.reply(r, http.StatusOK, []byte("done "+r.Header.Get(wire.HeaderAttempt)), true)
	case <-deadline.C:
		return c.reply(r, http.StatusGatewayTimeout, nil, true)
	case <-gone:
		return false
	}
}

// turnAway answers a request that is not run.
func (c *upstreamConn) turnAway(r *http.Request) bool {
	c.fleet.record("upstream %s turns %s away", c.id, r.Header.Get(wire.HeaderAttempt))
	return c.reply(r, http.StatusServiceUnavailable, nil, false)
}

// reply writes an answer.
func (c *upstreamConn) reply(r *http.Request, status int, body []byte, hasRun bool) bool {
	answer := c.encode(r, status, body, hasRun)
	_, err := c.Write(answer)
	if c.isDoubled != nil && r.URL.Path != "/health" && c.isDoubled() {
		c.extra = answer
	}
	return err == nil
}

func (c *upstreamConn) encode(r *http.Request, status int, body []byte, hasRun bool) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&answer, "%s: %s\r\n%s: %s\r\n", wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt), wire.HeaderInstance, c.id)
	c.mu.Lock()
	fmt.Fprintf(&answer, "%s: %d,%d,%d\r\n", wire.HeaderLoad, len(c.free), c.waiting, c.slots)
	c.mu.Unlock()
	if hasRun {
		fmt.Fprintf(&answer, "%s: %s.%s\r\n", wire.HeaderSignature, c.id, r.Header.Get(wire.HeaderAttempt))
	}
	if !hasRun && status == http.StatusServiceUnavailable {
		fmt.Fprintf(&answer, "%s: 1\r\n", wire.HeaderNotExecuted)
	}
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	return answer.Bytes()
}

// attemptOf returns the ID in an encoded answer.
func attemptOf(answer []byte) string {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return "?"
	}
	return fmt.Sprintf("%s (status %d)", response.Header.Get(wire.HeaderAttempt), response.StatusCode)
}
