package deduplicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
)

const (
	// peerTimeout bounds one peer call about a claim.
	peerTimeout = 500 * time.Millisecond
	// settleGrace is how long after the request's deadline its result may still
	// arrive before the outcome of the claim counts as unknown.
	settleGrace = 5 * time.Second
	// settleAttempts is how often a result is sent to a holder that does not answer.
	settleAttempts = 3
	// maxUncleanStops is the number of instances that may have stopped without
	// handing over their claims while keys can still be verified. It is one
	// because two instances hold each claim.
	maxUncleanStops = 1
)

// Peer sends messages about claims to other entries.
type Peer interface {
	Claim(ctx context.Context, address string, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
	Settle(ctx context.Context, address string, request *peerpb.SettleRequest) (*peerpb.SettleResponse, error)
	HandOverClaims(ctx context.Context, address string, request *peerpb.HandOverClaimsRequest) (*peerpb.HandOverClaimsResponse, error)
}

// Config is the configuration of a Deduplicator.
type Config struct {
	// Self is the ID of this instance.
	Self string
	Peer Peer
	// Members returns the members of the region. They include this instance
	// and members that recently left or were declared dead.
	Members func() []pollencrank.Instance
	// MaxClaims and MaxAnswerBytes bound the memory of the table.
	MaxClaims      int
	MaxAnswerBytes int
}

// Claim is a request for the exclusive right to run a request with a key.
type Claim struct {
	Key string
	// ID distinguishes this claim from other claims on the key.
	// Deduplicator.Claim sets it.
	ID          uint64
	Fingerprint []byte
	// Deadline is the deadline of the request.
	Deadline time.Time
	// Expires is the time until which repeats of the request are recognised.
	Expires time.Time

	// abandoned are the IDs of earlier attempts. Nothing has run under them, but
	// other instances may still hold them.
	abandoned []uint64
}

// Deduplicator claims keys on behalf of this instance and handles the claims on
// keys whose home is this instance.
type Deduplicator struct {
	config  Config
	started time.Time

	mu    sync.Mutex
	table *Table
}

// New returns a Deduplicator that holds no claims.
func New(config Config) *Deduplicator {
	if config.MaxClaims <= 0 {
		config.MaxClaims = DefaultMaxClaims
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &Deduplicator{
		config:  config,
		started: time.Now(),
		table:   NewTable(config.MaxClaims, config.MaxAnswerBytes),
	}
}

// Len returns the number of claims that this instance holds.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Len()
}

const (
	// claimRetryPeriod is how long a claim is retried while members that have to
	// be queried do not answer. It exceeds the time in which the members declare
	// one of them dead.
	claimRetryPeriod = 5 * time.Second
	// initialClaimBackoff and maxClaimBackoff bound the exponential backoff
	// between attempts.
	initialClaimBackoff = 50 * time.Millisecond
	maxClaimBackoff     = 400 * time.Millisecond
)

// Claim requests a claim from the key's home and sets the claim's ID. If the
// claim is granted, this instance must run the request and settle the claim. A
// member that does not answer may just have left or crashed, so the claim is
// retried with the membership at that time until the request's deadline, for at
// most claimRetryPeriod or until ctx ends.
func (d *Deduplicator) Claim(ctx context.Context, claim *Claim) *peerpb.ClaimResponse {
	ctx, cancel := context.WithDeadline(ctx, claim.Deadline)
	defer cancel()
	retryUntil := time.Now().Add(claimRetryPeriod)
	backoff := initialClaimBackoff
	for {
		// Each attempt has its own ID, so that a late release of one attempt
		// cannot release the next one.
		claim.ID = rand.Uint64()
		response := d.attempt(ctx, claim)
		if response.Verdict != peerpb.ClaimResponse_VERDICT_UNREACHABLE || time.Now().After(retryUntil) {
			return response
		}
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return response
		case <-timer.C:
		}
		backoff = min(2*backoff, maxClaimBackoff)
	}
}

// release releases the abandoned attempts of a claim at every instance that may
// hold them now: a home that left may have handed them over before it received
// the release.
func (d *Deduplicator) release(ctx context.Context, claim *Claim) {
	if len(claim.abandoned) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, id := range claim.abandoned {
		request := notRunResult(claim.Key, d.config.Self, id)
		d.settleLocally(request)
		for _, m := range d.holders(claim.Key) {
			if m.ID == d.config.Self {
				continue
			}
			// A holder that does not answer is sent the release again at the next
			// attempt.
			sends.Go(func() { _, _ = d.config.Peer.Settle(ctx, m.PeerAddress, request) })
		}
	}
	sends.Wait()
}

// notRunResult returns the message that releases a claim under which nothing has
// run.
func notRunResult(key, executor string, id uint64) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{Key: key, Executor: executor, ClaimId: id, Result: peerpb.SettleRequest_RESULT_NOT_RUN}
}

