// Package dispatcher sends requests and health probes to backend servers over HTTP.
//
// A Dispatcher sends a request to a server on which the caller of Send holds a
// slot. Where possible, it proves that a failed request did not run: because no
// connection was established, because nothing was written to the connection, or
// because the server answered that it shed the request.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{})
//	answer, err := d.Send(ctx, target, request)
//	if pollencrank.IsNotRun(err) {
//		// Another server may be tried.
//	}
package dispatcher

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/discerner"
)

// Headers between the system and backend servers.
const (
	// HeaderShed marks an answer of a backend server that did not run the
	// request, with status 503 or 429.
	HeaderShed = "X-Not-Run"
	// HeaderTimeout carries the milliseconds that remain until the deadline of the
	// request.
	HeaderTimeout = "X-Request-Timeout-Ms"
	// HeaderRank carries the rank of the request.
	HeaderRank = "X-Request-Rank"
)

const (
	defaultMaxConnections = 330
	dialTimeout           = 500 * time.Millisecond
	idleTimeout           = 90 * time.Second
	writeBufferBytes      = 16 << 10
	// maxHeaderBytes bounds the head of an answer, including interim (1xx) answers
	// before it: a faulty server may send bytes without end.
	maxHeaderBytes = 64 << 10
	// maxDrainBytes is the maximum length of a refusal's body that is read so that
	// the connection can be reused.
	maxDrainBytes = 4 << 10
	// drainTimeout bounds the time spent on reading that body.
	drainTimeout = 200 * time.Millisecond
)

// Config is the configuration of a Dispatcher.
type Config struct {
	// DialContext opens connections. The default is a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect defines how the servers use headers. The default uses the headers of
	// this package.
	Dialect Dialect
	// OnReport, if set, is called with the report of the server in each answer.
	OnReport func(target Target, report Report)
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
	// HasProbeConnection makes probes use one of the connections that a server accepts for
	// themselves: answers whose callers read slowly may occupy all others.
	HasProbeConnection bool
	// Log gets the invalid answers. The default discards them.
	Log *slog.Logger
}

// Target is the backend server that a request is sent to.
type Target struct {
	Name           string
	Address        string
	MaxConnections int
	// HealthPath is the path that Probe requests.
	HealthPath string
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	config Config

	// transports is copied on write under mu, so that requests read it without a
	// lock.
	transports atomic.Pointer[map[Target]*transports]
	mu         sync.Mutex
}

// transports are the transports to one server.
type transports struct {
	requests, probes *http.Transport
	invalid          lineLimit
}

func (t *transports) closeIdleConnections() {
	t.requests.CloseIdleConnections()
	t.probes.CloseIdleConnections()
}

// New returns a Dispatcher.
func New(config Config) *Dispatcher {
	if config.DialContext == nil {
		config.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if config.Dialect == nil {
		config.Dialect = defaultDialect{}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = idleTimeout
	}
	d := &Dispatcher{config: config}
	d.transports.Store(&map[Target]*transports{})
	return d
}

// Close closes the idle connections to every server.
func (d *Dispatcher) Close() {
	for _, t := range *d.transports.Load() {
		t.closeIdleConnections()
	}
}

// Keep removes the transports of all servers that are not in targets and closes
// their idle connections.
func (d *Dispatcher) Keep(targets []Target) {
	kept := make(map[Target]bool, len(targets))
	for _, t := range targets {
		kept[connectionKey(t)] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[Target]*transports{}
	for target, transport := range *d.transports.Load() {
		if kept[target] {
			next[target] = transport
			continue
		}
		transport.closeIdleConnections()
	}
	d.transports.Store(&next)
}

// KeepAddresses removes the transports of all addresses for which isKept reports
// false, whatever the maximum number of connections in their targets.
func (d *Dispatcher) KeepAddresses(isKept func(address string) bool) {
	var targets []Target
	for target := range *d.transports.Load() {
		if isKept(target.Address) {
			targets = append(targets, target)
		}
	}
	d.Keep(targets)
}

func (d *Dispatcher) transport(target Target) *transports {
	target = connectionKey(target)
	if t := (*d.transports.Load())[target]; t != nil {
		return t
	}
	return d.addTransport(target)
}

// connectionKey returns the part of a target that identifies its transport.
func connectionKey(target Target) Target {
	if target.MaxConnections <= 0 {
		target.MaxConnections = defaultMaxConnections
	}
	target.HealthPath = ""
	return target
}

func (d *Dispatcher) addTransport(target Target) *transports {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := *d.transports.Load()
	if t := current[target]; t != nil {
		return t
	}
	t := d.newTransports(target.MaxConnections)
	next := maps.Clone(current)
	next[target] = t
	d.transports.Store(&next)
	return t
}

// newTransports returns the transports to a server that accepts maxConnections. With one
// connection only, probes still get one of their own.
func (d *Dispatcher) newTransports(maxConnections int) *transports {
	if d.config.HasProbeConnection {
		return &transports{requests: d.newTransport(max(1, maxConnections-1)), probes: d.newTransport(1)}
	}
	shared := d.newTransport(maxConnections)
	return &transports{requests: shared, probes: shared}
}

// newTransport returns a transport with at most maxConnections to a server.
func (d *Dispatcher) newTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		DialContext:         d.dialServer,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     d.config.IdleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (d *Dispatcher) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.config.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: discerner.New(conn), openedAt: time.Now()}, nil
}

