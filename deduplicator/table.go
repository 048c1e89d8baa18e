// Package deduplicator makes sure that a non-idempotent request runs at most
// once, also when its caller repeats it at another entry.
//
// Every idempotency key has a home among the entries of a region, by
// rendezvous hashing. A claim on the key is held by two entries before the
// request is sent to a backend server: by its home and by the entry that the
// caller asked (or by a second entry, if these are the same). A home that does
// not know a key asks the other entries of the region before it grants a claim
// while it cannot vouch for the key by itself.
//
// # Usage
//
//	d := deduplicator.New(deduplicator.Config{Self: self, Peer: client, Members: members})
//	response := d.Claim(ctx, &claim)
//	switch response.Verdict {
//	case peerpb.ClaimResponse_VERDICT_GRANTED:
//		// Run the request, then d.Settle(claim, result, answer).
//	case peerpb.ClaimResponse_VERDICT_RECORDED:
//		// Give response.Answer.
//	}
package deduplicator

import (
	"bytes"
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// Bounds of a table.
const (
	DefaultMaxClaims      = 40_000
	DefaultMaxAnswerBytes = 8 << 20
	// MaxAnswerBytes is the largest answer body that is recorded.
	MaxAnswerBytes = 64 << 10
)

// record is one claim on a key.
type record struct {
	key         string
	executor    string
	id          uint64
	fingerprint []byte
	// runningUntil is when a claim without a result becomes unknown.
	runningUntil time.Time
	expires      time.Time
	result       peerpb.SettleRequest_Result
	answer       *peerpb.RecordedAnswer
	heapIndex    int
}

// Table holds the claims that one instance knows of. Memory is bounded: claims
// are forgotten when they expire, never earlier, and new ones are refused when
// the table is full. It is not safe for concurrent use.
type Table struct {
	maxClaims      int
	maxAnswerBytes int
	records        map[string]*record
	expiry         expiryHeap
	answerBytes    int
}

// NewTable returns an empty table.
func NewTable(maxClaims, maxAnswerBytes int) *Table {
	return &Table{maxClaims: maxClaims, maxAnswerBytes: maxAnswerBytes, records: map[string]*record{}}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.records) }

// lookup returns the verdict for a key that the table knows, or nil.
func (t *Table) lookup(now time.Time, key string, fingerprint []byte) *peerpb.ClaimResponse {
	t.expire(now)
	r := t.records[key]
	if r == nil {
		return nil
	}
	if !bytes.Equal(r.fingerprint, fingerprint) {
		return verdict(peerpb.ClaimResponse_VERDICT_MISMATCH, "the key was used for another request")
	}
	switch r.result {
	case peerpb.SettleRequest_RESULT_ANSWERED:
		return &peerpb.ClaimResponse{Verdict: peerpb.ClaimResponse_VERDICT_RECORDED, Answer: r.answer}
	case peerpb.SettleRequest_RESULT_UNKNOWN:
		return verdict(peerpb.ClaimResponse_VERDICT_UNKNOWN, "the first request may have run")
	}
	if now.Before(r.runningUntil) {
		return verdict(peerpb.ClaimResponse_VERDICT_RUNNING, "the first request is running")
	}
	return verdict(peerpb.ClaimResponse_VERDICT_UNKNOWN, "the first request was never settled")
}

func verdict(v peerpb.ClaimResponse_Verdict, detail string) *peerpb.ClaimResponse {
	return &peerpb.ClaimResponse{Verdict: v, Detail: detail}
}

// claim adds a claim for an unknown key and reports whether there was room.
func (t *Table) claim(r *record) bool {
	if len(t.records) >= t.maxClaims {
		return false
	}
	t.records[r.key] = r
	heap.Push(&t.expiry, r)
	return true
}

// settle records what became of a claim. A claim that certainly did not run is
// released; the others stay until they expire.
func (t *Table) settle(key string, id uint64, result peerpb.SettleRequest_Result, answer *peerpb.RecordedAnswer) {
	r := t.records[key]
	if r == nil || r.id != id || r.result != peerpb.SettleRequest_RESULT_UNSPECIFIED {
		return
	}
	if result == peerpb.SettleRequest_RESULT_NOT_RUN {
		t.remove(r)
		return
	}
	r.result = result
	t.setAnswer(r, answer)
}

// setAnswer keeps an answer, without its body if there is no room for it.
func (t *Table) setAnswer(r *record, answer *peerpb.RecordedAnswer) {
	if answer == nil {
		return
	}
	if t.answerBytes+proto.Size(answer) > t.maxAnswerBytes {
		answer = &peerpb.RecordedAnswer{Status: answer.Status, Truncated: true}
	}
	r.answer = answer
	t.answerBytes += proto.Size(answer)
}

func (t *Table) remove(r *record) {
	t.answerBytes -= proto.Size(r.answer)
	delete(t.records, r.key)
	heap.Remove(&t.expiry, r.heapIndex)
}

func (t *Table) expire(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].expires) {
		t.remove(t.expiry[0])
	}
}

// takeOver adds a claim that another instance hands over, unless the table
// knows the key with a result already, or as claimed anew: the older claim was
// then abandoned, and its end must not release the newer one.
func (t *Table) takeOver(m *peerpb.ClaimRecord, now time.Time) {
	r := fromMessage(m)
	if !now.Before(r.expires) {
		return
	}
	known := t.records[r.key]
	if known != nil && known.result != peerpb.SettleRequest_RESULT_UNSPECIFIED {
		return
	}
	if known != nil && known.id != r.id && r.result == peerpb.SettleRequest_RESULT_UNSPECIFIED {
		return
	}
	if known != nil {
		t.remove(known)
	}
	t.records[r.key] = r
	heap.Push(&t.expiry, r)
	answer := r.answer
	r.answer = nil
	t.setAnswer(r, answer)
}

func fromMessage(m *peerpb.ClaimRecord) *record {
	expires := time.UnixMilli(m.ExpiresUnixMs)
	return &record{
		key:          m.Key,
		executor:     m.Executor,
		id:           m.ClaimId,
		fingerprint:  m.Fingerprint,
		runningUntil: time.UnixMilli(m.RunningUntilUnixMs),
		expires:      expires,
		result:       m.Result,
		answer:       m.Answer,
	}
}

func (r *record) message() *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Key:                r.key,
		Executor:           r.executor,
		ClaimId:            r.id,
		Fingerprint:        r.fingerprint,
		ExpiresUnixMs:      r.expires.UnixMilli(),
		RunningUntilUnixMs: r.runningUntil.UnixMilli(),
		Result:             r.result,
		Answer:             r.answer,
	}
}

// expiryHeap orders records by expiry.
type expiryHeap []*record

var _ heap.Interface = (*expiryHeap)(nil)

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
