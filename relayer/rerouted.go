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
	r.serve(w, incoming, &hop)
}

// admitRerouted counts a request of another instance as served until endRerouted, or refuses
// it if too many of them are served already. One that is refused never counts: others would
// be refused for it though there is room.
func (r *Relayer) admitRerouted(call *forwarder.Call, now time.Time) error {
	parts := reroutedParts - min(call.Priority(), reroutedParts-1)
	limit := int64(maxRerouted * parts / reroutedParts)
	for {
		served := r.rerouted.Load()
		if served >= limit {
			return temporaryRefusal(pollencrank.ReasonReroutedFull, now, "too many requests of other instances")
		}
		if r.rerouted.CompareAndSwap(served, served+1) {
			return nil
		}
	}
}

func (r *Relayer) endRerouted() { r.rerouted.Add(-1) }

// reroutedWriter writes the answer to another instance.
type reroutedWriter struct{ http.ResponseWriter }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *reroutedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *reroutedWriter) setOutcome(reason pollencrank.Reason, isNotRun bool) {
	rerouter.EncodeOutcome(w.Header(), reason, isNotRun)
}