// Send sends a request to a server and returns its answer. It returns a
// NotRunError if the request provably did not run, and otherwise an
// OutcomeUnknownError.
func (d *Dispatcher) Send(ctx context.Context, target Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	rewind := rewinder(request)
	for {
		attempt := &attempt{}
		outgoing, err := d.newOutgoing(attempt.withTrace(ctx), target, request)
		if err != nil {
			return nil, pollencrank.NotRun(pollencrank.ReasonMalformed, "%v", err)
		}
		response, err := d.transport(target).requests.RoundTrip(outgoing)
		if err == nil {
			return d.receive(target, request, response, attempt)
		}
		if !attempt.metAbandonedConnection() || ctx.Err() != nil || !rewind() {
			return nil, attempt.classify(ctx, target, err)
		}
	}
}

// rewinder returns a function that prepares a request to be sent once more from its start,
// and reports whether that is possible.
func rewinder(request *pollencrank.Request) func() bool {
	if request.Body == nil || request.ContentLength == 0 {
		return func() bool { return true }
	}
	seeker, ok := request.Body.(io.Seeker)
	if !ok {
		return func() bool { return false }
	}
	start, err := seeker.Seek(0, io.SeekCurrent)
	return func() bool {
		if err == nil {
			_, err = seeker.Seek(start, io.SeekStart)
		}
		return err == nil
	}
}

// receive returns the answer of a server, or the error that it stands for.
func (d *Dispatcher) receive(target Target, request *pollencrank.Request, response *http.Response, attempt *attempt) (*pollencrank.Answer, error) {
	if err := d.invalidAnswer(target, response, attempt); err != nil {
		return nil, err
	}
	if !d.config.Dialect.IsAnswerTo(request, response.Header) {
		// The answers that follow on the connection are out of step, too.
		attempt.abandonConnection()
		_ = response.Body.Close()
		return nil, foreignAnswer(target, response)
	}
	report := d.config.Dialect.Report(response.StatusCode, response.Header)
	reason, notRun := d.config.Dialect.Refusal(response.StatusCode, response.Header)
	// A server that was reached in place of the target reports on itself.
	if d.config.OnReport != nil && reason != pollencrank.ReasonServerReplaced {
		d.config.OnReport(target, report)
	}
	if notRun {
		attempt.finish()
		go discard(response)
		return nil, refusalError(target, reason, response, report)
	}
	if response.ContentLength == 0 {
		attempt.finish()
	}
	return newAnswer(target, response, report, attempt), nil
}

func (d *Dispatcher) newOutgoing(ctx context.Context, target Target, request *pollencrank.Request) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target.Address+request.URI, nil)
	if err != nil {
		return nil, err
	}
	outgoing.Host = request.Host
	outgoing.Header = request.Header.Clone()
	if outgoing.Header == nil {
		outgoing.Header = http.Header{}
	}
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own User-Agent.
		outgoing.Header["User-Agent"] = []string{""}
	}
	d.config.Dialect.Encode(outgoing.Header, target, request, max(0, time.Until(request.Deadline)))
	outgoing.ContentLength = request.ContentLength
	if request.Body != nil && request.ContentLength != 0 {
		outgoing.Body = io.NopCloser(request.Body)
	}
	if outgoing.Body == nil {
		// net/http retries a request by itself if its method or headers mark it as
		// idempotent and it has no body. Retries are decided on, and counted,
		// elsewhere. A body that is not http.NoBody and cannot be rewound
		// prevents those of net/http.
		outgoing.Body = emptyBody{}
	}
	return outgoing, nil
}

// emptyBody is an empty body that net/http cannot rewind.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
