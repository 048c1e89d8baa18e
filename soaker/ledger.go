package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

// Bounds that the promises name.
const (
	// drainBound is after how long a leaving server gets nothing new.
	drainBound = 2500 * time.Millisecond
	// configBound is after how long a configuration is in force everywhere.
	configBound = 2500 * time.Millisecond
	// evacuationBound is after how long an evacuated failure domain gets nothing.
	evacuationBound = 5 * time.Second
	// contactTime is how long after a disturbance time bounds hold again.
	contactTime = 4 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	Promise string
	Detail  string
	At      time.Duration
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Promise, v.Detail)
}

// Counts says what the callers saw.
type Counts struct {
	Attempts, Served, NotRun, Unknown, Cut int
}

// sent is an attempt that was sent.
type sent struct {
	imitator.Attempt
	by    *process
	start int
	at    time.Time
	// refused is set once a refusal promised that the attempt never runs.
	refused bool
	// runs are the servers that began to work on it.
	runs []string
}

// ledger keeps what callers, servers and the operator saw, and checks it against
// the promises.
type ledger struct {
	began time.Time

	mu         sync.Mutex
	violations []Violation
	counts     Counts
	attempts   map[string]*sent
	// forbidden says what a server must not get, by its ID.
	forbidden map[string]notice
	versions  []configured
	// newest is the newest version that a start of an instance has shown.
	newest map[string]uint64
	// linksDisturbed is until when requests may be held up on their way to a
	// server.
	linksDisturbed map[string]time.Time
	// disturbances are the spans in which time bounds hold for no instance.
	disturbances disturbances
}

// notice is news that must have taken effect after a bound.
type notice struct {
	at    time.Time
	bound time.Duration
}

// configured is a configuration that the store has accepted.
type configured struct {
	version uint64
	at      time.Time
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), attempts: map[string]*sent{}, forbidden: map[string]notice{}, newest: map[string]uint64{},
		linksDisturbed: map[string]time.Time{}}
}

// record adds a broken promise. The lock is held.
func (l *ledger) record(promise, format string, args ...any) {
	l.violations = append(l.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...), At: time.Since(l.began)})
}

// report adds a broken promise.
func (l *ledger) report(promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(promise, format, args...)
}

// disturbLink says that requests may be held up on their way to a server.
func (l *ledger) disturbLink(server string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.linksDisturbed[server]) {
		l.linksDisturbed[server] = until
	}
}

// forbid says that a server is to get nothing once a bound from now has passed.
func (l *ledger) forbid(server string, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.forbidden[server]; !ok {
		l.forbidden[server] = notice{at: time.Now(), bound: bound}
	}
}

// allow ends what forbid said.
func (l *ledger) allow(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.forbidden, server)
}

// accepted says that the store has accepted a configuration.
func (l *ledger) accepted(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, configured{version: version, at: time.Now()})
}

