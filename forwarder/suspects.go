package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
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

// suspectRuns are the suspects that this instance has in flight, by server. It is safe
// for concurrent use.
type suspectRuns struct {
	mu       sync.Mutex
	byServer map[*registrar.Backend]map[isolator.Fingerprint]int
}

// begin adds a suspect that is sent to a server. The returned function removes it.
func (r *suspectRuns) begin(backend *registrar.Backend, suspect isolator.Fingerprint) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byServer[backend] == nil {
		r.byServer[backend] = map[isolator.Fingerprint]int{}
	}
	r.byServer[backend][suspect]++
	return func() { r.end(backend, suspect) }
}

func (r *suspectRuns) end(backend *registrar.Backend, suspect isolator.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.byServer[backend]
	running[suspect]--
	if running[suspect] == 0 {
		delete(running, suspect)
	}
	if len(running) == 0 {
		delete(r.byServer, backend)
	}
}

// hasOther reports whether a server runs a suspect other than the given one.
func (r *suspectRuns) hasOther(backend *registrar.Backend, suspect isolator.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.byServer[backend]
	return len(running) > 1 || (len(running) == 1 && running[suspect] == 0)
}

// refuseCrashing returns a NotRunError if earlier copies of the request crashed servers.
// It marks the call as a suspect if one copy did.
func (f *Forwarder) refuseCrashing(call *Call, now time.Time) error {
	suspects := f.config.Suspects
	call.suspect = nil
	if suspects.Isolator.IsEmpty() {
		return nil
	}
	print := fingerprint(call)
	verdict, until := suspects.Isolator.Check(print, now)
	switch verdict {
	case isolator.NotSuspected:
		return nil
	case isolator.Suspect:
		call.suspect = &print
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

// isBrokenOff reports whether an attempt ended as it does if its server crashes: the
// connection broke before the answer or in the middle of it.
func isBrokenOff(err error) bool {
	var unknown *pollencrank.OutcomeUnknownError
	if !errors.As(err, &unknown) {
		return false
	}
	return unknown.Reason == pollencrank.ReasonServerFailed || unknown.Reason == pollencrank.ReasonAnswerTruncated
}

// recordCrash records a strike against a request whose server crashed while running
// it. It probes the server in the background first, because most broken connections
// are not crashes.
func (f *Forwarder) recordCrash(id string, print isolator.Fingerprint, backend *registrar.Backend, beganAt, endedAt time.Time) {
	server := backend.Server()
	crash := isolator.Crash{
		Fingerprint:   print,
		Server:        server.ID,
		FailureDomain: server.FailureDomain,
		BeganAt:       beganAt,
		At:            endedAt,
	}
	f.checks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		isDown, isDoubtful := f.config.Suspects.IsDown(ctx, server.Address), f.config.Rerouter.IsDoubtful(server.Service)
		f.config.Log.Info("a server that broke off the request was checked", recorder.EventServerChecked.Attr(),
			slog.String("request", id), slog.String("server", server.ID), slog.Bool("isDown", isDown), slog.Bool("isLinkDoubtful", isDoubtful))
		if !isDown || isDoubtful {
			return
		}
		record := f.config.Suspects.Isolator.RecordCrash(crash)
		now := time.Now()
		event := recorder.EventRequestSuspected
		if record.Status(now) == isolator.Blocked {
			event = recorder.EventRequestBlocked
		}
		f.config.Log.Warn("a server crashed while running the request", event.Attr(),
			slog.String("request", id), slog.String("server", server.ID), slog.Int("strikes", record.Crashes))
		backend.MarkUnreachable(now)
		f.config.Suspects.Broadcast(record)
	})
}

// Wait returns when the checks of servers that run in the background have ended. No
// request may be forwarded meanwhile.
func (f *Forwarder) Wait() { f.checks.Wait() }

// crashCheckTimeout bounds the probe that checks whether a server is down.
const crashCheckTimeout = 800 * time.Millisecond

// clearSuspicion ends the suspicion of a request that a server has answered to the end.
func (f *Forwarder) clearSuspicion(call *Call, beganAt, now time.Time) {
	if !f.config.Suspects.Isolator.IsEmpty() {
		f.recordAnswer(call.Request.ID, fingerprint(call), beganAt, now)
	}
}

// recordAnswer records that a server has answered a request to the end, and tells the other
// instances if it was suspected.
func (f *Forwarder) recordAnswer(id string, print isolator.Fingerprint, beganAt, now time.Time) {
	if !f.config.Suspects.Isolator.RecordAnswer(print, beganAt, now) {
		return
	}
	f.config.Log.Info("a suspected request was answered", recorder.EventSuspicionEnded.Attr(), slog.String("request", id))
	f.config.Suspects.Broadcast(isolator.AnsweredRecord(print, now))
}

// watchStream lets the end of an answer that is passed on as it arrives decide about its
// request, as the end of any other attempt does: if the answer is complete, the request is
// no longer suspected; if the server crashed, that is a strike. release is called when the
// server no longer runs the request.
func (f *Forwarder) watchStream(call *Call, answer *pollencrank.Answer, streamed *streamedBody, backend *registrar.Backend, beganAt time.Time, release func()) {
	// The request and its body belong to the caller's connection, and may be gone when the
	// stream ends.
	id, print := call.Request.ID, fingerprint(call)
	streamed.onClose = release
	isFailure := isServerError(answer)
	streamed.onEnd = func(err error, now time.Time) {
		switch {
		case err == nil:
			if !isFailure {
				f.recordAnswer(id, print, beganAt, now)
			}
		case errors.Is(err, context.DeadlineExceeded) || streamed.hasCallerLeft():
		default:
			f.recordCrash(id, print, backend, beganAt, now)
		}
	}
}
