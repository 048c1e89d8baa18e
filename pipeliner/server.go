// Package pipeliner serves HTTP/1.1 to callers that pipeline requests: that send
// further requests on a connection before the first one is answered.
//
// The server of net/http runs the requests of one connection sequentially, so an
// urgent request waits for every request that was sent before it. A Server runs
// them concurrently and sends the answers in the order of the requests. Requests
// are read by the parser of net/http. A request that may not run twice starts
// only after all earlier requests of its connection were answered: if the
// connection closes early, callers may repeat the requests that are still
// unanswered.
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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank/recorder"
)

const (
	defaultReadHeaderTimeout = 10 * time.Second
	defaultMaxHeaderBytes    = 64 << 10
	// defaultMaxHeldBytes bounds what is held for one connection if the configuration sets
	// no bound.
	defaultMaxHeldBytes = 4 << 20
	// maxCountedBytes is the most that one body or answer counts for the bytes that are held
	// for its connection: longer ones are passed on as they arrive.
	maxCountedBytes = 1 << 20
	// fullRetryDelay is the time after which a caller may retry a request for whose header
	// no memory was left.
	fullRetryDelay = time.Second
	// shutdownPollInterval is how often Shutdown checks whether all connections
	// have ended.
	shutdownPollInterval = 10 * time.Millisecond
	// acceptGracePeriod is how long connections are still accepted after a shutdown
	// began: those in the accept queue were opened before the shutdown, and closing
	// the listener would reset them.
	acceptGracePeriod = 200 * time.Millisecond
	// acceptRetryDelay is the delay after a failure to accept a connection, for
	// example because the process has run out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Config is the configuration of a Server.
type Config struct {
	Handler http.Handler
	// MayOverlap reports whether a request may run while earlier requests of its
	// connection are unanswered. By default no request may.
	MayOverlap func(r *http.Request) bool
	// RunsAlone reports whether no other request of its connection may run beside a
	// request, also none behind it: its answer may break off after a part has been sent,
	// and no other answer can follow then. By default none runs alone.
	RunsAlone func(r *http.Request) bool
	// ReadHeaderTimeout bounds the time from the first byte of a request to the
	// end of its header.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int
	// UnreadTimeout is how long a caller may take nothing of its answers before its
	// connection is ended. The default is that of package expirer.
	UnreadTimeout time.Duration
	// MaxHeldBytes bounds the headers and bodies of the requests of one connection and the
	// answers that wait for their turn: no further request is begun while they exceed it.
	MaxHeldBytes int64
	// MaxRequestBytes bounds the headers of the running requests of all connections. Further
	// requests are passed to RefuseFull. Zero sets no bound.
	MaxRequestBytes int64
	// RefuseFull refuses requests for whose header no memory is left. The default answers with
	// status 503.
	RefuseFull http.Handler
	// ConnContext, if set, returns the context of a connection, from which those of its
	// requests are derived.
	ConnContext func(ctx context.Context) context.Context
	// ConnState, if set, is called when a connection changes its state, like the
	// hook of that name in http.Server.
	ConnState func(conn net.Conn, state http.ConnState)
	Log       *slog.Logger
}

// Server serves pipelined HTTP/1.1 requests on the connections of its listeners.
type Server struct {
	config Config

	// requestBytes are the headers of the running requests.
	requestBytes atomic.Int64

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
	if config.RunsAlone == nil {
		config.RunsAlone = func(*http.Request) bool { return false }
	}
	if config.MaxHeldBytes <= 0 {
		config.MaxHeldBytes = defaultMaxHeldBytes
	}
	if config.RefuseFull == nil {
		config.RefuseFull = http.HandlerFunc(refuseFull)
	}
	if config.ConnContext == nil {
		config.ConnContext = func(ctx context.Context) context.Context { return ctx }
	}
	if config.ConnState == nil {
		config.ConnState = func(net.Conn, http.ConnState) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Server{config: config, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// refuseFull refuses a request.
func refuseFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", strconv.Itoa(int(fullRetryDelay.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// RequestBytes returns the bytes that are held for the headers of running requests.
func (s *Server) RequestBytes() int64 { return s.requestBytes.Load() }

// handlerOf returns the handler of a request with a header of the given size, which counts
// as held from now on.
func (s *Server) handlerOf(headerBytes int64) http.Handler {
	held := s.requestBytes.Add(headerBytes)
	if limit := s.config.MaxRequestBytes; limit > 0 && held > limit {
		return s.config.RefuseFull
	}
	return s.config.Handler
}

// logUnread reports a connection that was ended because its caller took nothing.
func (s *Server) logUnread(remote net.Addr) {
	unreadTotal.Inc()
	s.config.Log.Info("a caller took nothing of its answer; its connection is ended", recorder.EventCallerUnread.Attr(),
		slog.String("caller", remote.String()))
}

var unreadTotal = metrics.GetOrCreateCounter("pollencrank_unread_connections_total")

// Serve accepts connections until the server is closed, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	for {
		accepted, err := listener.Accept()
		switch {
		case s.closed() && err != nil:
			s.removeListener(listener)
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.config.Log.Debug("failed to accept a connection; retrying after a delay", slog.Any("error", err))
			time.Sleep(acceptRetryDelay)
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

// removeListener closes and removes a listener whose last connection was accepted.
func (s *Server) removeListener(listener net.Listener) {
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

// Shutdown accepts the connections that are in the accept queue and no further
// ones, waits for the running requests, and closes every connection after its last
// answer. If ctx ends first, it returns the error of ctx; the remaining connections
// stay open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drainListeners()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		open := s.openConns()
		for _, c := range open {
			c.finish()
		}
		if len(open) == 0 && s.hasNoListeners() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close closes all listeners and connections immediately.
func (s *Server) Close() error {
	s.closeListeners()
	for _, c := range s.openConns() {
		c.abort()
	}
	return nil
}

// drainListeners sets a deadline on the listeners, so that the loops in Serve accept
// the queued connections and then end. A listener without deadlines is closed.
func (s *Server) drainListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for l := range s.listeners {
		withDeadline, ok := l.(interface {
			SetDeadline(deadline time.Time) error
		})
		if !ok || withDeadline.SetDeadline(time.Now().Add(acceptGracePeriod)) != nil {
			_ = l.Close()
			delete(s.listeners, l)
		}
	}
}

// hasNoListeners reports whether every listener has stopped accepting connections.
func (s *Server) hasNoListeners() bool {
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
