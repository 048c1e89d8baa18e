package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

// Suspects is what the instances know of requests that crash servers.
type Suspects struct {
	Isolator *isolator.Isolator
	// IsDown reports whether a server that broke off a request does not accept
	// connections any more.
	IsDown func(ctx context.Context, address string) bool
	// Tell passes a record on to the other instances.
	Tell func(record isolator.Record)
}

// refuseConvicted refuses a request that has crashed servers before.
func (f *Forwarder) refuseConvicted(call *Call, now time.Time) error {
	suspects := f.config.Suspects
	if suspects.Isolator.IsEmpty() {
		return nil
	}
	verdict, until := suspects.Isolator.Check(fingerprint(call), now)
	if verdict != isolator.Convicted {
		return nil
	}
	err := pollencrank.NotRun(pollencrank.ReasonConvicted, "the request has crashed servers")
	err.RetryAt = until
	return err
}

// fingerprint identifies what a call asks, whoever sends it and however often.
func fingerprint(call *Call) isolator.Fingerprint {
	return isolator.Of(call.Request, call.Body)
}

// suspect counts a request whose server went down under it. It asks the server
// in the background: most broken connections are not crashes.
func (f *Forwarder) suspect(call *Call, backend *registrar.Backend, err error) {
	var unknown *pollencrank.OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.Reason != pollencrank.ReasonServerFailed {
		return
	}
	server, id, print := backend.Server(), call.Request.ID, fingerprint(call)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !f.config.Suspects.IsDown(ctx, server.Address) {
			return
		}
		now := time.Now()
		record := f.config.Suspects.Isolator.Strike(print, now)
		event := recorder.EventRequestSuspected
		if record.Verdict(now) == isolator.Convicted {
			event = recorder.EventRequestConvicted
		}
		f.config.Log.Warn("a server went down while it ran the request", event.Attr(),
			slog.String("request", id), slog.String("server", server.ID), slog.Int("strikes", record.Strikes))
		backend.MarkUnreachable(now)
		f.config.Suspects.Tell(record)
	}()
}

// crashCheckTimeout bounds the question whether a server is down.
const crashCheckTimeout = 800 * time.Millisecond

// absolve clears a suspect that a server has answered.
func (f *Forwarder) absolve(call *Call, now time.Time) {
	if !f.config.Suspects.Isolator.IsEmpty() {
		f.config.Suspects.Isolator.Answered(fingerprint(call), now)
	}
}
