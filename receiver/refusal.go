package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
)

// Headers of answers that do not come from a backend server.
const (
	HeaderOutcome  = "Pollencrank-Outcome"
	HeaderReason   = "Pollencrank-Reason"
	HeaderInstance = "Pollencrank-Instance"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Refusal is the JSON body of an answer that does not come from a backend
// server.
type Refusal struct {
	Outcome  string             `json:"outcome"`
	Reason   pollencrank.Reason `json:"reason"`
	Detail   string             `json:"detail"`
	Instance string             `json:"instance"`
	// RetryAt is the earliest time to retry. It is absent if the refusal does not
	// suggest a retry.
	RetryAt *time.Time `json:"retryAt,omitempty"`
}

// statusByReason maps a reason to its HTTP status. Any other reason gets 503 if
// the request did not run, and 502 if the outcome is unknown.
var statusByReason = map[pollencrank.Reason]int{
	pollencrank.ReasonNoRoute:         http.StatusNotFound,
	pollencrank.ReasonMalformed:       http.StatusBadRequest,
	pollencrank.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	pollencrank.ReasonKeyMissing:      http.StatusBadRequest,
	pollencrank.ReasonKeyReused:       http.StatusUnprocessableEntity,
	pollencrank.ReasonAlreadyRunning:  http.StatusConflict,
	pollencrank.ReasonAlreadyRun:      http.StatusConflict,
	pollencrank.ReasonKeyUnverifiable: http.StatusConflict,
	pollencrank.ReasonDeadlinePassed:  http.StatusGatewayTimeout,
}

// newRefusal returns the refusal that reports an error to the caller, and its
// HTTP status.
func newRefusal(instance string, err error) (Refusal, int) {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) {
		return buildRefusal(OutcomeNotRun, instance, notRun.Reason, notRun.Detail, notRun.RetryAt, http.StatusServiceUnavailable)
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return buildRefusal(OutcomeUnknown, instance, unknown.Reason, unknown.Detail, unknown.RetryAt, http.StatusBadGateway)
	}
	return buildRefusal(OutcomeUnknown, instance, pollencrank.ReasonServerFailed, err.Error(), time.Time{}, http.StatusBadGateway)
}

func buildRefusal(outcome, instance string, reason pollencrank.Reason, detail string, retryAt time.Time, status int) (Refusal, int) {
	refusal := Refusal{Outcome: outcome, Reason: reason, Detail: detail, Instance: instance}
	if specific, ok := statusByReason[reason]; ok {
		status = specific
	}
	if status == http.StatusServiceUnavailable && retryAt.IsZero() {
		const defaultRetryDelay = time.Second
		retryAt = time.Now().Add(defaultRetryDelay)
	}
	if !retryAt.IsZero() {
		retryAt = retryAt.UTC()
		refusal.RetryAt = &retryAt
	}
	return refusal, status
}

// refuse writes the refusal of a request that no backend server answered. It
// also counts, logs and records the refusal.
func (r *Receiver) refuse(w http.ResponseWriter, incoming *http.Request, err error) {
	refusal, status := newRefusal(r.config.Instance, err)
	r.metrics.countRefusal(refusal)
	r.refusals.write(refusal)
	r.recentRefusals.add(RefusalRecord{
		At:      time.Now().UTC(),
		Refusal: refusal,
		Caller:  r.callerAddress(incoming).String(),
		Method:  incoming.Method,
		Path:    truncatePath(incoming.URL.Path),
		Trace:   trace.SpanContextFromContext(recorder.Extract(incoming.Context(), incoming.Header)).TraceID().String(),
	})
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderOutcome, refusal.Outcome)
	header.Set(HeaderReason, string(refusal.Reason))
	header.Set(HeaderInstance, refusal.Instance)
	if refusal.RetryAt != nil {
		seconds := math.Ceil(max(0, time.Until(*refusal.RetryAt).Seconds()))
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}

// refusalLog writes refusals to the log, up to maxLoggedPerSecond, and counts
// those that it drops.
type refusalLog struct {
	log *slog.Logger
	// second is the second, in Unix time, that written counts.
	second  atomic.Int64
	written atomic.Int64
	dropped atomic.Int64
}

// maxLoggedPerSecond bounds the refusals logged each second.
const maxLoggedPerSecond = 20

func (l *refusalLog) write(refusal Refusal) {
	now := time.Now().Unix()
	if last := l.second.Load(); last != now && l.second.CompareAndSwap(last, now) {
		l.written.Store(0)
		if dropped := l.dropped.Swap(0); dropped > 0 {
			l.log.Info("refusals dropped from the log by its rate limit", recorder.EventRequestRefused.Attr(), slog.Int64("count", dropped))
		}
	}
	if l.written.Add(1) > maxLoggedPerSecond {
		l.dropped.Add(1)
		return
	}
	event, level := recorder.EventRequestRefused, slog.LevelInfo
	if refusal.Outcome == OutcomeUnknown {
		event, level = recorder.EventOutcomeUnknown, slog.LevelWarn
	}
	l.log.Log(context.Background(), level, "request was not answered by a backend server", event.Attr(),
		slog.String("reason", string(refusal.Reason)), slog.String("detail", refusal.Detail))
}
