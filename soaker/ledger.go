package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
)

// Time bounds of the promises.
const (
	// drainBound is the time after which a draining server receives no new requests.
	drainBound = 2500 * time.Millisecond
	// configurationBound is the time after which a configuration is in force on every
	// instance.
	configurationBound = 2500 * time.Millisecond
	// evacuationBound is the time after which an evacuated failure domain receives no
	// requests.
	evacuationBound = 5 * time.Second
	// recoveryTime is the time after a disturbance from which time bounds hold again.
	recoveryTime = 4 * time.Second
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

// Counts holds the numbers of attempts by outcome, as callers saw them. Cut counts the
// attempts without a complete answer.
type Counts struct {
	Attempts, Served, NotRun, Unknown, Cut int
}

// sentAttempt is an attempt that was sent. start is the start number of the instance at
// that time.
type sentAttempt struct {
	imitator.Attempt
	instance *process
	start    int
	sentAt   time.Time
	// refused is set when a refusal promised that the attempt never runs.
	refused bool
	// runs are the servers that started to run the attempt.
	runs []string
}

// ledger records the events that callers, servers and the operator observe, and checks
// them against the promises. It is safe for concurrent use.
type ledger struct {
	startedAt time.Time

	mu         sync.Mutex
	violations []Violation
	counts     Counts
	attempts   map[string]*sentAttempt
	// forbidden holds the servers that must not receive new requests, by ID, each with the
	// change that forbids them.
	forbidden map[string]change
	versions  []acceptedConfiguration
	// servedSince is when an instance first served a request under a version, by instance
	// and start number.
	servedSince map[string]map[uint64]time.Time
	// linksDisturbedUntil is the time until which requests may be delayed on the link to a
	// server, by its ID.
	linksDisturbedUntil map[string]time.Time
	// limits holds the servers that name a rate limit, by ID, and limitsExcusedAt is when
	// an instance was last restarted, frozen or cut off.
	limits          map[string]*namedLimit
	limitsExcusedAt time.Time
	// poisonRuns holds the arrivals of requests that crash servers, by path.
	poisonRuns map[string][]poisonRun
	// keys are the keys of tenants, or nil in a run without them.
	keys *keyRing
	// tenants holds the quotas of tenants and what ran of them, by name.
	tenants map[string]*tenantRuns
	// instances are all instances, and comparison compares one that is cut off from all
	// servers with the others.
	instances  []*process
	comparison *cutComparison
	// disturbances are the spans in which time bounds are not checked for any instance.
	disturbances disturbances
}

// change is a change that must have taken effect once a bound has passed.
type change struct {
	at    time.Time
	bound time.Duration
}

// acceptedConfiguration is a configuration that the store has accepted.
type acceptedConfiguration struct {
	version uint64
	at      time.Time
}

func newLedger() *ledger {
	return &ledger{startedAt: time.Now(), attempts: map[string]*sentAttempt{}, forbidden: map[string]change{}, servedSince: map[string]map[uint64]time.Time{},
		linksDisturbedUntil: map[string]time.Time{}, limits: map[string]*namedLimit{}, poisonRuns: map[string][]poisonRun{}}
}

// addViolation records a broken promise. The caller holds the lock.
func (l *ledger) addViolation(promise, format string, args ...any) {
	l.violations = append(l.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...), At: time.Since(l.startedAt)})
}

// reportViolation records a broken promise.
func (l *ledger) reportViolation(promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(promise, format, args...)
}

// disturbLink records that requests may be delayed on the link to a server.
func (l *ledger) disturbLink(server string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.linksDisturbedUntil[server]) {
		l.linksDisturbedUntil[server] = until
	}
}

// forbid records that a server must receive no new requests once a bound from now has
// passed.
func (l *ledger) forbid(server string, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.forbidden[server]; !ok {
		l.forbidden[server] = change{at: time.Now(), bound: bound}
	}
}

// allow reverses forbid.
func (l *ledger) allow(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.forbidden, server)
}

// recordAccepted records that the store has accepted a configuration.
func (l *ledger) recordAccepted(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, acceptedConfiguration{version: version, at: time.Now()})
}

