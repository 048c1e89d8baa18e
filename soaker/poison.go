package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

const (
	// poisonCopies is how often a request comes that crashes servers, one copy each
	// poisonInterval at the next instance.
	poisonCopies   = 16
	poisonInterval = 500 * time.Millisecond
	// poisonTimeout is how long its caller waits.
	poisonTimeout = 3 * time.Second
	// maxLateArrivals is the number of times that it may reach a server later than
	// recoveryTime after the third crash.
	maxLateArrivals = 3
	// hotCallers is the number of callers that send the same sound request beside it.
	hotCallers = 8
	hotPath    = "/lookup/hot"
	// crashedFor is the time from the crash of a server until another one replaces it.
	crashedFor = time.Second
	// heldBackReason is in the answer to a request that is refused for crashing servers.
	heldBackReason = "crashesServers"
)

// poisonPrefixes are those of the paths of requests that crash servers, by the point of the
// crash.
var poisonPrefixes = map[imitator.Crash]string{
	imitator.CrashBeforeAnswer: "/lookup/poison-early-",
	imitator.CrashInAnswer:     "/lookup/poison-held-",
	imitator.CrashInLongAnswer: "/lookup/poison-long-",
}

// crashOf returns the point at which a server crashes that runs a request for a path.
func crashOf(path string) imitator.Crash {
	for crash, prefix := range poisonPrefixes {
		if strings.HasPrefix(path, prefix) {
			return crash
		}
	}
	return imitator.NoCrash
}

// poison sends a request that crashes the servers that run it, again and again, beside sound
// ones, and checks that it is held back and that these are not.
func (s *soak) poison(at imitator.Crash) func(context.Context, time.Duration, uint64) {
	return func(ctx context.Context, _ time.Duration, choice uint64) {
		ctx, end := context.WithCancel(ctx)
		defer end()
		path := poisonPrefixes[at] + fmt.Sprint(choice)
		var hot, copies sync.WaitGroup
		for i := range hotCallers {
			hot.Go(func() { s.sendHot(ctx, fmt.Sprintf("hot-%d-%d", choice, i), int(choice%1000)+i) })
		}
		for n := range poisonCopies {
			instance := s.instances[(choice+uint64(n))%uint64(len(s.instances))]
			copies.Go(func() { s.sendLookup(ctx, instance, fmt.Sprintf("poison-%d-%d", choice, n), path) })
			sleep(ctx, poisonInterval)
		}
		copies.Wait()
		end()
		hot.Wait()
		s.ledger.checkPoison(path)
	}
}

// sendHot sends the same sound request at one instance after the other until ctx ends.
func (s *soak) sendHot(ctx context.Context, id string, first int) {
	for n := 0; ctx.Err() == nil; n++ {
		s.sendLookup(ctx, s.instances[(first+n)%len(s.instances)], fmt.Sprintf("%s-%d", id, n), hotPath)
	}
}

// sendLookup sends an idempotent request to an instance that runs.
func (s *soak) sendLookup(ctx context.Context, instance *process, id, path string) {
	if !instance.isRunning() {
		sleep(ctx, pollInterval)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	attempt := s.ledger.beginAttempt(imitator.Attempt{
		ID: id, Address: imitator.CallerAddress(instance.ip), Host: callerHost, Path: path, Timeout: poisonTimeout,
	}, instance)
	s.ledger.endAttempt(attempt, imitator.Send(context.WithoutCancel(ctx), client, attempt.Attempt))
}

// crashed replaces a server that has crashed.
func (s *soak) crashed(id string) {
	s.mu.Lock()
	n := slices.IndexFunc(s.servers, func(b *backend) bool { return b.id == id })
	b := s.servers[n]
	s.mu.Unlock()
	b.close()
	if !s.retire(b) {
		return
	}
	go func() {
		time.Sleep(crashedFor)
		s.store.RemoveServer(b.id)
		s.replaceServer(b)
	}()
}

// poisonRun is one arrival of a request that crashes servers.
type poisonRun struct {
	at          time.Time
	isDisturbed bool
}

// recordPoison records an arrival of a request that crashes servers. The caller holds the lock.
func (l *ledger) recordPoison(s *sentAttempt, run imitator.Run) {
	if crashOf(run.Path) == imitator.NoCrash {
		return
	}
	isDisturbed := l.disturbances.covers(run.At) || s.instance.disturbances.covers(run.At)
	l.poisonRuns[run.Path] = append(l.poisonRuns[run.Path], poisonRun{at: run.At, isDisturbed: isDisturbed})
}

// checkPoison checks that a request which crashes servers was held back.
func (l *ledger) checkPoison(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs, late := l.poisonRuns[path], 0
	for i, run := range runs {
		if i >= 3 && !run.isDisturbed && run.at.After(runs[2].at.Add(recoveryTime)) {
			late++
		}
	}
	if late > maxLateArrivals {
		l.addViolation("a request that crashes servers is held back", "%s reached %d servers, %d of them late", path, len(runs), late)
	}
}

// checkHeldBack checks that only requests that crash servers are refused for that. The caller
// holds the lock.
func (l *ledger) checkHeldBack(s *sentAttempt, reply imitator.Reply) {
	if strings.Contains(reply.Refusal, heldBackReason) && crashOf(s.Path) == imitator.NoCrash {
		l.addViolation("a sound request is not held back", "%s for %s by %s", s.ID, s.Path, s.instance.id)
	}
}
