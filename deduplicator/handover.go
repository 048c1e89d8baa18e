package deduplicator

import (
	"context"
	"errors"
	"time"

	"github.com/pollencrank/pollencrank/internal/peerpb"
)

const (
	// claimCopies is the number of instances that hold a claim.
	claimCopies = 2
	// handOverTimeout bounds one peer call that hands over a batch of claims.
	handOverTimeout = 2 * time.Second
)

// ConflictError reports that an instance cannot hold the second copy of a claim, because
// it holds another claim on the key.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string { return "another claim on key " + e.Key + " is held" }

// HandleHandOver adds the claims in another instance's hand-over to the table. It returns
// a ConflictError if the request is the second copy of a claim in the making that the table
// cannot hold: the request must not run then.
func (d *Deduplicator) HandleHandOver(request *peerpb.HandOverClaimsRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, m := range request.Claims {
		if !d.table.takeOver(m, now) && isInTheMaking(request) {
			return &ConflictError{Key: m.Key}
		}
	}
	return nil
}

// isInTheMaking reports whether a hand-over is the second copy of a claim that its sender
// makes as the key's home.
func isInTheMaking(request *peerpb.HandOverClaimsRequest) bool {
	return len(request.Claims) == 1 && request.Claims[0].Executor == request.From &&
		request.Claims[0].Result == peerpb.SettleRequest_RESULT_UNSPECIFIED
}

// HandOver sends every claim to its next two holders and returns the number of
// claims that were handed over. An instance that is leaving calls HandOver after
// its last request. A holder that does not answer is skipped; HandOver returns an
// error if a claim was accepted by no holder although the region has other running
// members.
func (d *Deduplicator) HandOver(ctx context.Context) (int, error) {
	d.mu.Lock()
	remaining := make([]*peerpb.ClaimRecord, 0, len(d.table.records))
	for _, r := range d.table.records {
		remaining = append(remaining, r.message())
	}
	d.mu.Unlock()
	total, unplaced := len(remaining), 0
	failed := map[string]bool{}
	for len(remaining) > 0 {
		byHolder, withoutHolder := d.groupByHolder(remaining, failed)
		unplaced += withoutHolder
		remaining = nil
		for address, claims := range byHolder {
			if err := d.sendClaims(ctx, address, claims); err != nil {
				failed[address] = true
				remaining = append(remaining, claims...)
			}
		}
		if ctx.Err() != nil {
			return total - len(remaining) - unplaced, ctx.Err()
		}
	}
	if unplaced > 0 && !d.isOnlyMember() {
		return total - unplaced, errNoHolder
	}
	return total, nil
}

// errNoHolder reports that no other instance of the region accepted some claims.
var errNoHolder = errors.New("no other instance of the region accepted the claims")

// isOnlyMember reports whether the region has no other running members. Claims
// are then not needed any more.
func (d *Deduplicator) isOnlyMember() bool {
	for _, m := range d.config.Members() {
		if m.ID != d.config.Self && m.State.CanOwn() {
			return false
		}
	}
	return true
}

// groupByHolder groups claims by the peer addresses of their next holders, without
// the addresses that failed. It also returns the number of claims for which no
// holder is left.
func (d *Deduplicator) groupByHolder(claims []*peerpb.ClaimRecord, failed map[string]bool) (map[string][]*peerpb.ClaimRecord, int) {
	byHolder := map[string][]*peerpb.ClaimRecord{}
	withoutHolder := 0
	for _, claim := range claims {
		copiesSent := 0
		for _, m := range d.holders(claim.Key) {
			if m.ID == d.config.Self || failed[m.PeerAddress] || copiesSent == claimCopies {
				continue
			}
			byHolder[m.PeerAddress] = append(byHolder[m.PeerAddress], claim)
			copiesSent++
		}
		if copiesSent == 0 {
			withoutHolder++
		}
	}
	return byHolder, withoutHolder
}

// sendClaims hands claims over to one holder in batches.
func (d *Deduplicator) sendClaims(ctx context.Context, address string, claims []*peerpb.ClaimRecord) error {
	const batch = 500
	for len(claims) > 0 {
		n := min(batch, len(claims))
		request := &peerpb.HandOverClaimsRequest{From: d.config.Self, Claims: claims[:n]}
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := d.config.Peer.HandOverClaims(ctx, address, request)
		cancel()
		if err != nil {
			return err
		}
		claims = claims[n:]
	}
	return nil
}
