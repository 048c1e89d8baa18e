package relayer

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/recorder"
)

// temporaryRefusal returns a NotRunError that asks the caller to retry after
// defaultRetryDelay.
func temporaryRefusal(reason pollencrank.Reason, now time.Time, format string, args ...any) error {
	err := pollencrank.NotRun(reason, format, args...)
	err.RetryAt = now.Add(defaultRetryDelay)
	return err
}

// writeError writes the error answer to a request that no server answered.
func (r *Relayer) writeError(w http.ResponseWriter, call *forwarder.Call, headers CallerHeaders, err error, started time.Time) {
	status, reason, retryAt := classifyError(err)
	r.config.Dialect.SetRequestID(w.Header(), headers.RequestID)
	if status == http.StatusServiceUnavailable && retryAt.IsZero() {
		retryAt = time.Now().Add(defaultRetryDelay)
	}
	if !retryAt.IsZero() {
		r.config.Dialect.SetRetryAfter(w.Header(), max(time.Until(retryAt), 0))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if rerouted, ok := w.(*reroutedWriter); ok {
		rerouted.setOutcome(reason, pollencrank.IsNotRun(err))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+"\n")
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_refusals_total{reason=%q,status="%d"}`, reason, status)).Inc()
	event := recorder.EventRequestRefused
	if !pollencrank.IsNotRun(err) {
		event = recorder.EventOutcomeUnknown
	}
	attributes := []any{
		event.Attr(), slog.String("request", headers.RequestID), slog.Int("status", status), slog.Any("error", err),
		slog.String("took", time.Since(started).Round(time.Microsecond).String()),
	}
	if call != nil {
		attributes = append(attributes, slog.String("route", call.Route.Name), slog.Uint64("version", call.Table.Version))
		if call.Tenant != nil {
			attributes = append(attributes, slog.String("tenant", call.Tenant.Name))
		}
	}
	r.config.Log.Info("the request was not answered by a server", attributes...)
}

// classifyError returns the status and the reason of an error and the time at which the
// caller may retry, or the zero time.
func classifyError(err error) (int, pollencrank.Reason, time.Time) {
	var notRun *pollencrank.NotRunError
	if errors.As(err, &notRun) {
		return notRunStatus(notRun.Reason), notRun.Reason, notRun.RetryAt
	}
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) {
		if unknown.Reason == pollencrank.ReasonDeadlinePassed {
			return http.StatusGatewayTimeout, unknown.Reason, time.Time{}
		}
		return http.StatusBadGateway, unknown.Reason, time.Time{}
	}
	return http.StatusBadGateway, pollencrank.ReasonServerFailed, time.Time{}
}

func notRunStatus(reason pollencrank.Reason) int {
	switch reason {
	case pollencrank.ReasonNoRoute:
		return http.StatusNotFound
	case pollencrank.ReasonUnknownKey:
		return http.StatusUnauthorized
	case pollencrank.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case pollencrank.ReasonMalformed, pollencrank.ReasonBodyBroken:
		return http.StatusBadRequest
	case pollencrank.ReasonQuotaSpent:
		return http.StatusTooManyRequests
	case pollencrank.ReasonBodyTimeout:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}
