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
	// peerTimeout bounds a message about a claim.
	peerTimeout = 500 * time.Millisecond
	// settleGrace is how long past its deadline a request may settle before
	// its claim counts as unknown.
	settleGrace = 5 * time.Second
	// settleTries is how often a result is sent to a home that does not answer.
	settleTries = 3
	// maxUncleanStops is the number of instances that may have stopped without
	// handing over their claims, because each claim is held by two.
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
	// Members returns the members of the region, with this instance and with
	// those that left or died a short while ago.
	Members func() []pollencrank.Instance
	// MaxClaims and MaxAnswerBytes bound memory.
	MaxClaims      int
	MaxAnswerBytes int
}

// Claim asks for the right to run a request.
type Claim struct {
	Key string
	// ID tells this claim from other claims on the key. Claim sets it.
	ID          uint64
	Fingerprint []byte
	// Deadline is the request's own deadline.
	Deadline time.Time
	// Expires is until when repeats are recognised.
	Expires time.Time

	// abandoned are the IDs of earlier tries under which nothing has run, but
	// which other instances may still hold.
	abandoned []uint64
}

// Deduplicator claims keys and answers for the keys that it is the home of.
type Deduplicator struct {
	config  Config
	started time.Time

	mu    sync.Mutex
	table *Table
}

// New returns a Deduplicator without claims.
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

// Len returns the number of claims held here.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Len()
}

const (
	// claimPatience is how long a claim is tried again while members that must
	// be asked do not answer. It is longer than the members take to declare one
	// of them dead.
	claimPatience = 5 * time.Second
	// firstClaimPause and longestClaimPause pace the tries.
	firstClaimPause   = 50 * time.Millisecond
	longestClaimPause = 400 * time.Millisecond
)

// Claim asks the key's home for a claim and sets its ID. With a granted claim
// this instance must run the request and settle it. A member that does not
// answer may have left or died a moment ago, so the claim is tried again with
// the members of then, until the request's deadline or the end of ctx.
func (d *Deduplicator) Claim(ctx context.Context, claim *Claim) *peerpb.ClaimResponse {
	ctx, cancel := context.WithDeadline(ctx, claim.Deadline)
	defer cancel()
	end := time.Now().Add(claimPatience)
	pause := firstClaimPause
	for {
		// Each try has an ID of its own: what is sent to end one cannot end
		// the next.
		claim.ID = rand.Uint64()
		response := d.try(ctx, claim)
		if response.Verdict != peerpb.ClaimResponse_VERDICT_UNREACHABLE || time.Now().After(end) {
			return response
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return response
		case <-timer.C:
		}
		pause = min(2*pause, longestClaimPause)
	}
}

// release ends the abandoned tries of a claim wherever they may be held by now: a
// home that left may have handed them over before it was told that they ended.
func (d *Deduplicator) release(ctx context.Context, claim *Claim) {
	if len(claim.abandoned) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, id := range claim.abandoned {
		request := notRun(claim.Key, d.config.Self, id)
		d.settleHere(request)
		for _, m := range d.holders(claim.Key) {
			if m.ID == d.config.Self {
				continue
			}
			// A holder that does not answer is told again at the next try.
			told.Go(func() { _, _ = d.config.Peer.Settle(ctx, m.PeerAddress, request) })
		}
	}
	told.Wait()
}

// notRun is the result of a claim under which nothing has run.
func notRun(key, executor string, id uint64) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{Key: key, Executor: executor, ClaimId: id, Result: peerpb.SettleRequest_RESULT_NOT_RUN}
}

// try asks the key's home once.
func (d *Deduplicator) try(ctx context.Context, claim *Claim) *peerpb.ClaimResponse {
	d.release(ctx, claim)
	request := &peerpb.ClaimRequest{
		Key:                claim.Key,
		Executor:           d.config.Self,
		ClaimId:            claim.ID,
		Fingerprint:        claim.Fingerprint,
		RunningUntilUnixMs: claim.Deadline.Add(settleGrace).UnixMilli(),
		ExpiresUnixMs:      claim.Expires.UnixMilli(),
	}
	if known := d.lookup(request); known != nil {
		return known
	}
	holders := d.holders(claim.Key)
	if len(holders) == 0 {
		return verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "this instance knows no members of its region")
	}
	home := holders[0]
	if home.ID != d.config.Self {
		return d.claimAt(ctx, home, claim, request)
	}
	response := d.HandleClaim(ctx, request)
	if response.Verdict != peerpb.ClaimResponse_VERDICT_GRANTED || len(holders) == 1 {
		return response
	}
	if d.witness(ctx, holders[1:], request) {
		return response
	}
	d.settleHere(notRun(claim.Key, d.config.Self, claim.ID))
	claim.abandoned = append(claim.abandoned, claim.ID)
	return verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "no second instance holds the claim")
}

func (d *Deduplicator) lookup(request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.lookup(time.Now(), request.Key, request.Fingerprint)
}

