// Package connector opens connections to distant servers before they are needed.
//
// A request on a new connection takes one more round trip than a request on an idle
// one, which is much if the server is in another region. An instance of a large fleet
// uses each distant server so seldom that most requests would need a new connection. A
// Connector therefore keeps one spare connection to each distant server that was
// connected to recently. It opens the next one when the spare is used or grows old.
//
// A spare whose server closes it early is not replaced for a while: some servers close
// idle connections after a short time, and a request may not be sent on a connection
// that is about to be closed.
//
// # Usage
//
//	c := connector.New(connector.Config{Dial: dialer.DialContext, MaySpare: hasRoom})
//	defer c.Close()
//	transport := &http.Transport{DialContext: c.DialContext}
package connector

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// minDialTime is the time to open a connection from which a server is distant.
	minDialTime = 15 * time.Millisecond
	// DefaultLifetime is how long a spare is kept. Servers close idle connections after
	// some seconds.
	DefaultLifetime = 6 * time.Second
	// wantedFor is how long after the last connection to a server a spare is replaced
	// when it grows old.
	wantedFor = 15 * time.Second
	// suspendedFor is how long no spare is opened after one failed.
	suspendedFor = 10 * time.Second
	// dialTimeout bounds the time to open a spare.
	dialTimeout = time.Second
	// maxSpares bounds the number of spares.
	maxSpares = 512
)

// Config is the configuration of a Connector.
type Config struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaySpare reports whether a server may have a connection that is not in use. Nil
	// allows every server.
	MaySpare func(address string) bool
	// Lifetime is how long a spare is kept. Zero selects DefaultLifetime.
	Lifetime time.Duration
}

// Connector opens connections. It is safe for concurrent use.
type Connector struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	targets map[string]*target
	spares  int
}

// target is a distant server.
type target struct {
	network string
	spare   *spare
	// isOpening is set while a spare is being opened.
	isOpening bool
	// wantedUntil is until when an old spare is replaced, and suspendedUntil until when
	// no spare is opened.
	wantedUntil    time.Time
	suspendedUntil time.Time
}

// spare is a connection that nobody uses yet.
type spare struct {
	conn net.Conn
	// ended is closed when the watch of the connection has ended. isIntact is set before
	// if the server had neither closed the connection nor sent anything.
	ended    chan struct{}
	isIntact bool
}

// New returns a Connector without spares.
func New(config Config) *Connector {
	if config.MaySpare == nil {
		config.MaySpare = func(string) bool { return true }
	}
	if config.Lifetime <= 0 {
		config.Lifetime = DefaultLifetime
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Connector{config: config, ctx: ctx, cancel: cancel, targets: map[string]*target{}}
}

// Close closes the spares and returns when no goroutine is left.
func (c *Connector) Close() {
	c.cancel()
	c.Keep(func(string) bool { return false })
	c.wait.Wait()
}

// Keep closes the spares of the servers for whose addresses isKept reports false.
func (c *Connector) Keep(isKept func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.targets {
		if isKept(address) {
			continue
		}
		if t.spare != nil {
			_ = t.spare.conn.Close()
			c.removeSpare(t)
		}
		delete(c.targets, address)
	}
}

// removeSpare forgets the spare of a target. The lock is held.
func (c *Connector) removeSpare(t *target) {
	t.spare = nil
	c.spares--
}

// DialContext returns the spare connection to a server, or opens one.
func (c *Connector) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := c.take(address); conn != nil {
		c.want(network, address)
		return conn, nil
	}
	started := time.Now()
	conn, err := c.config.Dial(ctx, network, address)
	if err == nil && time.Since(started) >= minDialTime {
		c.want(network, address)
	}
	return conn, err
}

// take removes the spare of a server and returns its connection, or nil if there is no
// intact one.
func (c *Connector) take(address string) net.Conn {
	c.mu.Lock()
	t := c.targets[address]
	if t == nil || t.spare == nil {
		c.mu.Unlock()
		return nil
	}
	s := t.spare
	c.removeSpare(t)
	c.mu.Unlock()
	// A deadline in the past ends the watch.
	err := s.conn.SetReadDeadline(time.Unix(1, 0))
	<-s.ended
	if err == nil && s.isIntact {
		err = s.conn.SetReadDeadline(time.Time{})
	}
	if err != nil || !s.isIntact {
		_ = s.conn.Close()
		return nil
	}
	return s.conn
}

// want opens a spare for a distant server that was just connected to.
func (c *Connector) want(network, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[address]
	if t == nil {
		t = &target{network: network}
		c.targets[address] = t
	}
	t.wantedUntil = time.Now().Add(wantedFor)
	c.open(address, t)
}

// open opens a spare in the background, unless there is one or none may be opened. The
// lock is held.
func (c *Connector) open(address string, t *target) {
	now := time.Now()
	switch {
	case t.spare != nil || t.isOpening || c.ctx.Err() != nil:
		return
	case now.Before(t.suspendedUntil) || c.spares >= maxSpares || !c.config.MaySpare(address):
		return
	}
	t.isOpening = true
	c.spares++
	c.wait.Go(func() { c.dialSpare(address, t) })
}

func (c *Connector) dialSpare(address string, t *target) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, t.network, address)
	if err == nil {
		err = conn.SetReadDeadline(time.Now().Add(c.config.Lifetime))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.isOpening = false
	if err != nil || c.targets[address] != t {
		c.spares--
		t.suspendedUntil = time.Now().Add(suspendedFor)
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	t.spare = &spare{conn: conn, ended: make(chan struct{})}
	s := t.spare
	c.wait.Go(func() { c.watch(address, t, s) })
}

// watch waits until a spare is taken, ends or grows old.
func (c *Connector) watch(address string, t *target, s *spare) {
	var buffer [1]byte
	n, err := s.conn.Read(buffer[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s.isIntact = n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if !s.isIntact {
		t.suspendedUntil = now.Add(suspendedFor)
	}
	close(s.ended)
	if t.spare != s {
		return
	}
	c.removeSpare(t)
	_ = s.conn.Close()
	if s.isIntact && now.Before(t.wantedUntil) {
		c.open(address, t)
		return
	}
	if !now.Before(t.wantedUntil) {
		delete(c.targets, address)
	}
}