// attempt makes one attempt to claim the key.
func (d *Deduplicator) attempt(ctx context.Context, claim *Claim) *peerpb.ClaimResponse {
	d.release(ctx, claim)
	request := &peerpb.ClaimRequest{
		Key:                claim.Key,
		Executor:           d.config.Self,
		ClaimId:            claim.ID,
		Fingerprint:        claim.Fingerprint,
		RunningUntilUnixMs: claim.Deadline.Add(settleGrace).UnixMilli(),
		ExpiresUnixMs:      claim.Expires.UnixMilli(),
	}
	if existing := d.lookup(request); existing != nil {
		return existing
	}
	holders := d.holders(claim.Key)
	if len(holders) == 0 {
		return verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "this instance knows no members of its region")
	}
	home := holders[0]
	if home.ID != d.config.Self {
		return d.claimAtRemoteHome(ctx, home, claim, request)
	}
	response := d.HandleClaim(ctx, request)
	if response.Verdict != peerpb.ClaimResponse_VERDICT_GRANTED || len(holders) == 1 {
		return response
	}
	if d.replicate(ctx, holders[1:], request) {
		return response
	}
	d.settleLocally(notRunResult(claim.Key, d.config.Self, claim.ID))
	claim.abandoned = append(claim.abandoned, claim.ID)
	return verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "no second instance holds the claim")
}

func (d *Deduplicator) lookup(request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.lookup(time.Now(), request.Key, request.Fingerprint)
}

// holders returns the first three running members of the region in rendezvous
// order for a key. The first of them is the key's home.
func (d *Deduplicator) holders(key string) []pollencrank.Instance {
	var running []pollencrank.Instance
	for _, m := range d.config.Members() {
		if m.State.CanOwn() {
			running = append(running, m)
		}
	}
	const maxHolders = 3
	var ordered []pollencrank.Instance
	for len(running) > 0 && len(ordered) < maxHolders {
		ids := make([]string, len(running))
		for i, m := range running {
			ids[i] = m.ID
		}
		home := pollencrank.RendezvousHome(key, ids)
		ordered = append(ordered, running[home])
		running = append(running[:home], running[home+1:]...)
	}
	return ordered
}

// claimAtRemoteHome claims a key whose home is another instance. This instance
// holds the second copy of the claim.
func (d *Deduplicator) claimAtRemoteHome(ctx context.Context, home pollencrank.Instance, claim *Claim, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	if refusal := d.addTentatively(request); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := d.config.Peer.Claim(ctx, home.PeerAddress, request)
	if err != nil {
		response = verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "the key's home does not answer")
	}
	if response.Verdict == peerpb.ClaimResponse_VERDICT_GRANTED {
		return d.confirm(home, claim, request, response)
	}
	// If the answer was lost, the home may hold the claim. The claim is released
	// there, because nothing has run under it.
	releaseRequest := notRunResult(request.Key, request.Executor, request.ClaimId)
	d.settleLocally(releaseRequest)
	if err != nil {
		claim.abandoned = append(claim.abandoned, request.ClaimId)
		go d.sendResult(home, releaseRequest)
	}
	return response
}

// confirm marks a claim that its home has granted as granted here. If another instance's
// claim on the key arrived meanwhile, the request must not run: confirm releases the
// claim at its home and returns the verdict for the other one.
func (d *Deduplicator) confirm(home pollencrank.Instance, claim *Claim, request *peerpb.ClaimRequest, granted *peerpb.ClaimResponse) *peerpb.ClaimResponse {
	d.mu.Lock()
	existing := d.table.confirm(time.Now(), recordOf(request))
	d.mu.Unlock()
	if existing == nil {
		return granted
	}
	claim.abandoned = append(claim.abandoned, request.ClaimId)
	go d.sendResult(home, notRunResult(request.Key, request.Executor, request.ClaimId))
	return existing
}

// addTentatively adds a claim that the key's home has not granted yet to the table of this
// instance. It returns the verdict for the key if the table has a claim on it or is full.
func (d *Deduplicator) addTentatively(request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	r := recordOf(request)
	r.isTentative = true
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.claim(time.Now(), r)
}

// addLocally adds a claim to the table of this instance. It returns the verdict for the
// key if the table has a claim on it or is full.
func (d *Deduplicator) addLocally(request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.claim(time.Now(), recordOf(request))
}

func recordOf(request *peerpb.ClaimRequest) *record {
	return &record{
		key:          request.Key,
		executor:     request.Executor,
		id:           request.ClaimId,
		fingerprint:  request.Fingerprint,
		runningUntil: time.UnixMilli(request.RunningUntilUnixMs),
		expires:      time.UnixMilli(request.ExpiresUnixMs),
	}
}

