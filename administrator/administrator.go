// Package administrator serves the operators' port: health, metrics, status
// and configuration changes. Every path but liveness and readiness requires a
// bearer token.
//
// Paths: GET /livez, /readyz, /metrics, /v1/status, /v1/configuration,
// /v1/history, /v1/plan, /v1/explain, /v1/refusals; PUT /v1/configuration;
// POST /v1/preset, /v1/drain, /v1/undrain, /v1/rollback, /v1/preview.
// docs/operators/api.md describes requests, responses and errors.
//
// # Usage
//
//	handler := administrator.New(administrator.Config{Token: token, Fleet: fleet, Acceptor: acceptor})
//	server := administrator.NewServer(handler, tlsConfig)
package administrator

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/parser"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/planner"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/versioner"
)

// Fleet gives access to the state of an instance and to its view of the fleet.
type Fleet interface {
	Ready() bool
	Self() pollencrank.Instance
	State() *versioner.State
	Members() []pollencrank.Instance
	// Survey requests from each running member the generation in force there.
	// Members that do not answer are missing from the result.
	Survey(ctx context.Context) map[string]pollencrank.Generation
	Servers() []Server
	StoreDown() bool
	// Summaries requests from the failure domains summaries of their load.
	Summaries(ctx context.Context) []planner.Summary
	// Explain returns why a caller is steered to its region and entries. It
	// returns NotFoundError for an unknown workload.
	Explain(caller netip.Addr, workload string, now time.Time) (Explanation, error)
	// Refusals returns the latest requests that were not answered by a
	// backend server, the latest first.
	Refusals() []receiver.RefusalRecord
}

// Acceptor accepts configuration changes.
type Acceptor interface {
	Accept(ctx context.Context, proposal acceptor.Proposal) (acceptor.Accepted, error)
	History(ctx context.Context) ([]acceptor.Accepted, error)
	Rollback(ctx context.Context, to pollencrank.Generation, proposal acceptor.Proposal) (acceptor.Accepted, error)
}

// Config is the configuration of the operators' port.
type Config struct {
	Token    string
	Fleet    Fleet
	Acceptor Acceptor
	Metrics  *metrics.Set
	Log      *slog.Logger
}

const (
	readTimeout  = 30 * time.Second
	maxBodyBytes = 64 << 20
)

type handler struct {
	config Config
}

// New returns the handler of the operators' port.
func New(config Config) http.Handler {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	h := &handler{config: config}
	router := bunrouter.New()
	router.GET("/livez", h.live)
	router.GET("/readyz", h.ready)
	router.Use(h.authenticate).WithGroup("", func(g *bunrouter.Group) {
		g.GET("/metrics", h.writeMetrics)
		g.GET("/v1/status", h.status)
		g.GET("/v1/configuration", h.configuration)
		g.PUT("/v1/configuration", h.replace)
		g.GET("/v1/history", h.history)
		g.POST("/v1/preset", h.preset)
		g.POST("/v1/drain", h.drain)
		g.POST("/v1/undrain", h.undrain)
		g.POST("/v1/rollback", h.rollback)
		g.GET("/v1/plan", h.plan)
		g.POST("/v1/preview", h.preview)
		g.GET("/v1/explain", h.explain)
		g.GET("/v1/refusals", h.refusals)
	})
	return router
}

// NewServer returns the HTTP server for operators.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{Handler: handler, TLSConfig: tlsConfig, ReadTimeout: readTimeout}
}

// authenticate refuses calls without the configured bearer token. If no token is
// configured, every call is refused.
func (h *handler) authenticate(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ok && h.config.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(h.config.Token)) == 1 {
			return next(w, r)
		}
		h.config.Log.Warn("operator call refused: bearer token missing or wrong", recorder.EventOperatorRefused.Attr(),
			slog.String("path", r.URL.Path), slog.String("address", r.RemoteAddr))
		w.Header().Set("WWW-Authenticate", "Bearer")
		return writeJSON(w, http.StatusUnauthorized, Problem{Kind: ProblemCredential, Message: "a valid bearer token is needed"})
	}
}

func (h *handler) live(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, Liveness{Alive: true})
}

func (h *handler) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	ready := h.config.Fleet.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	return writeJSON(w, status, Readiness{Ready: ready})
}

func (h *handler) writeMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.config.Metrics.WritePrometheus(w)
	return nil
}

func (h *handler) status(w http.ResponseWriter, r bunrouter.Request) error {
	fleet := h.config.Fleet
	status := Status{
		Instance:  newMember(fleet.Self(), 0, true),
		Ready:     fleet.Ready(),
		StoreDown: fleet.StoreDown(),
		Servers:   fleet.Servers(),
	}
	if state := fleet.State(); state != nil {
		status.Generation = state.Generation
		if c, err := state.Decode(); err == nil {
			status.PresetInForce = c.PresetInForce
			status.Drains = c.Drains
		}
	}
	generations := fleet.Survey(r.Context())
	for _, m := range fleet.Members() {
		generation, reached := generations[m.ID]
		status.Members = append(status.Members, newMember(m, generation, reached))
	}
	status.InForceEverywhere = isInForceEverywhere(status)
	return writeJSON(w, http.StatusOK, status)
}