// begin notes an attempt before it is sent.
func (l *ledger) begin(a imitator.Attempt, by *process) *sent {
	s := &sent{Attempt: a, by: by, start: by.startNumber(), at: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Attempts++
	l.attempts[a.ID] = s
	return s
}

// ran notes that a server began to work on a request.
func (l *ledger) ran(run imitator.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.attempts[run.RequestID]
	if s == nil {
		l.record("only what callers sent runs", "server %s ran %q", run.Server, run.RequestID)
		return
	}
	if run.Path != s.Path {
		l.record("a request is passed on unchanged", "%s: %s instead of %s", s.ID, run.Path, s.Path)
	}
	if s.IsNonIdempotent && len(s.runs) > 0 {
		l.record("an order runs at most once", "%s at %v and %s", s.ID, s.runs, run.Server)
	}
	if s.refused {
		l.record("'not run' is true", "%s ran at %s after the refusal", s.ID, run.Server)
	}
	s.runs = append(s.runs, run.Server)
	isHeldUp := run.At.Before(l.linksDisturbed[run.Server])
	if n, ok := l.forbidden[run.Server]; ok && !isHeldUp && l.isBound(s, n) {
		l.record("a leaving or evacuated server gets nothing new", "%s at %s by %s, %s after the news", s.ID, run.Server, s.by.id, run.At.Sub(n.at))
	}
	l.checkVersion(s, versionOf(s.Path))
}

// isBound reports whether an attempt was sent after news must have taken effect at
// its instance, in the same start and with nothing that holds the attempt up. The
// lock is held.
func (l *ledger) isBound(s *sent, n notice) bool {
	if s.by.startNumber() != s.start || s.by.disturbances.covers(s.at) || s.by.disturbances.covers(time.Now()) {
		return false
	}
	return s.at.After(boundEnd(n.at, n.bound, &l.disturbances, &s.by.disturbances))
}

// versionOf returns the version that a path belongs to, or zero.
func versionOf(path string) uint64 {
	var version uint64
	if _, err := fmt.Sscanf(path, "/v%d/", &version); err != nil {
		return 0
	}
	return version
}

// isOwed reports whether the newest configuration has a route for an attempt.
func (l *ledger) isOwed(a imitator.Attempt) bool {
	version := versionOf(a.Path)
	return version == 0 || version+1 >= l.newestVersion()
}

// checkVersion checks that a request of a version's own route was served by that
// version or the next one. The lock is held.
func (l *ledger) checkVersion(s *sent, version uint64) {
	if version == 0 {
		return
	}
	key := fmt.Sprintf("%s#%d", s.by.id, s.start)
	l.newest[key] = max(l.newest[key], version)
	for _, c := range l.versions {
		// Each version drops the route of the one before the last.
		if c.version == version+2 && l.isBound(s, notice{at: c.at, bound: configBound}) {
			l.record("a configuration is in force in time", "%s ran under a route that version %d dropped", s.ID, c.version)
		}
	}
}

// end notes what became of an attempt.
func (l *ledger) end(s *sent, reply imitator.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case reply.Err != nil:
		l.counts.Cut++
	case reply.Status == http.StatusOK:
		l.counts.Served++
		if !reply.IsGenuine {
			l.record("a caller gets its own whole answer", "%s by %s", s.ID, s.by.id)
		}
	case reply.PromisesNotRun():
		l.counts.NotRun++
		l.checkRefusal(s)
	case reply.Status == http.StatusNotFound:
		l.counts.NotRun++
		l.checkMissing(s)
	default:
		l.counts.Unknown++
	}
}

// checkRefusal checks that a refused order did not run. The lock is held.
func (l *ledger) checkRefusal(s *sent) {
	if !s.IsNonIdempotent {
		return
	}
	s.refused = true
	if len(s.runs) > 0 {
		l.record("'not run' is true", "%s ran at %v before the refusal", s.ID, s.runs)
	}
}

// checkMissing checks that a route is missing only where it may be. The lock is
// held.
func (l *ledger) checkMissing(s *sent) {
	version := versionOf(s.Path)
	if version == 0 {
		l.record("a route that always was there is served", "%s got 404 from %s", s.ID, s.by.id)
		return
	}
	newest := l.versions[len(l.versions)-1].version
	key := fmt.Sprintf("%s#%d", s.by.id, s.start)
	// A version's own route is dropped by the one after the next.
	if l.newest[key] >= version && newest < version+2 {
		l.record("a configuration never reverts", "%s got 404 from %s, which has served version %d", s.ID, s.by.id, l.newest[key])
	}
	for _, c := range l.versions {
		if c.version == version && newest < version+2 && l.isBound(s, notice{at: c.at, bound: configBound}) {
			l.record("a configuration is in force in time", "%s got 404 from %s", s.ID, s.by.id)
		}
	}
}

// newestVersion returns the newest configuration that was accepted.
func (l *ledger) newestVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[len(l.versions)-1].version
}

// cutByStop checks that no attempt which a server worked on was cut off by a
// planned stop of its instance.
func (l *ledger) cutByStop(s *sent, reply imitator.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(s.runs) > 0 && isCut(reply.Err) {
		l.record("a planned stop cuts nothing off", "%s at %v by %s: %v", s.ID, s.runs, s.by.id, reply.Err)
	}
}

// isCut reports whether an error is that of a connection that ended.
func isCut(err error) bool {
	if err == nil {
		return false
	}
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "broken pipe")
}

// result returns the counts and the broken promises.
func (l *ledger) result() (Counts, []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts, append([]Violation(nil), l.violations...)
}
