package executor

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/replayer"
)

const (
	// crashProbeTimeout bounds the probe that detects the crash of a server.
	crashProbeTimeout = 300 * time.Millisecond
	// suspectRetryDelay is the delay after which a refused suspect may be retried.
	suspectRetryDelay = 2 * time.Second
)

// attemptIsolated sends a request to one server, unless the request is blocked because
// it crashes servers. A suspect waits until no other suspect of the workload runs.
func (e *Executor) attemptIsolated(ctx context.Context, p *pool, request *pollencrank.Request, body *replayer.Body, avoid string) (*pollencrank.Answer, string, error) {
	fingerprint := sync.OnceValue(func() isolator.Fingerprint { return isolator.FingerprintOf(request, startOfBody(body)) })
	onReadError := func(sent sending) { e.recordIfCrashed(ctx, p, sent, fingerprint()) }
	if e.config.Isolator.IsEmpty() {
		answer, sent, err := e.attempt(ctx, p, request, avoid, onReadError)
		e.detectCrash(ctx, p, sent, err, fingerprint)
		return answer, sent.server, err
	}
	release, err := e.admitSuspect(ctx, p, request, fingerprint())
	if err != nil {
		return nil, "", err
	}
	answer, sent, err := e.attempt(ctx, p, request, avoid, onReadError)
	e.detectCrash(ctx, p, sent, err, fingerprint)
	if err != nil {
		release()
		return nil, sent.server, err
	}
	answer.Body = &suspectBody{ReadCloser: answer.Body, release: release, onComplete: func() {
		e.config.Isolator.RecordAnswer(fingerprint(), sent.at, time.Now())
	}}
	return answer, sent.server, nil
}

// startOfBody returns the start of a body, or nil if there is no body or reading it fails.
// The attempt gets the same read error.
func startOfBody(body *replayer.Body) []byte {
	if body == nil {
		return nil
	}
	start, _ := body.Peek()
	return start
}

// admitSuspect admits a request that is not suspected, makes a suspect wait until no
// other suspect of the workload runs, and refuses a blocked request. The returned
// function lets the next suspect run.
func (e *Executor) admitSuspect(ctx context.Context, p *pool, request *pollencrank.Request, fingerprint isolator.Fingerprint) (func(), error) {
	status, until := e.config.Isolator.Check(fingerprint, time.Now())
	switch status {
	case isolator.NotSuspected:
		return func() {}, nil
	case isolator.Blocked:
		return nil, newBlockedError(until)
	}
	if p.usableServers < 2 && !e.config.ServedElsewhere(request.Workload) {
		return nil, newSuspectError("no second server of %s is left", request.Workload)
	}
	wait, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case p.suspectSemaphore <- struct{}{}:
	case <-wait.Done():
		return nil, newSuspectError("another suspect of %s runs", request.Workload)
	}
	release := sync.OnceFunc(func() { <-p.suspectSemaphore })
	// The record of the request may have changed during the wait.
	switch status, until := e.config.Isolator.Check(fingerprint, time.Now()); status {
	case isolator.NotSuspected:
		release()
		return func() {}, nil
	case isolator.Blocked:
		release()
		return nil, newBlockedError(until)
	default:
		return release, nil
	}
}

func newBlockedError(until time.Time) error {
	err := pollencrank.NotRun(pollencrank.ReasonCrashesServers, "servers died of this request")
	err.RetryAt = until
	return err
}

func newSuspectError(format string, args ...any) error {
	err := pollencrank.NotRun(pollencrank.ReasonSuspectedOfCrashing, format, args...)
	err.RetryAt = time.Now().Add(suspectRetryDelay)
	return err
}

// detectCrash records a crash if an attempt failed because its server crashed.
func (e *Executor) detectCrash(ctx context.Context, p *pool, sent sending, err error, fingerprint func() isolator.Fingerprint) {
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Reason == pollencrank.ReasonServerFailed {
		e.recordIfCrashed(ctx, p, sent, fingerprint())
	}
}

// recordIfCrashed records a crash if a server has crashed. It returns after the record was
// shared with the other entries, so that they have it before the caller can retry the
// request.
func (e *Executor) recordIfCrashed(ctx context.Context, p *pool, sent sending, fingerprint isolator.Fingerprint) {
	endedAt := time.Now()
	target, ok := p.targets[sent.server]
	if !ok || !e.hasCrashed(ctx, target) {
		return
	}
	// All servers of an executor are in its own failure domain, so that it needs no name.
	record := e.config.Isolator.RecordCrash(isolator.Crash{
		Fingerprint: fingerprint,
		Server:      sent.server,
		BeganAt:     sent.at,
		At:          endedAt,
	})
	event := recorder.EventRequestSuspected
	if record.Status(time.Now()) == isolator.Blocked {
		event = recorder.EventRequestBlocked
	}
	e.config.Log.Warn("server crashed while it ran a request", event.Attr(), slog.String("server", sent.server),
		slog.Int("deaths", record.Crashes), slog.Time("until", record.Until))
	e.config.ShareSuspect(record)
}

// hasCrashed reports whether a server fails to answer a probe, which distinguishes a crash
// of the server from a broken connection.
func (e *Executor) hasCrashed(ctx context.Context, target dispatcher.Target) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	_, err := e.config.Sender.Probe(ctx, target)
	if err != nil {
		e.setCold(target.Name)
	}
	return err != nil
}

// suspectBody lets the next suspect run when the answer of a suspect is closed. A
// request with a complete answer is no longer suspected.
type suspectBody struct {
	io.ReadCloser
	release    func()
	onComplete func()
}

// Read implements io.Reader.
func (b *suspectBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.onComplete()
	}
	return n, err
}

// Close implements io.Closer.
func (b *suspectBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
