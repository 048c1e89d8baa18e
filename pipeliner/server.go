// Package pipeliner serves HTTP/1.1 to callers that send further requests on a
// connection before the first one is answered.
//
// The server of net/http runs the requests of one connection one after the
// other, so an urgent request waits for whatever was sent before it. A Server
// runs them at the same time and gives the answers in the order of the requests.
// Requests are read by the parser of net/http. A request that may not run twice
// starts only after the answers before it were given: a connection that closes
// early lets callers repeat what was sent behind.
//
// # Usage
//
//	s := pipeliner.New(pipeliner.Config{Handler: relayer, MayOverlap: relayer.MayOverlap})
//	go s.Serve(listener)
//	err := s.Shutdown(ctx)
package pipeliner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultReadHeaderTimeout = 10 * time.Second
	defaultMaxHeaderBytes    = 64 << 10
	// shutdownPoll is how often Shutdown looks whether connections have ended.
	shutdownPoll = 10 * time.Millisecond
	// acceptTime is how long connections are still taken after a shutdown began:
	// those that wait to be accepted were opened before, and closing the listener
	// would reset them.
	acceptTime = 200 * time.Millisecond
	// acceptPause is the pause after a failure to accept a connection, for
	// example because the process has no descriptors left.
	acceptPause = 20 * time.Millisecond
)

// Config is the configuration of a Server.
type Config struct {
	Handler http.Handler
	// MayOverlap reports whether a request may run while earlier ones of its
	// connection are not answered yet. The default is that none may.
	MayOverlap func(r *http.Request) bool
	// ReadHeaderTimeout bounds the time between the first byte of a request and
	// the end of its header.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// ConnState, if set, is told of the states of connections, like that of
	// http.Server.
	ConnState func(conn net.Conn, state http.ConnState)
	Log       *slog.Logger
}

// Server serves connections.
type Server struct {
	config Config

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	isClosed  bool
}

// New returns a Server.
func New(config Config) *Server {
	if config.ReadHeaderTimeout <= 0 {
		config.ReadHeaderTimeout = defaultReadHeaderTimeout
	}
	if config.MaxHeaderBytes <= 0 {
		config.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if config.MayOverlap == nil {
		config.MayOverlap = func(*http.Request) bool { return false }
	}
	if config.ConnState == nil {
		config.ConnState = func(net.Conn, http.ConnState) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Server{config: config, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until the server is closed. It returns
// http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	for {
		accepted, err := listener.Accept()
		switch {
		case s.closed() && err != nil:
			s.endListener(listener)
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.config.Log.Debug("a connection was not accepted", slog.Any("error", err))
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, accepted)
		if !s.addConn(c) {
			continue
		}
		if s.closed() {
			c.finish()
		}
		go c.serve()
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// endListener closes a listener after its last connection was accepted.
func (s *Server) endListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = listener.Close()
	delete(s.listeners, listener)
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed && len(s.listeners) == 0 {
		_ = c.raw.Close()
		return false
	}
	s.conns[c] = struct{}{}
	s.config.ConnState(c.raw, http.StateNew)
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.config.ConnState(c.raw, http.StateClosed)
}

func (s *Server) closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isClosed
}

// Shutdown accepts the connections that wait for that and then nothing more, lets
// the requests that were begun end, and closes every connection after its last
// answer. It returns the error of ctx if that ends first; the connections that are
// left stay open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drainListeners()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		open := s.openConns()
		for _, c := range open {
			c.finish()
		}
		if len(open) == 0 && s.hasEnded() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close closes every connection at once.
func (s *Server) Close() error {
	s.closeListeners()
	for _, c := range s.openConns() {
		c.abort()
	}
	return nil
}

// drainListeners lets the loops that accept connections end soon.
func (s *Server) drainListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for l := range s.listeners {
		limited, ok := l.(interface {
			SetDeadline(deadline time.Time) error
		})
		if !ok || limited.SetDeadline(time.Now().Add(acceptTime)) != nil {
			_ = l.Close()
			delete(s.listeners, l)
		}
	}
}

// hasEnded reports whether no listener accepts connections any more.
func (s *Server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners) == 0
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	clear(s.listeners)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}