// beginAttempt records an attempt before it is sent.
func (l *ledger) beginAttempt(a imitator.Attempt, instance *process) *sentAttempt {
	s := &sentAttempt{Attempt: a, instance: instance, start: instance.startNumber(), sentAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Attempts++
	l.attempts[a.ID] = s
	return s
}

// recordRun records that a server has started to run a request.
func (l *ledger) recordRun(run imitator.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.attempts[run.RequestID]
	if s == nil {
		l.addViolation("only what callers sent runs", "server %s ran %q", run.Server, run.RequestID)
		return
	}
	if run.Path != s.Path {
		l.addViolation("a request is passed on unchanged", "%s: %s instead of %s", s.ID, run.Path, s.Path)
	}
	if s.IsNonIdempotent && len(s.runs) > 0 {
		l.addViolation("an order runs at most once", "%s at %v and %s", s.ID, s.runs, run.Server)
	}
	if s.refused {
		l.addViolation("'not run' is true", "%s ran at %s after the refusal", s.ID, run.Server)
	}
	s.runs = append(s.runs, run.Server)
	l.recordPoison(s, run)
	l.checkTenant(s, run)
	l.recordTenantRun(run.Tenant, s.sentAt, run.At)
	isHeldUp := run.At.Before(l.linksDisturbedUntil[run.Server])
	if c, ok := l.forbidden[run.Server]; ok && !isHeldUp && l.mustHaveApplied(s, c) {
		l.addViolation("a leaving or evacuated server gets nothing new", "%s at %s by %s, %s after the news", s.ID, run.Server, s.instance.id, run.At.Sub(c.at))
	}
	l.checkVersion(s, routeVersion(s.Path))
}

// mustHaveApplied reports whether an attempt was sent after a change must have taken
// effect on its instance, provided that the instance was not restarted and that no
// disturbance can have delayed the attempt. The caller holds the lock.
func (l *ledger) mustHaveApplied(s *sentAttempt, c change) bool {
	if s.instance.startNumber() != s.start || s.instance.disturbances.covers(s.sentAt) || s.instance.disturbances.covers(time.Now()) {
		return false
	}
	senders := []*disturbances{&l.disturbances, &s.instance.disturbances}
	if s.instance.rerouting.covers(s.sentAt) {
		// Another instance, which may be disturbed itself, may have sent the request on.
		for _, p := range l.instances {
			if p.disturbances.covers(s.sentAt) || p.disturbances.covers(time.Now()) {
				return false
			}
			senders = append(senders, &p.disturbances)
		}
	}
	return s.sentAt.After(enforcedBy(c.at, c.bound, senders...))
}

// routeVersion returns the version whose own route a path matches, or zero.
func routeVersion(path string) uint64 {
	var version uint64
	if _, err := fmt.Sscanf(path, "/v%d/", &version); err != nil {
		return 0
	}
	return version
}

// hasRoute reports whether the newest configuration has a route for an attempt.
func (l *ledger) hasRoute(a imitator.Attempt) bool {
	version := routeVersion(a.Path)
	return version == 0 || version+1 >= l.newestVersion()
}

// checkVersion checks that a request of a version's own route was served by that
// version or the next one. The caller holds the lock.
func (l *ledger) checkVersion(s *sentAttempt, version uint64) {
	if version == 0 {
		return
	}
	key := fmt.Sprintf("%s#%d", s.instance.id, s.start)
	if l.servedSince[key] == nil {
		l.servedSince[key] = map[uint64]time.Time{}
	}
	if _, isServed := l.servedSince[key][version]; !isServed {
		l.servedSince[key][version] = time.Now()
	}
	for _, c := range l.versions {
		// Each version drops the route of the second version before it.
		if c.version == version+2 && l.mustHaveApplied(s, change{at: c.at, bound: configurationBound}) {
			l.addViolation("a configuration is in force in time", "%s ran under a route that version %d dropped", s.ID, c.version)
		}
	}
}

// endAttempt records the outcome of an attempt.
func (l *ledger) endAttempt(s *sentAttempt, reply imitator.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countInCut(s, reply)
	switch {
	case reply.Err != nil:
		l.counts.Cut++
	case reply.Status == http.StatusOK:
		l.counts.Served++
		if !reply.IsGenuine {
			l.addViolation("a caller gets its own whole answer", "%s by %s", s.ID, s.instance.id)
		}
	case reply.PromisesNotRun():
		l.counts.NotRun++
		l.checkRefusal(s)
		l.checkHeldBack(s, reply)
	case reply.Status == http.StatusUnauthorized:
		l.counts.NotRun++
		l.checkUnauthorized(s)
	case reply.Status == http.StatusNotFound:
		l.counts.NotRun++
		l.checkNotFound(s)
	default:
		l.counts.Unknown++
	}
}

// checkRefusal checks that a refused order did not run. The caller holds the lock.
func (l *ledger) checkRefusal(s *sentAttempt) {
	if !s.IsNonIdempotent {
		return
	}
	s.refused = true
	if len(s.runs) > 0 {
		l.addViolation("'not run' is true", "%s ran at %v before the refusal", s.ID, s.runs)
	}
}

// checkNotFound checks that a route was not found only where its version permits it. The
// caller holds the lock.
func (l *ledger) checkNotFound(s *sentAttempt) {
	version := routeVersion(s.Path)
	if version == 0 {
		l.addViolation("a route that always was there is served", "%s got 404 from %s", s.ID, s.instance.id)
		return
	}
	newest := l.versions[len(l.versions)-1].version
	// A version's own route is dropped by the second version after it.
	if served := l.servedBefore(s, version); served > 0 && newest < version+2 {
		l.addViolation("a configuration never reverts", "%s got 404 from %s, which has served version %d", s.ID, s.instance.id, served)
	}
	for _, c := range l.versions {
		if c.version == version && newest < version+2 && l.mustHaveApplied(s, change{at: c.at, bound: configurationBound}) {
			l.addViolation("a configuration is in force in time", "%s got 404 from %s", s.ID, s.instance.id)
		}
	}
}

// servedBefore returns a version, not below the given one, under which the attempt's
// instance had served a request before the attempt was sent, or zero. Requests that are
// under way together may be handled in any order. The caller holds the lock.
func (l *ledger) servedBefore(s *sentAttempt, version uint64) uint64 {
	for served, since := range l.servedSince[fmt.Sprintf("%s#%d", s.instance.id, s.start)] {
		if served >= version && !since.After(s.sentAt) {
			return served
		}
	}
	return 0
}

// newestVersion returns the version of the newest accepted configuration.
func (l *ledger) newestVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[len(l.versions)-1].version
}

// checkPlannedStop checks that the planned stop of an instance did not close the
// connection of an attempt that a server was running.
func (l *ledger) checkPlannedStop(s *sentAttempt, reply imitator.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(s.runs) > 0 && isCut(reply.Err) {
		l.addViolation("a planned stop cuts nothing off", "%s at %v by %s: %v", s.ID, s.runs, s.instance.id, reply.Err)
	}
}

// isCut reports whether an error shows that the peer closed or reset the connection.
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