// holders returns the running members of the region in rendezvous order for a
// key. The first is the key's home.
func (d *Deduplicator) holders(key string) []pollencrank.Instance {
	var running []pollencrank.Instance
	for _, m := range d.config.Members() {
		if m.State.CanOwn() {
			running = append(running, m)
		}
	}
	const wanted = 3
	var ordered []pollencrank.Instance
	for len(running) > 0 && len(ordered) < wanted {
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

// claimAt claims a key at a home elsewhere and holds the claim here as well.
func (d *Deduplicator) claimAt(ctx context.Context, home pollencrank.Instance, claim *Claim, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	if !d.add(request) {
		return verdict(peerpb.ClaimResponse_VERDICT_FULL, "too many claims")
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := d.config.Peer.Claim(ctx, home.PeerAddress, request)
	if err != nil {
		response = verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "the key's home does not answer")
	}
	if response.Verdict == peerpb.ClaimResponse_VERDICT_GRANTED {
		return response
	}
	// The home may hold a claim whose answer was lost. It is released there;
	// nothing has run under it.
	ended := notRun(request.Key, request.Executor, request.ClaimId)
	d.settleHere(ended)
	if err != nil {
		claim.abandoned = append(claim.abandoned, request.ClaimId)
		go d.sendResult(home, ended)
	}
	return response
}

// add holds a claim here.
func (d *Deduplicator) add(request *peerpb.ClaimRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.expire(time.Now())
	return d.table.claim(recordOf(request))
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

// witness has one of the candidates hold a copy of a claim.
func (d *Deduplicator) witness(ctx context.Context, candidates []pollencrank.Instance, request *peerpb.ClaimRequest) bool {
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

// HandleClaim answers a claim as the key's home, or a question of the home if
// the request is recovering.
func (d *Deduplicator) HandleClaim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	if known := d.lookup(request); known != nil {
		return known
	}
	if request.Recovering {
		return verdict(peerpb.ClaimResponse_VERDICT_GRANTED, "")
	}
	if known := d.recover(ctx, request); known != nil {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// Another claim may have come in while the others were asked.
	if known := d.table.lookup(time.Now(), request.Key, request.Fingerprint); known != nil {
		return known
	}
	if !d.table.claim(recordOf(request)) {
		return verdict(peerpb.ClaimResponse_VERDICT_FULL, "too many claims")
	}
	return verdict(peerpb.ClaimResponse_VERDICT_GRANTED, "")
}

// recover finds out what the region knows of a key that this home may have
// missed. It returns nil if the key was certainly never claimed.
func (d *Deduplicator) recover(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	window := time.Until(time.UnixMilli(request.ExpiresUnixMs))
	members := d.config.Members()
	if !d.membersChanged(members, window) {
		return nil
	}
	if d.uncleanStops(members, window) > maxUncleanStops {
		return verdict(peerpb.ClaimResponse_VERDICT_UNKNOWN, "instances that may have held the key have failed")
	}
	return d.askOthers(ctx, members, request)
}

// membersChanged reports whether a member came or went within a window.
func (d *Deduplicator) membersChanged(members []pollencrank.Instance, window time.Duration) bool {
	for _, m := range members {
		if time.Since(m.StateChanged) < window {
			return true
		}
	}
	return false
}

func (d *Deduplicator) uncleanStops(members []pollencrank.Instance, window time.Duration) int {
	stops := 0
	for _, m := range members {
		if m.State == pollencrank.InstanceDead && time.Since(m.StateChanged) < window {
			stops++
		}
	}
	return stops
}

// askOthers asks every running member for a key.
func (d *Deduplicator) askOthers(ctx context.Context, members []pollencrank.Instance, request *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	question := &peerpb.ClaimRequest{Key: request.Key, Fingerprint: request.Fingerprint, Recovering: true}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := make(chan *peerpb.ClaimResponse, len(members))
	asked := 0
	for _, m := range members {
		// The executor holds this very claim already and would find it.
		if m.ID == d.config.Self || m.ID == request.Executor || !m.State.CanAnswer() {
			continue
		}
		asked++
		go func() {
			response, err := d.config.Peer.Claim(ctx, m.PeerAddress, question)
			if err != nil {
				response = verdict(peerpb.ClaimResponse_VERDICT_UNREACHABLE, "instance "+m.ID+" does not answer")
			}
			answers <- response
		}()
	}
	var worst *peerpb.ClaimResponse
	for range asked {
		response := <-answers
		switch response.Verdict {
		case peerpb.ClaimResponse_VERDICT_GRANTED:
		case peerpb.ClaimResponse_VERDICT_UNREACHABLE:
			worst = response
		default:
			return response
		}
	}
	return worst
}

// Settle records what became of a claim, here and at the key's home.
func (d *Deduplicator) Settle(claim Claim, result peerpb.SettleRequest_Result, answer *peerpb.RecordedAnswer) {
	request := &peerpb.SettleRequest{
		Key:      claim.Key,
		Executor: d.config.Self,
		ClaimId:  claim.ID,
		Result:   result,
		Answer:   answer,
	}
	d.settleHere(request)
	for _, m := range d.holders(claim.Key) {
		if m.ID != d.config.Self {
			go d.sendResult(m, request)
		}
	}
}

func (d *Deduplicator) settleHere(request *peerpb.SettleRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.settle(request.Key, request.ClaimId, request.Result, request.Answer)
}

func (d *Deduplicator) sendResult(to pollencrank.Instance, request *peerpb.SettleRequest) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		_, err := d.config.Peer.Settle(ctx, to.PeerAddress, request)
		cancel()
		if err == nil {
			return
		}
	}
}

// HandleSettle takes a result from the entry that ran a request.
func (d *Deduplicator) HandleSettle(request *peerpb.SettleRequest) { d.settleHere(request) }