// isInForceEverywhere reports whether the generation of the status is in force at
// every running member.
func isInForceEverywhere(status Status) bool {
	if status.Generation == 0 {
		return false
	}
	for _, m := range status.Members {
		if m.Running && m.Generation < status.Generation {
			return false
		}
	}
	return true
}

func newMember(m pollencrank.Instance, generation pollencrank.Generation, reached bool) Member {
	return Member{
		ID:            m.ID,
		State:         m.State.String(),
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		CallerAddress: m.CallerAddress,
		Generation:    generation,
		Reached:       reached,
		Running:       m.State.CanAnswer(),
	}
}

func (h *handler) configuration(w http.ResponseWriter, _ bunrouter.Request) error {
	state := h.config.Fleet.State()
	if state == nil {
		return writeJSON(w, http.StatusNotFound, Problem{Kind: ProblemNotFound, Message: "no configuration is in force here yet"})
	}
	c, err := state.DecodeAll()
	if err != nil {
		return writeProblem(w, err)
	}
	return writeJSON(w, http.StatusOK, Document{Generation: state.Generation, Configuration: *c})
}

func (h *handler) history(w http.ResponseWriter, r bunrouter.Request) error {
	history, err := h.config.Acceptor.History(r.Context())
	if err != nil {
		return writeProblem(w, err)
	}
	return writeJSON(w, http.StatusOK, history)
}

// decode reads a JSON body. If that fails, it writes the response and returns
// false.
func decode[T any](w http.ResponseWriter, r bunrouter.Request) (T, bool) {
	var v T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		_ = writeJSON(w, http.StatusBadRequest, Problem{Kind: ProblemMalformed, Message: err.Error()})
		return v, false
	}
	return v, true
}

// accept proposes a change that does not read or change the client blocks.
func (h *handler) accept(w http.ResponseWriter, r bunrouter.Request, change Change, summary string, edit func(*pollencrank.Configuration) error) error {
	return h.acceptProposal(w, r, change, summary, false, edit)
}

// acceptProposal proposes an edit of the configuration. With withBlocks, edit sees
// the client blocks and may change them.
func (h *handler) acceptProposal(w http.ResponseWriter, r bunrouter.Request, change Change, summary string, withBlocks bool,
	edit func(*pollencrank.Configuration) error) error {
	return h.answerProposal(w, change, summary, func(proposal acceptor.Proposal) (acceptor.Accepted, error) {
		proposal.Edit = edit
		proposal.WithBlocks = withBlocks
		return h.config.Acceptor.Accept(r.Context(), proposal)
	})
}

// answerProposal calls propose with a new proposal and responds with the accepted
// change or the error.
func (h *handler) answerProposal(w http.ResponseWriter, change Change, summary string,
	propose func(acceptor.Proposal) (acceptor.Accepted, error)) error {
	if change.OperationID == "" {
		return writeJSON(w, http.StatusBadRequest, Problem{Kind: ProblemMalformed, Message: "operationID is missing"})
	}
	accepted, err := propose(acceptor.Proposal{
		OperationID: change.OperationID,
		Author:      change.Author,
		Summary:     summary,
		Expect:      change.Expect,
	})
	if err != nil {
		return writeProblem(w, err)
	}
	h.config.Log.Info("configuration change accepted", recorder.EventConfigurationAccepted.Attr(),
		slog.Uint64("generation", uint64(accepted.Generation)), slog.String("author", change.Author), slog.String("summary", summary))
	return writeJSON(w, http.StatusOK, accepted)
}

// writeProblem responds with the status and the Problem that belong to an error.
func writeProblem(w http.ResponseWriter, err error) error {
	var (
		race         *acceptor.RaceError
		faults       *parser.FaultsError
		unknown      *persister.OutcomeUnknownError
		unavailable  *persister.UnavailableError
		notFound     *NotFoundError
		drain        *planner.DrainError
		lastInstance *LastInstanceError
		notKept      *acceptor.RollbackError
	)
	switch {
	case errors.As(err, &race):
		return writeJSON(w, http.StatusConflict, Problem{Kind: ProblemRace, Message: err.Error(), Winner: &race.Winner})
	case errors.As(err, &faults):
		return writeJSON(w, http.StatusUnprocessableEntity, Problem{Kind: ProblemFaults, Message: err.Error(), Faults: faults.Faults})
	case errors.As(err, &notFound):
		return writeJSON(w, http.StatusNotFound, Problem{Kind: ProblemNotFound, Message: err.Error()})
	case errors.As(err, &drain):
		return writeJSON(w, http.StatusConflict, Problem{Kind: ProblemDrain, Message: err.Error(), EarliestStart: earliestStart(drain)})
	case errors.As(err, &lastInstance):
		return writeJSON(w, http.StatusConflict, Problem{Kind: ProblemDrain, Message: err.Error()})
	case errors.As(err, &notKept):
		return writeJSON(w, http.StatusGone, Problem{Kind: ProblemNotKept, Message: err.Error()})
	case errors.As(err, &unknown):
		return writeJSON(w, http.StatusBadGateway, Problem{Kind: ProblemUnknown, Message: err.Error()})
	case errors.As(err, &unavailable):
		return writeJSON(w, http.StatusServiceUnavailable, Problem{Kind: ProblemStore, Message: err.Error()})
	default:
		return writeJSON(w, http.StatusInternalServerError, Problem{Kind: ProblemInternal, Message: err.Error()})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body)
}
