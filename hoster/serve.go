package hoster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// lookupLifetime is how long callers may cache the answer to a look-up.
	lookupLifetime = 1500 * time.Millisecond
	// expectedStartTime is the usual time from the start of an instance until it can
	// serve callers, with a margin.
	expectedStartTime = 800 * time.Millisecond
	// confirmTime is the time after the start of an instance in which its look-ups
	// name only other instances that have answered it: the fleet may have been started
	// together, and an entry in the store does not show that its instance serves.
	confirmTime = 3 * time.Second
	// serverDialTimeout limits the time to open a connection to a server.
	serverDialTimeout = 300 * time.Millisecond
	// serverIdleTimeout is how long an idle connection to a server is kept.
	serverIdleTimeout = 8 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// optionUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
	optionUserTimeout = 0x12
	sweepInterval     = 500 * time.Millisecond
	// registerRetryPause is the delay before the next attempt after the instance's
	// entry could not be written. registerConfirmPause is the time in which the watch
	// is expected to show an entry that was written.
	registerRetryPause   = 400 * time.Millisecond
	registerConfirmPause = 2500 * time.Millisecond
	// registerSpread is the time in which all instances write their entries again after
	// the store has lost them.
	registerSpread = 500 * time.Millisecond
	// defaultIdleLimit is the idle timeout of callers' connections if no
	// configuration sets one.
	defaultIdleLimit = 60 * time.Second
)

// dial opens a connection to a server and records the time that this took as the
// round-trip time to the server's location.
func (h *Hoster) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := newDialer()
	started := time.Now()
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	took := time.Since(started)
	if b := h.registrar.FindByAddress(address); b != nil {
		s := b.Server()
		h.distances.Observe(forwarder.Location{Region: s.Region, FailureDomain: s.FailureDomain}, took)
	}
	return conn, nil
}

// newDialer returns the dialer of connections whose other end may fall silent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: serverDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// On a platform without the option the other timeouts still apply.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
}

// report applies the load and the remaining warm-up that a server reports with an
// answer.
func (h *Hoster) report(target dispatcher.Target, report dispatcher.Report) {
	now := time.Now()
	b := h.registrar.Find(target.Name)
	if b == nil {
		return
	}
	if report.HasLoad {
		h.registrar.RecordReport(b, registrar.LoadReport{Running: report.Running, Waiting: report.Waiting, Pace: report.Pace}, now)
	}
	if report.IsLoadMalformed {
		metrics.GetOrCreateCounter(`pollencrank_malformed_loads_total`).Inc()
	}
	if report.ColdFor > 0 {
		b.MarkCold(now.Add(report.ColdFor))
	}
	if report.IsLeaving && b.MarkLeaving() {
		h.config.Log.Info("a backend server says in an answer that it is leaving", recorder.EventServerLeaving.Attr(), slog.String("server", b.ID()))
	}
	h.recordPause(b, report.Pause, now)
	h.recordReportedLimit(b, report.Limit, now)
}

func (h *Hoster) readyHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET(h.config.Lookups.ReadyPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !h.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return routes
}

// lookupHandler answers look-ups of callers with the instances to connect to, from the
// local state only.
func (h *Hoster) lookupHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET(h.config.Lookups.LookupPath, func(w http.ResponseWriter, r bunrouter.Request) error {
		if h.isStartOverdue() {
			// Another instance may be able to serve the caller.
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		caller := h.config.Lookups.Read(r.Request)
		named := namer.Choose(*h.roster.confirmed.Load(), caller)
		if len(named) == 0 {
			named = []namer.Instance{h.config.Self}
		}
		return h.config.Lookups.Write(w, named, min(lookupLifetime, h.bounds.Load().LookupLifetime))
	})
	return routes
}

// isStartOverdue reports whether the instance still cannot serve callers after
// expectedStartTime. Before that it answers look-ups, because it will most likely be able
// to serve when the callers connect.
func (h *Hoster) isStartOverdue() bool {
	select {
	case <-h.isConfigured:
		return false
	default:
		return time.Since(h.startedAt) > expectedStartTime
	}
}

func (h *Hoster) metricsHandler(callers *pipeliner.Server) http.Handler {
	held := metrics.NewSet()
	h.held.export(held, callers)
	routes := bunrouter.New()
	routes.GET("/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		metrics.WritePrometheus(w, true)
		held.WritePrometheus(w)
		return nil
	})
	return routes
}

// sweep periodically closes idle connections of callers, removes servers that did not
// return after an outage of the store, and closes connections to removed servers.
func (h *Hoster) sweep() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case now := <-ticker.C:
			limit := defaultIdleLimit
			if table := h.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
				limit = table.Limits.IdleTimeout
			}
			h.idles.Sweep(limit, now)
			h.state.Expire(!h.replicator.IsStoreUnavailable(), now)
			h.registrar.Expire()
			h.closeRemovedServers()
			h.membership.Confirm((storeAccess{h}).Health().AnsweredAt)
			h.membership.ConfirmStore(h.replicator.StoreEvidence())
			h.membership.Sweep(now)
			h.apportioner.Sweep(h.isLimited)
			h.rationer.Sweep()
		}
	}
}

// closeRemovedServers closes the idle connections to servers that have been removed.
func (h *Hoster) closeRemovedServers() {
	h.sender.KeepAddresses(func(address string) bool { return h.registrar.FindByAddress(address) != nil })
}

// spreadRegistration waits for a random time if the store has lost the instance's entry:
// it has then lost those of others too, and takes a limited number of writes.
func (h *Hoster) spreadRegistration() {
	if !h.roster.isLost() {
		return
	}
	select {
	case <-h.tomb.Dying():
	case <-time.After(rand.N(registerSpread)):
	}
}

// register writes the instance's own entry whenever the store lacks it. It does not wait
// until the instance can serve callers, because the instances of a starting fleet choose
// their relays among the instances that are registered.
func (h *Hoster) register() error {
	ctx := h.tomb.Context(context.Background())
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-h.registerNow:
		}
		h.spreadRegistration()
		for !h.isStopping.Load() && !h.roster.isRegistered() {
			pause := registerConfirmPause
			if err := h.config.Registry.Register(ctx, h.config.Self); err != nil {
				pause = registerRetryPause
				h.config.Log.Warn("the instance's entry could not be written to the store", recorder.EventRegistrationFailed.Attr(), slog.Any("error", err))
			}
			select {
			case <-h.tomb.Dying():
				return nil
			case <-time.After(pause):
			}
		}
	}
}
