// Package deduplicator makes sure that a non-idempotent request runs at most
// once, also when its caller repeats it at another entry.
//
// Rendezvous hashing assigns every idempotency key a home among the entries of
// a region. Before the request is sent to a backend server, two entries hold a
// claim on the key: the home and the entry that received the request from the
// caller (or a second entry, if these are the same). If the membership of the
// region changed recently, a home without a claim on the key may lack one that
// other entries hold. It then queries them before it grants a claim.
//
// # Usage
//
//	d := deduplicator.New(deduplicator.Config{Self: self, Peer: client, Members: members})
//	response := d.Claim(ctx, &claim)
//	switch response.Verdict {
//	case peerpb.ClaimResponse_VERDICT_GRANTED:
//		// Run the request, then d.Settle(claim, result, answer).
//	case peerpb.ClaimResponse_VERDICT_RECORDED:
//		// Return response.Answer to the caller.
//	}
package deduplicator

import (
	"bytes"
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// Default bounds of a Table, and the bound of one answer.
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
	// runningUntil is when the outcome of a claim without a result becomes
	// unknown.
	runningUntil time.Time
	expires      time.Time
	result       peerpb.SettleRequest_Result
	answer       *peerpb.RecordedAnswer
	// isTentative says that the key's home has not granted the claim yet. Nothing runs
	// under it.
	isTentative bool
	heapIndex   int
}

// Table stores the claims that one instance holds. Memory is bounded: a claim
// without a release is removed when it expires, never earlier, and new claims are
// refused while the table is full. A Table is not safe for concurrent use.
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

// lookup returns the verdict for a key with a claim in the table, or nil for
// other keys.
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

// claim adds a claim and returns nil. If the table has a claim on the key or is full, it
// returns the verdict for the key and changes nothing: another claim may have been added
// since the caller looked the key up.
func (t *Table) claim(now time.Time, r *record) *peerpb.ClaimResponse {
	if existing := t.lookup(now, r.key, r.fingerprint); existing != nil {
		return existing
	}
	if len(t.records) >= t.maxClaims {
		return verdict(peerpb.ClaimResponse_VERDICT_FULL, "too many claims")
	}
	t.records[r.key] = r
	heap.Push(&t.expiry, r)
	return nil
}

// confirm marks a tentative claim as granted and returns nil. If another instance's claim
// has replaced it, confirm returns the verdict for that one.
func (t *Table) confirm(now time.Time, r *record) *peerpb.ClaimResponse {
	current := t.records[r.key]
	if current != nil && current.id == r.id {
		current.isTentative = false
		return nil
	}
	return t.claim(now, r)
}

// settle records the result of a claim. A claim whose request certainly did not
// run is released; other claims stay until they expire.
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

// setAnswer records an answer, without its body if maxAnswerBytes would be
// exceeded.
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

// takeOver adds a claim that another instance hands over, in place of a tentative one.
// It reports false and changes nothing if the table already has a result for the key,
// or a different granted claim on the key while the handed-over claim has no result: the
// handed-over claim was then abandoned, and its release must not release the claim in
// the table.
func (t *Table) takeOver(m *peerpb.ClaimRecord, now time.Time) bool {
	t.expire(now)
	r := fromMessage(m)
	if !now.Before(r.expires) {
		return true
	}
	existing := t.records[r.key]
	if existing != nil && existing.result != peerpb.SettleRequest_RESULT_UNSPECIFIED {
		return existing.id == r.id
	}
	if existing != nil && !existing.isTentative && existing.id != r.id && r.result == peerpb.SettleRequest_RESULT_UNSPECIFIED {
		return false
	}
	if existing != nil {
		t.remove(existing)
	}
	t.records[r.key] = r
	heap.Push(&t.expiry, r)
	answer := r.answer
	r.answer = nil
	t.setAnswer(r, answer)
	return true
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

// expiryHeap is a min-heap of records by expiry time.
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
