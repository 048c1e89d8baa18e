package standin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/dispatcher"
)

// BackendConfig is the configuration of a backend stand-in.
type BackendConfig struct {
	Name string
	// Address is the address to listen on. The default is a free port on the
	// loopback interface.
	Address string
	Slots   int
	// ServiceTime returns the time that the next request takes. The default is
	// zero.
	ServiceTime func() time.Duration
	// AnswerBytes is the approximate size of an answer.
	AnswerBytes int
	// Ledger records the requests that run. The default is a new one.
	Ledger *Ledger
	// CrashOn reports whether a request crashes the server. The server restarts
	// after RestartDelay.
	CrashOn      func(*http.Request) bool
	RestartDelay time.Duration
	// Handler replaces the default request handler, except for health checks.
	Handler http.Handler
}

// Backend is a stand-in for a backend server. It runs at most Slots requests
// at once, sheds the rest, and includes the request's tag in the answer.
type Backend struct {
	config  BackendConfig
	address string
	handler http.Handler
	crashes atomic.Int64

	mu     sync.Mutex
	server *http.Server
	closed bool

	busy    atomic.Int64
	leaving atomic.Bool
	shed    atomic.Int64
}

// HeaderTag is the request header with a tag that the answer's body repeats, so
// that a caller can verify that the answer belongs to its request.
const HeaderTag = "X-Tag"

// StartBackend starts a backend stand-in.
func StartBackend(config BackendConfig) (*Backend, error) {
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("start backend stand-in: %w", err)
	}
	if config.ServiceTime == nil {
		config.ServiceTime = func() time.Duration { return 0 }
	}
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	b := &Backend{config: config, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", b.health)
	if config.Handler != nil {
		mux.Handle("/", config.Handler)
	} else {
		mux.HandleFunc("/", b.serve)
	}
	b.handler = mux
	b.run(listener)
	return b, nil
}

// run serves on a listener in the background. A backend that was closed while it
// restarted closes the listener instead.
func (b *Backend) run(listener net.Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		_ = listener.Close()
		return
	}
	server := &http.Server{Handler: b.handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	b.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash closes the listener and every connection, and restarts the server after
// RestartDelay.
func (b *Backend) crash() {
	b.crashes.Add(1)
	b.mu.Lock()
	_ = b.server.Close()
	b.mu.Unlock()
	time.AfterFunc(b.config.RestartDelay, func() {
		if listener, err := net.Listen("tcp", b.address); err == nil {
			b.run(listener)
		}
	})
}

// Crashes returns how often the stand-in has crashed.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// Address returns the address of the stand-in.
func (b *Backend) Address() string { return b.address }

// Ledger returns the ledger that the stand-in writes to.
func (b *Backend) Ledger() *Ledger { return b.config.Ledger }

// Shed returns how many requests were shed because all slots were busy.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// SetLeaving sets whether health checks report that the server is about to stop.
func (b *Backend) SetLeaving(leaving bool) { b.leaving.Store(leaving) }

// Close stops the stand-in immediately and closes its open connections, as a
// crash would.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	_ = b.server.Close()
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	if b.leaving.Load() {
		w.Header().Set(dispatcher.HeaderLeaving, "true")
	}
	w.Header().Set(dispatcher.HeaderLoad, strconv.FormatInt(b.busy.Load(), 10))
	_, _ = io.WriteString(w, "ok")
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	defer b.busy.Add(-1)
	if b.busy.Add(1) > int64(b.config.Slots) {
		b.shed.Add(1)
		b.config.Ledger.RecordOverSlots()
		w.Header().Set(dispatcher.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.config.CrashOn != nil && b.config.CrashOn(r) {
		b.crash()
		return
	}
	b.config.Ledger.RecordRun(b.config.Name, r.Header.Get(HeaderAttempt), r.Header.Get(HeaderOrder), time.Now())
	_, _ = io.Copy(io.Discard, r.Body)
	if !sleep(r.Context(), b.config.ServiceTime()) {
		return
	}
	body := TaggedBody(r.Header.Get(HeaderTag), b.config.AnswerBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// TaggedBody returns an answer body of about size bytes that starts with a tag
// and ends with an end marker and the tag, so that a caller can verify that the
// answer is complete and belongs to its request.
func TaggedBody(tag string, size int) []byte {
	body := make([]byte, 0, size+2*len(tag)+8)
	body = append(body, tag...)
	body = append(body, '\n')
	for len(body) < size {
		body = append(body, '.')
	}
	body = append(body, "\nend "...)
	return append(body, tag...)
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// HeavyTailed returns a function that draws service times from a log-normal
// distribution with a median, capped at 8 times the median. The draws depend on
// the seed and the number of the call only.
func HeavyTailed(median time.Duration, seed uint64) func() time.Duration {
	var calls atomic.Uint64
	return func() time.Duration {
		random := rand.New(rand.NewPCG(seed, calls.Add(1)))
		const sigma, maxFactor = 0.5, 8
		factor := min(maxFactor, math.Exp(random.NormFloat64()*sigma))
		return time.Duration(float64(median) * factor)
	}
}
