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

// Suspects configures how requests that crash servers are detected, refused and
// reported to the other instances.
type Suspects struct {
	Isolator *isolator.Isolator
	// IsDown reports whether a server that aborted a request no longer accepts
	// connections.
	IsDown func(ctx context.Context, address string) bool
	// Broadcast sends a record to the other instances.
	Broadcast func(record isolator.Record)
}

// refuseCrashing returns a NotRunError if earlier copies of the request crashed servers.
func (f *Forwarder) refuseCrashing(call *Call, now time.Time) error {
	suspects := f.config.Suspects
	if suspects.Isolator.IsEmpty() {
		return nil
	}
	verdict, until := suspects.Isolator.Check(fingerprint(call), now)
	if verdict != isolator.Blocked {
		return nil
	}
	err := pollencrank.NotRun(pollencrank.ReasonCrashesServers, "the request has crashed servers")
	err.RetryAt = until
	return err
}

// fingerprint identifies the content of a call's request, independent of the caller
// and of the attempt.
func fingerprint(call *Call) isolator.Fingerprint {
	return isolator.FingerprintOf(call.Request, call.Body)
}

// recordCrash records a strike against a request whose server crashed while running
// it. It probes the server in the background first, because most broken connections
// are not crashes.
func (f *Forwarder) recordCrash(call *Call, backend *registrar.Backend, err error) {
	var unknown *pollencrank.OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.Reason != pollencrank.ReasonServerFailed {
		return
	}
	server, id, requestFingerprint := backend.Server(), call.Request.ID, fingerprint(call)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !f.config.Suspects.IsDown(ctx, server.Address) {
			return
		}
		now := time.Now()
		record := f.config.Suspects.Isolator.RecordCrash(requestFingerprint, now)
		event := recorder.EventRequestSuspected
		if record.Status(now) == isolator.Blocked {
			event = recorder.EventRequestBlocked
		}
		f.config.Log.Warn("a server crashed while running the request", event.Attr(),
			slog.String("request", id), slog.String("server", server.ID), slog.Int("strikes", record.Crashes))
		backend.MarkUnreachable(now)
		f.config.Suspects.Broadcast(record)
	}()
}

// crashCheckTimeout bounds the probe that checks whether a server is down.
const crashCheckTimeout = 800 * time.Millisecond

// clearSuspicion clears the strikes of a request that a server has answered, unless
// the request is already refused for crashing servers.
func (f *Forwarder) clearSuspicion(call *Call, now time.Time) {
	if !f.config.Suspects.Isolator.IsEmpty() {
		f.config.Suspects.Isolator.RecordAnswer(fingerprint(call), now)
	}
}
