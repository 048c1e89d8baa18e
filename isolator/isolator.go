// Package isolator keeps a request that crashes backend servers away from them.
//
// A request that was in flight on a server when the server died is a suspect,
// and so are those that were in flight beside it. Suspects run one at a time on
// each entry, so that the next death has one suspect only, which convicts it.
// A convicted request is refused until the conviction expires. A suspect that is
// answered is cleared. Records are passed on to other entries before the death
// is answered to the caller, so that its repeat finds them there.
//
// # Usage
//
//	i := isolator.New(isolator.Config{})
//	fingerprint := isolator.Of(request, start)
//	switch verdict, until := i.Check(fingerprint, now); verdict {
//	case isolator.Convicted:
//		refuse(until)
//	case isolator.Suspect:
//		runAlone()
//	}
//	// After the server died:
//	record := i.Strike(fingerprint, now)
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

// convictingStrikes is the number of deaths that convict.
const convictingStrikes = 2

// fingerprintBytes is the length of a Fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks of a backend server, whoever
// sends it.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request whose body begins with start.
func FingerprintOf(request *pollencrank.Request, start []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{request.Workload, request.Method, nameOf(request.Host), request.URI} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(start)
	var sum [sha256.Size]byte
	return Fingerprint(hash.Sum(sum[:0])[:fingerprintBytes])
}

// nameOf returns the host name that a request was sent to, or "" for the address
// of an entry: the same request may come to any of them.
func nameOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if _, err := netip.ParseAddr(host); err == nil {
		return ""
	}
	return host
}

// Status is what is known of a fingerprint.
type Status int

// Verdicts.
const (
	NotSuspected Status = iota
	Suspect
	Blocked
)

// Record is a fingerprint with the deaths it was part of.
type Record struct {
	Fingerprint Fingerprint
	Crashes     int
	// Until is when the record expires.
	Until time.Time
}

// Status returns what r says at a moment.
func (r Record) Status(now time.Time) Status {
	switch {
	case !now.Before(r.Until) || r.Crashes == 0:
		return NotSuspected
	case r.Crashes >= convictingStrikes:
		return Blocked
	default:
		return Suspect
	}
}

// Config is the configuration of an Isolator.
type Config struct {
	// SuspectTTL and Conviction are the lifetimes of records.
	SuspectTTL time.Duration
	BlockTTL   time.Duration
	MaxRecords int
}

// Isolator keeps suspects and convictions. It is safe for concurrent use.
type Isolator struct {
	config Config

	mu      sync.Mutex
	records map[Fingerprint]Record
	// size is the number of records, for readers without the lock.
	size atomic.Int64
}

// New returns an Isolator that suspects nothing.
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

// IsEmpty reports whether nothing is suspected, so that fingerprints need not be
// computed.
func (i *Isolator) IsEmpty() bool { return i.size.Load() == 0 }

// remove forgets a record. The lock is held.
func (i *Isolator) remove(f Fingerprint) {
	delete(i.records, f)
	i.size.Store(int64(len(i.records)))
}

// Check returns what is known of a fingerprint, and until when.
func (i *Isolator) Check(f Fingerprint, now time.Time) (Status, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.records[f]
	if !ok {
		return NotSuspected, time.Time{}
	}
	verdict := r.Status(now)
	if verdict == NotSuspected {
		i.remove(f)
	}
	return verdict, r.Until
}

// RecordCrash records that a server died while it ran a request. It returns the
// record to pass on.
func (i *Isolator) RecordCrash(f Fingerprint, now time.Time) Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.records[f]
	if r.Status(now) == NotSuspected {
		r = Record{Fingerprint: f}
	}
	r.Crashes++
	lifetime := i.config.SuspectTTL
	if r.Crashes >= convictingStrikes {
		lifetime = i.config.BlockTTL
	}
	r.Until = now.Add(lifetime)
	i.keep(r, now)
	return r
}

// Merge takes records of other entries.
func (i *Isolator) Merge(records []Record, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range records {
		// No entry's clock or fault keeps a record for longer.
		r.Until = earlier(r.Until, now.Add(i.config.BlockTTL))
		known := i.records[r.Fingerprint]
		if r.Status(now) > known.Status(now) {
			i.keep(r, now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RecordAnswer clears a suspect that a server answered. A conviction stays.
func (i *Isolator) RecordAnswer(f Fingerprint, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.records[f].Status(now) != Blocked {
		i.remove(f)
	}
}

// keep stores a record. In a full table it takes the place of the one that
// expires first. The lock is held.
func (i *Isolator) keep(r Record, now time.Time) {
	if _, known := i.records[r.Fingerprint]; !known && len(i.records) >= i.config.MaxRecords {
		i.makeRoom(now)
	}
	i.records[r.Fingerprint] = r
	i.size.Store(int64(len(i.records)))
}

func (i *Isolator) makeRoom(now time.Time) {
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
