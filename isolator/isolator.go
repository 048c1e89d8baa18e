// Package isolator detects and blocks requests that crash backend servers.
//
// Every request that was in flight on a server when the server crashed is a suspect.
// Suspects run one at a time on each entry, so that only one suspect is in flight at
// the next crash, which identifies that suspect as the cause. The request is then blocked: it
// is refused until its record expires. A suspect that a server answers is no longer
// suspected. Records are sent to other entries before the caller of the crashed
// request is answered, so that the entry that gets the caller's retry has them.
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
//	record := i.RecordCrash(fingerprint, now)
package isolator

import (
	"crypto/sha256"
	"net"
	"net/netip"
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

// blockingCrashes is the number of crashes after which a request is blocked.
const blockingCrashes = 2

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

// Record is a fingerprint with the number of crashes during which such a request was
// in flight.
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
	return &Isolator{config: config, records: map[Fingerprint]Record{}}
}

// IsEmpty reports whether there are no records, so that callers need not compute
// fingerprints.
func (i *Isolator) IsEmpty() bool { return i.size.Load() == 0 }

// remove deletes a record. The caller must hold the lock.
func (i *Isolator) remove(f Fingerprint) {
	delete(i.records, f)
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
func (i *Isolator) RecordCrash(f Fingerprint, now time.Time) Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.records[f]
	if r.Status(now) == NotSuspected {
		r = Record{Fingerprint: f}
	}
	r.Crashes++
	lifetime := i.config.SuspectTTL
	if r.Crashes >= blockingCrashes {
		lifetime = i.config.BlockTTL
	}
	r.Until = now.Add(lifetime)
	i.store(r, now)
	return r
}

// Merge adds records of other entries. A record replaces one of lower severity only.
func (i *Isolator) Merge(records []Record, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range records {
		// A wrong clock or a fault of another entry must not extend a record.
		r.Until = earlier(r.Until, now.Add(i.config.BlockTTL))
		existing := i.records[r.Fingerprint]
		if r.Status(now) > existing.Status(now) {
			i.store(r, now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RecordAnswer removes the record of a suspect that a server answered. A blocked
// request stays blocked.
func (i *Isolator) RecordAnswer(f Fingerprint, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.records[f].Status(now) != Blocked {
		i.remove(f)
	}
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
			delete(i.records, f)
			continue
		}
		if first.Until.IsZero() || r.Until.Before(first.Until) {
			first = r
		}
	}
	if len(i.records) >= i.config.MaxRecords {
		delete(i.records, first.Fingerprint)
	}
}
