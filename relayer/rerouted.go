package relayer

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/rerouter"
)

const (
	// maxRerouted is the number of requests of other instances that are served at the same
	// time. Of less urgent requests only a part is served, by reroutedParts.
	maxRerouted = 256
	// reroutedParts is the number of ranks that share maxRerouted; each rank leaves one part
	// to the more urgent ones.
	reroutedParts = 4
)

// ServeRerouted serves a request that another instance sends on, because it does not reach
// the servers. It is never sent on again.
func (r *Relayer) ServeRerouted(w http.ResponseWriter, incoming *http.Request) {
	hop, err := rerouter.DecodeHop(incoming.Header)
	if err != nil {
		r.config.Log.Warn("an instance sent a malformed request", recorder.EventRerouteFailed.Attr(), slog.Any("error", err))
		rerouter.EncodeOutcome(w.Header(), pollencrank.ReasonMalformed, true)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.rerouted.Add(1)
	defer r.rerouted.Add(-1)
	r.serve(w, incoming, &hop)
}

// admitRerouted refuses a request of another instance if too many of them are served
// already.
func (r *Relayer) admitRerouted(call *forwarder.Call, hop *rerouter.Hop, now time.Time) error {
	call.Hop = hop
	parts := reroutedParts - min(call.Priority(), reroutedParts-1)
	if r.rerouted.Load() > int64(maxRerouted*parts/reroutedParts) {
		return temporaryRefusal(pollencrank.ReasonReroutedFull, now, "too many requests of other instances")
	}
	return nil
}

// reroutedWriter writes the answer to another instance.
type reroutedWriter struct{ http.ResponseWriter }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *reroutedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *reroutedWriter) setOutcome(reason pollencrank.Reason, isNotRun bool) {
	rerouter.EncodeOutcome(w.Header(), reason, isNotRun)
}
