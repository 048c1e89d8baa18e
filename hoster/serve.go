package hoster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/replicator"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// lookupLifetime is how long callers may keep the answer to a look-up.
	lookupLifetime = 1500 * time.Millisecond
	// startTime is how long an instance usually takes until it can serve callers,
	// with a margin.
	startTime = 800 * time.Millisecond
	// confirmTime is how long after its start an instance names no other one that
	// has not answered it: all may have started together.
	confirmTime = 3 * time.Second
	// serverDialTimeout bounds the opening of a connection to a server.
	serverDialTimeout = 300 * time.Millisecond
	// serverIdleTimeout is how long an idle connection to a server is kept.
	serverIdleTimeout = 8 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// optionUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
	optionUserTimeout = 0x12
	// peerIdleTimeout is how long an idle connection to an instance is kept.
	peerIdleTimeout = 5 * time.Second
	sweepInterval   = 500 * time.Millisecond
	// registerRetryPause is the pause after the instance's entry could not be
	// written, registerConfirmPause the time in which the watch shows one that
	// was written.
	registerRetryPause   = 400 * time.Millisecond
	registerConfirmPause = 2500 * time.Millisecond
	// defaultIdleLimit holds for callers' connections without a configuration.
	defaultIdleLimit = 60 * time.Second
)

// peerPath is where instances tell each other their state.
const peerPath = "/state"

// dial opens a connection to a server and learns its distance.
func (h *Hoster) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: serverDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// A platform without the option still has the other time-outs.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
	started := time.Now()
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	took := time.Since(started)
	if b := h.registrar.FindByAddress(address); b != nil {
		s := b.Server()
		h.distances.Observe(forwarder.Place{Region: s.Region, FailureDomain: s.FailureDomain}, took)
	}
	return conn, nil
}

// report takes what a server says of itself.
func (h *Hoster) report(target dispatcher.Target, report dispatcher.Report) {
	now := time.Now()
	b := h.registrar.Find(target.Name)
	if b == nil {
		return
	}
	if report.HasLoad {
		b.RecordLoad(report.Running, report.Waiting, now)
	}
	if report.ColdFor > 0 {
		b.MarkCold(now.Add(report.ColdFor))
	}
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

// lookupHandler answers callers that ask where to connect, from what is known.
func (h *Hoster) lookupHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET(h.config.Lookups.LookupPath, func(w http.ResponseWriter, r bunrouter.Request) error {
		if h.isStuck() {
			// Another instance may be able to serve.
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

// isStuck reports whether the instance has not learnt in time what it needs to
// serve callers. One that has only just started will, most likely.
func (h *Hoster) isStuck() bool {
	select {
	case <-h.isConfigured:
		return false
	default:
		return time.Since(h.startedAt) > startTime
	}
}

// peerState is what instances tell each other.
type peerState struct {
	Incarnation uint64 `json:"incarnation,string"`
	IsStopping  bool   `json:"isStopping"`
	IsReady     bool   `json:"isReady"`
	// Known are the revisions of the newest items of the store's collections.
	Known peerPositions `json:"known"`
}

// peerPositions are replicator.Positions.
type peerPositions struct {
	Servers        uint64 `json:"servers,string"`
	Configurations uint64 `json:"configurations,string"`
	Evacuations    uint64 `json:"evacuations,string"`
	Instances      uint64 `json:"instances,string"`
}

// peerHandler answers other instances.
func (h *Hoster) peerHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET(peerPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		return json.NewEncoder(w).Encode(peerState{
			Incarnation: h.config.Self.Incarnation,
			IsStopping:  h.isStopping.Load(),
			IsReady:     h.isReady(),
			Known:       peerPositions(h.state.ChangedAt()),
		})
	})
	routes.POST(suspectsPath, func(w http.ResponseWriter, r bunrouter.Request) error {
		records, err := readSuspects(r.Body)
		if err != nil {
			h.config.Log.Warn("records of suspects are malformed", recorder.EventRequestSuspected.Attr(), slog.Any("error", err))
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		h.isolator.Learn(records, time.Now())
		return nil
	})
	all := http.NewServeMux()
	all.Handle("/", routes)
	all.Handle(h.replicator.Handler())
	return all
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout}}
}

// maxStateBytes bounds what an instance says of its state.
const maxStateBytes = 4 << 10

// askState asks another instance for its state, and learns how far it knows.
func (h *Hoster) askState(ctx context.Context, i namer.Instance) (prober.State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.PeerAddress+peerPath, nil)
	if err != nil {
		return prober.State{}, err
	}
	response, err := h.peers.Do(request)
	if err != nil {
		return prober.State{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return prober.State{}, fmt.Errorf("instance %s: status %d", i.ID, response.StatusCode)
	}
	var state peerState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return prober.State{}, fmt.Errorf("instance %s: %w", i.ID, err)
	}
	h.replicator.Heard(i, replicator.Positions(state.Known))
	return prober.State{Incarnation: state.Incarnation, IsStopping: state.IsStopping, IsReady: state.IsReady}, nil
}

func metricsHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET("/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		metrics.WritePrometheus(w, true)
		return nil
	})
	return routes
}

// sweep closes idle connections and forgets servers that did not return.
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
			h.registrar.Expire()
			h.forgetServers()
		}
	}
}

// forgetServers closes the idle connections to servers that are gone.
func (h *Hoster) forgetServers() {
	h.sender.KeepAddresses(func(address string) bool { return h.registrar.FindByAddress(address) != nil })
}

// register writes the instance's own entry whenever the store lacks it. It does
// so before the instance can serve callers, because the instances of a fleet that
// starts choose their relays among those that they see.
func (h *Hoster) register() error {
	ctx := h.tomb.Context(context.Background())
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-h.registerNow:
		}
		for !h.isStopping.Load() && !h.roster.isRegistered() {
			pause := registerConfirmPause
			if err := h.config.Registry.Register(ctx, h.config.Self); err != nil {
				pause = registerRetryPause
				h.config.Log.Warn("the instance's entry was not written", recorder.EventRegistrationFailed.Attr(), slog.Any("error", err))
			}
			select {
			case <-h.tomb.Dying():
				return nil
			case <-time.After(pause):
			}
		}
	}
}
