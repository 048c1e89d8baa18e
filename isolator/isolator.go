// Package isolator detects and blocks requests that crash backend servers.
//
// Every request that was in flight on a server when the server crashed is a suspect.
// An entry never has two different suspects in flight on one server, so that the next
// crash identifies the suspect that caused it. The request is then blocked: it is
// refused until its record expires. A suspect that a server answers is no longer
// suspected.
//
// Two crashes identify a request only if the second one is evidence of its own:
//
//   - The second attempt began after the first crash. Servers that end at the same
//     moment, because their failure domain loses its power, are one event, however
//     many copies of a request they ran.
//   - No other server of the failure domain, on which the request did not run, ended
//     within commonCauseWindow of the second one. One that ends later withdraws the
//     block again.
//
// A request that a server has answered to its end does not crash the servers that run it.
// It is not blocked as long as that is recent, and a block is withdrawn if a copy that ran
// meanwhile is answered. A request that is sent often is in flight at every crash of another
// one, and would be blocked for it. Entries tell each other of such answers.
//
// Records are sent to other entries at once, but the caller of the crashed request may
// be answered before they arrive: each retry that overtakes them costs at most one
// more server.
//
// # Usage
//
//	i := isolator.New(isolator.Config{})
//	fingerprint := isolator.FingerprintOf(request, start)
//	switch status, until := i.Check(fingerprint, now); status {
//	case isolator.Blocked:
//		refuse(until)
//	case isolator.Suspect:
//		runAlone()
//	}
//	// After the server crashed:
//	record := i.RecordCrash(isolator.Crash{Fingerprint: fingerprint, Server: id, BeganAt: sentAt, At: now})
package isolator

import (
	"crypto/sha256"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
)

// Defaults of Config.
const (
	DefaultSuspectTTL = 2 * time.Minute
	DefaultBlockTTL   = 10 * time.Minute
	DefaultMaxRecords = 4096
)

const (
	// blockingCrashes is the number of crashes after which a request is blocked.
	blockingCrashes = 2
	// commonCauseWindow is the time within which the ends of servers of one failure
	// domain count as one event.
	commonCauseWindow = time.Second
	// maxRecentCrashes bounds the number of crashes that are kept to detect a common
	// cause.
	maxRecentCrashes = 256
)

// fingerprintBytes is the length of a Fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request to a backend server, independent of
// the caller.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request whose body begins with start.
func FingerprintOf(request *pollencrank.Request, start []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{request.Workload, request.Method, hostNameOf(request.Host), request.URI} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(start)
	var sum [sha256.Size]byte
	return Fingerprint(hash.Sum(sum[:0])[:fingerprintBytes])
}

// hostNameOf returns the host name that a request was sent to, or "" for the address
// of an entry, because the same request may be sent to any entry.
func hostNameOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if _, err := netip.ParseAddr(host); err == nil {
		return ""
	}
	return host
}

// Status says whether requests with a fingerprint are suspected or blocked.
type Status int

// Statuses, in ascending order of severity.
const (
	NotSuspected Status = iota
	Suspect
	Blocked
)

// Crash is the crash of a server while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	// Server and FailureDomain are the server that crashed and its failure domain.
	Server        string
	FailureDomain string
	// BeganAt is when the request was sent to the server, and At when the server ended.
	BeganAt time.Time
	At      time.Time
}

// Record is a fingerprint with the number of independent crashes during which such a
// request was in flight.
type Record struct {
	Fingerprint Fingerprint
	Crashes     int
	// Until is when the record expires.
	Until time.Time
}

// Status returns the status that the record implies at the given time.
func (r Record) Status(now time.Time) Status {
	switch {
	case !now.Before(r.Until) || r.Crashes == 0:
		return NotSuspected
	case r.Crashes >= blockingCrashes:
		return Blocked
	default:
		return Suspect
	}
}

// Config is the configuration of an Isolator.
type Config struct {
	// SuspectTTL and BlockTTL are the lifetimes of records of suspects and of blocked
	// requests.
	SuspectTTL time.Duration
	BlockTTL   time.Duration
	MaxRecords int
}

// Isolator holds the records of suspects and blocked requests. It is safe for
// concurrent use.
type Isolator struct {
	config Config

	mu      sync.Mutex
	records map[Fingerprint]Record
	// knownSince is when the latest crash of a record happened, or when the record of
	// another entry arrived. Attempts that began earlier are no further evidence.
	knownSince map[Fingerprint]time.Time
	// counted are the latest crashes that counted as evidence.
	counted map[Fingerprint]Crash
	// recent are the crashes within commonCauseWindow of the latest one.
	recent []Crash
	// answered are the requests that were answered lately.
	answered answers
	// size is the number of records, which IsEmpty reads without the lock.
	size atomic.Int64
}

// New returns an Isolator without records.
func New(config Config) *Isolator {
	if config.SuspectTTL <= 0 {
		config.SuspectTTL = DefaultSuspectTTL
	}
	if config.BlockTTL <= 0 {
		config.BlockTTL = DefaultBlockTTL
	}
	if config.MaxRecords <= 0 {
		config.MaxRecords = DefaultMaxRecords
	}
	return &Isolator{config: config, records: map[Fingerprint]Record{}, knownSince: map[Fingerprint]time.Time{}, counted: map[Fingerprint]Crash{}}
}

// IsEmpty reports whether there are no records, so that callers need not compute
// fingerprints.
func (i *Isolator) IsEmpty() bool { return i.size.Load() == 0 }

// remove deletes a record. The caller must hold the lock.
func (i *Isolator) remove(f Fingerprint) {
	delete(i.records, f)
	delete(i.knownSince, f)
	delete(i.counted, f)
	i.size.Store(int64(len(i.records)))
}

