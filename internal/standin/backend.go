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
	// Address is where to listen. The default is any port of loopback.
	Address string
	Slots   int
	// ServiceTime returns how long a request runs.
	ServiceTime func() time.Duration
	// AnswerBytes is the size of an answer.
	AnswerBytes int
	Ledger      *Ledger
	// CrashOn says which requests crash the server. It is back after Restart.
	CrashOn      func(*http.Request) bool
	RestartDelay time.Duration
	// Handler replaces the default behaviour for requests.
	Handler http.Handler
}

// Backend is a stand-in for a backend server. It runs at most Slots requests
// at once, sheds the rest, and repeats the request's tag in its answer.
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

// HeaderTag is repeated in the answer, so that a caller knows its own answer.
const HeaderTag = "X-Tag"

// StartBackend starts a backend stand-in on loopback.
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

// run serves on a listener.
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

// crash cuts every connection and comes back after a while.
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

// Shed returns the number of requests shed.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// SetLeaving makes the health answer say that the server is about to stop.
func (b *Backend) SetLeaving(leaving bool) { b.leaving.Store(leaving) }

// Close ends the stand-in at once, as a crash would.
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

// TaggedBody returns an answer of about size bytes that repeats a tag and ends
// with a mark, so that a caller can tell that it is whole and its own.
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

// sleep waits and reports whether ctx is still alive.
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

// HeavyTailed returns service times around a median, a few of them much longer.
func HeavyTailed(median time.Duration, seed uint64) func() time.Duration {
	var calls atomic.Uint64
	return func() time.Duration {
		random := rand.New(rand.NewPCG(seed, calls.Add(1)))
		const spread, longest = 0.5, 8
		factor := min(longest, math.Exp(random.NormFloat64()*spread))
		return time.Duration(float64(median) * factor)
	}
}
