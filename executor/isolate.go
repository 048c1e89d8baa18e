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
	// deathProbeTimeout bounds the question whether a server has died.
	deathProbeTimeout = 300 * time.Millisecond
	// suspectPause is when a refused suspect may come back.
	suspectPause = 2 * time.Second
)

// attemptSafely tries one server unless the request is known to crash servers.
// A suspect runs while no other suspect does.
func (e *Executor) attemptSafely(ctx context.Context, p *pool, request *pollencrank.Request, body *replayer.Body, avoid string) (*pollencrank.Answer, string, error) {
	fingerprint := sync.OnceValue(func() isolator.Fingerprint { return isolator.FingerprintOf(request, startOf(body)) })
	onBroken := func(server string) { e.afterFailure(ctx, p, server, fingerprint()) }
	if e.config.Isolator.IsEmpty() {
		answer, server, err := e.attempt(ctx, p, request, avoid, onBroken)
		e.judge(ctx, p, server, err, fingerprint)
		return answer, server, err
	}
	done, err := e.admitSuspect(ctx, p, request, fingerprint())
	if err != nil {
		return nil, "", err
	}
	answer, server, err := e.attempt(ctx, p, request, avoid, onBroken)
	e.judge(ctx, p, server, err, fingerprint)
	if err != nil {
		done()
		return nil, server, err
	}
	answer.Body = &suspectBody{ReadCloser: answer.Body, done: done, answered: func() {
		e.config.Isolator.RecordAnswer(fingerprint(), time.Now())
	}}
	return answer, server, nil
}

// startOf returns the start of a body, or nil if there is none or it cannot be
// read, which the attempt will find out itself.
func startOf(body *replayer.Body) []byte {
	if body == nil {
		return nil
	}
	start, _ := body.Peek()
	return start
}

// admitSuspect lets a request of which nothing is known pass, waits for a
// suspect's turn, and refuses a convicted one. The returned function ends the
// turn.
func (e *Executor) admitSuspect(ctx context.Context, p *pool, request *pollencrank.Request, fingerprint isolator.Fingerprint) (func(), error) {
	verdict, until := e.config.Isolator.Check(fingerprint, time.Now())
	switch verdict {
	case isolator.NotSuspected:
		return func() {}, nil
	case isolator.Blocked:
		return nil, convicted(until)
	}
	if p.usable < 2 && !e.config.ServedElsewhere(request.Workload) {
		return nil, refuseSuspect("no second server of %s is left", request.Workload)
	}
	wait, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case p.suspects <- struct{}{}:
	case <-wait.Done():
		return nil, refuseSuspect("another suspect of %s runs", request.Workload)
	}
	done := sync.OnceFunc(func() { <-p.suspects })
	// What is known may have changed meanwhile.
	switch verdict, until := e.config.Isolator.Check(fingerprint, time.Now()); verdict {
	case isolator.NotSuspected:
		done()
		return func() {}, nil
	case isolator.Blocked:
		done()
		return nil, convicted(until)
	default:
		return done, nil
	}
}

func convicted(until time.Time) error {
	err := pollencrank.NotRun(pollencrank.ReasonCrashesServers, "servers died of this request")
	err.RetryAt = until
	return err
}

func refuseSuspect(format string, args ...any) error {
	err := pollencrank.NotRun(pollencrank.ReasonSuspectedOfCrashing, format, args...)
	err.RetryAt = time.Now().Add(suspectPause)
	return err
}

// judge looks into a failed attempt.
func (e *Executor) judge(ctx context.Context, p *pool, server string, err error, fingerprint func() isolator.Fingerprint) {
	var unknown *pollencrank.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Reason == pollencrank.ReasonServerFailed {
		e.afterFailure(ctx, p, server, fingerprint())
	}
}

// afterFailure records a strike if a server has died. It returns when the other
// entries know of it, before the caller can send the request again.
func (e *Executor) afterFailure(ctx context.Context, p *pool, server string, fingerprint isolator.Fingerprint) {
	target, ok := p.targets[server]
	if !ok || !e.hasDied(ctx, target) {
		return
	}
	record := e.config.Isolator.RecordCrash(fingerprint, time.Now())
	event := recorder.EventRequestSuspected
	if record.Status(time.Now()) == isolator.Blocked {
		event = recorder.EventRequestBlocked
	}
	e.config.Log.Warn("server died while it ran a request", event.Attr(), slog.String("server", server),
		slog.Int("deaths", record.Crashes), slog.Time("until", record.Until))
	e.config.ShareSuspect(record)
}

// hasDied reports whether a server no longer answers, which tells its death
// from a broken connection.
func (e *Executor) hasDied(ctx context.Context, target dispatcher.Target) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deathProbeTimeout)
	defer cancel()
	_, err := e.config.Sender.Probe(ctx, target)
	if err != nil {
		e.setCold(target.Name)
	}
	return err != nil
}

// suspectBody ends a suspect's turn with its answer, and clears the suspect if
// the answer is whole.
type suspectBody struct {
	io.ReadCloser
	done     func()
	answered func()
}

// Read implements io.Reader.
func (b *suspectBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.answered()
	}
	return n, err
}

// Close implements io.Closer.
func (b *suspectBody) Close() error {
	defer b.done()
	return b.ReadCloser.Close()
}
