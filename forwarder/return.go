package forwarder

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

// returnProbeTimeout bounds the probe that checks whether an unreachable server is back.
const returnProbeTimeout = 800 * time.Millisecond

// isColdLimited reports whether a server gets no request of this instance now, because it is
// cold and others of the fleet use up what it may get. A server that was unreachable may
// have started again unheard of, so it counts as cold until it has answered: a request of
// each instance that tries it would be too many. The instances that may send none probe it.
func (f *Forwarder) isColdLimited(call *Call, backend *registrar.Backend, now time.Time) bool {
	mayReturnCold := backend.IsSuspended() && call.service.ColdRate > 0
	if !mayReturnCold && !backend.IsCold(now) {
		return false
	}
	if f.config.Warmer.Take(backend.ID(), call.service.ColdRate, now) {
		return false
	}
	call.sawUnreachable = call.sawUnreachable || backend.IsSuspended()
	if mayReturnCold && backend.BeginReturnProbe() {
		warmup := call.service.Warmup
		f.checks.Go(func() { f.probeReturn(backend, warmup) })
	}
	return true
}

// probeReturn checks whether an unreachable server is back. One that is counts as cold for
// its warm-up.
func (f *Forwarder) probeReturn(backend *registrar.Backend, warmup time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), returnProbeTimeout)
	defer cancel()
	server := backend.Server()
	err := f.config.Probe(ctx, server)
	now := time.Now()
	if err == nil {
		backend.MarkCold(now.Add(warmup))
		f.config.Rerouter.ObserveAnswer(server.Service)
	}
	backend.EndReturnProbe(err == nil, now)
	attributes := []any{recorder.EventServerProbed.Attr(), slog.String("server", server.ID), slog.Bool("isBack", err == nil)}
	if err != nil {
		attributes = append(attributes, slog.Any("error", err))
	}
	f.config.Log.Info("an unreachable server was probed", attributes...)
}
