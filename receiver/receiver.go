// Package receiver is the HTTP front end for callers. It answers look-ups and
// admits requests.
//
// A look-up is GET /.well-known/pollencrank/lookup?workload=NAME. Any other
// path is a request, and the configured routes determine its workload.
//
// Every answer that does not come from a backend server carries the header
// Pollencrank-Outcome, "not-run" or "unknown", and a Refusal as its JSON body.
//
// # Usage
//
//	r := receiver.New(receiver.Config{
//		Instance: "entry-1",
//		View:     func() *receiver.View { return view.Load() },
//		Executor: coordinator,
//	})
//	server := receiver.NewServer(r, tlsConfig)
package receiver

import (
	"crypto/tls"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/pollencrank/pollencrank"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 16 << 10
	defaultMaxRequests = 4096
)

// LookupPath is the URL path of look-ups.
const LookupPath = "/.well-known/pollencrank/lookup"

// Config is the configuration of a Receiver.
type Config struct {
	// Instance is the ID of this instance.
	Instance string
	// View returns the configuration in force, or nil before the first one.
	View     func() *View
	Executor pollencrank.Executor
	// TrustedProxies are the networks of proxies whose X-Forwarded-For header is
	// trusted.
	TrustedProxies []netip.Prefix
	// MaxRequests bounds the requests in progress. The default is 4096.
	MaxRequests int64
	// OnArrival is called for every request that matches a route, with the
	// workload and the region nearest to the caller. It may be nil.
	OnArrival func(workload, callersRegion string)
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	Log      *slog.Logger
	Tracer   trace.Tracer
	Metrics  *metrics.Set
}

// Receiver is the HTTP handler for callers.
type Receiver struct {
	config         Config
	router         *bunrouter.Router
	active         atomic.Int64
	metrics        receiverMetrics
	refusals       refusalLog
	recentRefusals refusalKeeper
}

var _ http.Handler = (*Receiver)(nil)

// New returns a Receiver.
func New(config Config) *Receiver {
	if config.MaxRequests <= 0 {
		config.MaxRequests = defaultMaxRequests
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Tracer == nil {
		config.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Stopping == nil {
		config.Stopping = func() bool { return false }
	}
	r := &Receiver{config: config, metrics: newReceiverMetrics(config.Metrics)}
	r.refusals.log = config.Log
	r.router = bunrouter.New()
	r.router.GET(LookupPath, r.handleLookup)
	return r
}

// ServeHTTP implements http.Handler. Only the look-up path goes through the
// router. All other requests are matched against the configured routes.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == LookupPath && request.Method == http.MethodGet {
		r.router.ServeHTTP(w, request)
		return
	}
	r.handleRequest(w, request)
}

// Active returns the number of requests in progress.
func (r *Receiver) Active() int64 { return r.active.Load() }

// NewServer returns the HTTP server for callers.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           resetAborted(handler),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}