// Check returns the status of a fingerprint and the time at which it expires.
func (i *Isolator) Check(f Fingerprint, now time.Time) (Status, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.records[f]
	if !ok {
		return NotSuspected, time.Time{}
	}
	status := r.Status(now)
	if status == NotSuspected {
		i.remove(f)
	}
	return status, r.Until
}

// RecordCrash records that a server crashed while a request was in flight on it. It
// returns the record to send to other entries.
func (i *Isolator) RecordCrash(crash Crash) Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := crash.At
	r := i.records[crash.Fingerprint]
	if r.Status(now) == NotSuspected {
		r = Record{Fingerprint: crash.Fingerprint}
	}
	i.addRecent(crash)
	i.withdrawRefuted(crash)
	if r.Crashes == 0 || (i.isEvidence(crash) && !i.answered.has(crash.Fingerprint, now)) {
		r.Crashes++
		i.counted[crash.Fingerprint] = crash
	}
	lifetime := i.config.SuspectTTL
	if r.Crashes >= blockingCrashes {
		lifetime = i.config.BlockTTL
	}
	r.Until = now.Add(lifetime)
	i.store(r, now)
	i.knownSince[crash.Fingerprint] = now
	return r
}

// isEvidence reports whether a further crash during a suspect is independent of the
// crashes before it. The caller must hold the lock.
func (i *Isolator) isEvidence(crash Crash) bool {
	if crash.BeganAt.Before(i.knownSince[crash.Fingerprint]) {
		return false
	}
	for _, c := range i.recent {
		if i.refutes(c, crash) {
			return false
		}
	}
	return true
}

// refutes reports whether one crash shows that another one had a common cause: a server
// of the same failure domain, on which the request did not run, ended within
// commonCauseWindow. The caller must hold the lock.
func (i *Isolator) refutes(c, crash Crash) bool {
	if c.FailureDomain != crash.FailureDomain || c.At.Sub(crash.At).Abs() >= commonCauseWindow {
		return false
	}
	return !slices.ContainsFunc(i.recent, func(r Crash) bool {
		return r.Fingerprint == crash.Fingerprint && r.Server == c.Server
	})
}

// withdrawRefuted withdraws the latest evidence of the requests that a crash shows to
// have been wrongly blocked. The caller must hold the lock.
func (i *Isolator) withdrawRefuted(crash Crash) {
	for f, counted := range i.counted {
		r := i.records[f]
		if r.Crashes >= blockingCrashes && i.refutes(crash, counted) {
			r.Crashes--
			i.records[f] = r
			delete(i.counted, f)
		}
	}
}

// addRecent adds a crash to the recent ones and removes those that are too old. The
// caller must hold the lock.
func (i *Isolator) addRecent(crash Crash) {
	kept := i.recent[:0]
	for _, c := range i.recent {
		if crash.At.Sub(c.At) < commonCauseWindow {
			kept = append(kept, c)
		}
	}
	if len(kept) >= maxRecentCrashes {
		kept = kept[1:]
	}
	i.recent = append(kept, crash)
}

// Merge adds records of other entries. A record replaces one of lower severity only, and
// none of a request that was answered here lately. Merge returns the blocked ones of these,
// of which the other entries have to be told.
func (i *Isolator) Merge(records []Record, now time.Time) (answered []Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range records {
		// A wrong clock or a fault of another entry must not extend a record.
		r.Until = earlier(r.Until, now.Add(i.config.BlockTTL))
		if i.answered.has(r.Fingerprint, now) {
			if r.Status(now) == Blocked {
				answered = append(answered, r.Fingerprint)
			}
			continue
		}
		existing := i.records[r.Fingerprint]
		if r.Status(now) > existing.Status(now) {
			i.store(r, now)
			i.knownSince[r.Fingerprint] = now
		}
	}
	return answered
}

// MergeAnswer records that a server has answered a request of another entry to its end.
func (i *Isolator) MergeAnswer(f Fingerprint, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answered.add(f, now)
	i.remove(f)
}

// AnsweredRecord returns the record that tells other entries of the answer to a request. It
// has no crashes.
func AnsweredRecord(f Fingerprint, now time.Time) Record { return Record{Fingerprint: f, Until: now} }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RecordAnswer records that a server has answered a request to its end. The request is no
// longer suspected. A block is withdrawn only if the attempt began before it: the block
// refuses all others. RecordAnswer reports whether other entries have to be told.
func (i *Isolator) RecordAnswer(f Fingerprint, beganAt, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, isKnown := i.records[f]
	if r.Status(now) == Blocked && !beganAt.Before(i.knownSince[f]) {
		return false
	}
	i.answered.add(f, now)
	i.remove(f)
	return isKnown
}

// store stores a record. If the table is full, the record replaces the one that
// expires first. The caller must hold the lock.
func (i *Isolator) store(r Record, now time.Time) {
	if _, exists := i.records[r.Fingerprint]; !exists && len(i.records) >= i.config.MaxRecords {
		i.evict(now)
	}
	i.records[r.Fingerprint] = r
	i.size.Store(int64(len(i.records)))
}

// evict deletes the expired records, or else the record that expires first. The caller
// must hold the lock.
func (i *Isolator) evict(now time.Time) {
	var first Record
	for f, r := range i.records {
		if r.Status(now) == NotSuspected {
			i.remove(f)
			continue
		}
		if first.Until.IsZero() || r.Until.Before(first.Until) {
			first = r
		}
	}
	if len(i.records) >= i.config.MaxRecords {
		i.remove(first.Fingerprint)
	}
}
