package forwarder

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
)

// withdraw takes one retry of a call from the retry budget of its service.
func (f *Forwarder) withdraw(call *Call, now time.Time) error {
	budgets := f.config.Budgets
	if budgets.Withdraw(call.service.Name, now) {
		countRetry(call, "granted")
		return nil
	}
	countRetry(call, "refused")
	if budgets.mayReport(call.service.Name, now) {
		standing := budgets.standing(now)
		state := budgets.retryBudget(call.service.Name).State(standing, now)
		f.config.Log.Info("the retry budget of a service is spent", recorder.EventRetryBudgetSpent.Attr(),
			slog.String("service", call.service.Name), slog.Int("requests", state.Requests), slog.Int("retries", state.Retries),
			slog.Float64("extraShare", standing.ExtraShare), slog.Bool("isNew", standing.IsNew), slog.Float64("allowed", state.Allowed))
	}
	return pollencrank.NotRun(pollencrank.ReasonRetryBudget, "no further attempt is left in the budget")
}

func countRetry(call *Call, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_retries_total{result=%q,service=%q}`, result, call.service.Name)).Inc()
}