// replicate stores a copy of a claim on the first candidate that accepts it and
// reports whether one did.
func (d *Deduplicator) replicate(ctx context.Context, candidates []pollencrank.Instance, request *peerpb.ClaimRequest) bool {
	records := []*peerpb.ClaimRecord{recordOf(request).message()}
	for _, m := range candidates {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		_, err := d.config.Peer.HandOverClaims(ctx, m.PeerAddress, &peerpb.HandOverClaimsRequest{
			From:   d.config.Self,
			Claims: records,
		})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// HandleClaim handles a claim as the key's home. If the request is marked as
// recovering, it handles the home's query for claims on the key instead.
func (d *Deduplicator) HandleClaim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	if existing := d.lookup(request); existing != nil {
		return existing
	}
	if request.Recovering {
		return verdict(peerpb.ClaimResponse_VERDICT_GRANTED, "")
	}
	if existing := d.recoverClaim(ctx, request); existing != nil {
		return existing
	}
	if refusal := d.addLocally(request); refusal != nil {
		return refusal
	}
	return verdict(peerpb.ClaimResponse_VERDICT_GRANTED, "")
}

// recoverClaim looks for claims on a key that other members hold and this home
// lacks. It returns nil if it is certain that no claim on the key exists.
func (d *Deduplicator) recoverClaim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	window := time.Until(time.UnixMilli(request.ExpiresUnixMs))
	members := d.config.Members()
	if !d.membersChanged(members, window) {
		return nil
	}
	if d.countUncleanStops(members, window) > maxUncleanStops {
		return verdict(peerpb.ClaimResponse_VERDICT_UNKNOWN, "instances that may have held the key have failed")
	}
	return d.queryMembers(ctx, members, request)
}

// membersChanged reports whether the state of any member changed within the
// window before now.
func (d *Deduplicator) membersChanged(members []pollencrank.Instance, window time.Duration) bool {
	for _, m := range members {
		if time.Since(m.StateChanged) < window {
			return true
		}
	}
	return false
}

// countUncleanStops returns the number of members that were declared dead within
// the window before now.
func (d *Deduplicator) countUncleanStops(members []pollencrank.Instance, window time.Duration) int {
	stops := 0
	for _, m := range members {
		if m.State == pollencrank.InstanceDead && time.Since(m.StateChanged) < window {
			stops++
		}
	}
	return stops
}

// queryMembers asks every other member that can still answer for its claim on a key.
// It returns nil if all of them answered and none holds a claim.
func (d *Deduplicator) queryMembers(ctx context.Context, members []pollencrank.Instance, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	query := &peerpb.ClaimRequest{Key: request.Key, Fingerprint: request.Fingerprint, Recovering: true}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	responses := make(chan *peerpb.ClaimResponse, len(members))
	queried := 0
	for _, m := range members {
		// The executor already holds the claim that is being made and would report
		// it.
		if m.ID == d.config.Self || m.ID == request.Executor || !m.State.CanAnswer() {
			continue
		}
		queried++
		go func() {
			response, err := d.config.Peer.Claim(ctx, m.PeerAddress, query)
			if err != nil {
				response = verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "instance "+m.ID+" does not answer")
			}
			responses <- response
		}()
	}
	var unreachable *peerpb.ClaimResponse
	for range queried {
		response := <-responses
		switch response.Verdict {
		case peerpb.ClaimResponse_VERDICT_GRANTED:
		case peerpb.ClaimResponse_VERDICT_UNREACHABLE:
			unreachable = response
		default:
			return response
		}
	}
	return unreachable
}

// Settle records the result of a claim on this instance and sends it to the
// other holders of the key.
func (d *Deduplicator) Settle(claim Claim, result peerpb.SettleRequest_Result, answer *peerpb.RecordedAnswer) {
	request := &peerpb.SettleRequest{
		Key:      claim.Key,
		Executor: d.config.Self,
		ClaimId:  claim.ID,
		Result:   result,
		Answer:   answer,
	}
	d.settleLocally(request)
	for _, m := range d.holders(claim.Key) {
		if m.ID != d.config.Self {
			go d.sendResult(m, request)
		}
	}
}

func (d *Deduplicator) settleLocally(request *peerpb.SettleRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.settle(request.Key, request.ClaimId, request.Result, request.Answer)
}

func (d *Deduplicator) sendResult(to pollencrank.Instance, request *peerpb.SettleRequest) {
	for range settleAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		_, err := d.config.Peer.Settle(ctx, to.PeerAddress, request)
		cancel()
		if err == nil {
			return
		}
	}
}

// HandleSettle records a result that the executor of a request sent.
func (d *Deduplicator) HandleSettle(request *peerpb.SettleRequest) { d.settleLocally(request) }
