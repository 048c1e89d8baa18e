package receiver

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
)

// receiverMetrics holds the metrics of a Receiver, described in docs/METRICS.md.
type receiverMetrics struct {
	set       *metrics.Set
	lookups   *metrics.Counter
	requests  [pollencrank.RankCount]*metrics.Counter
	answered  [pollencrank.RankCount]*metrics.Counter
	truncated *metrics.Counter
	latency   [pollencrank.RankCount]*metrics.Histogram
}

func newReceiverMetrics(set *metrics.Set) receiverMetrics {
	m := receiverMetrics{
		set:       set,
		lookups:   set.GetOrCreateCounter("pollencrank_lookups_total"),
		truncated: set.GetOrCreateCounter("pollencrank_answers_truncated_total"),
	}
	for _, r := range pollencrank.Ranks() {
		m.requests[r] = set.GetOrCreateCounter(fmt.Sprintf("pollencrank_requests_total{rank=%q}", r))
		m.answered[r] = set.GetOrCreateCounter(fmt.Sprintf("pollencrank_requests_answered_total{rank=%q}", r))
		m.latency[r] = set.GetOrCreateHistogram(fmt.Sprintf("pollencrank_request_seconds{rank=%q}", r))
	}
	return m
}

func (m *receiverMetrics) countRefusal(refusal Refusal) {
	name := fmt.Sprintf("pollencrank_requests_refused_total{outcome=%q,reason=%q}", refusal.Outcome, refusal.Reason)
	m.set.GetOrCreateCounter(name).Inc()
}
