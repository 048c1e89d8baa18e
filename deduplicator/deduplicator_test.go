package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/deduplicator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

var errMessageLost = errors.New("message lost")

// region connects a few deduplicators in memory.
type region struct {
	mu      sync.Mutex
	nodes   map[string]*deduplicator.Deduplicator
	members map[string]pollencrank.Instance
	// loss decides for each message whether the message or its answer is lost.
	loss func() (lost, answerLost bool)
}

func newRegion(count int) *region {
	r := &region{
		nodes:   map[string]*deduplicator.Deduplicator{},
		members: map[string]pollencrank.Instance{},
		loss:    func() (bool, bool) { return false, false },
	}
	for i := range count {
		r.add(fmt.Sprintf("entry-%d", i), time.Now().Add(-time.Hour))
	}
	return r
}

// add adds a member that joined at the given time.
func (r *region) add(id string, joined time.Time) {
	r.members[id] = pollencrank.Instance{ID: id, PeerAddress: id, Region: "north", StateChanged: joined}
	r.nodes[id] = deduplicator.New(deduplicator.Config{Self: id, Peer: &peer{r, id}, Members: r.list})
}

func (r *region) list() []pollencrank.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []pollencrank.Instance
	for _, m := range r.members {
		members = append(members, m)
	}
	return members
}

func (r *region) setState(id string, state pollencrank.InstanceState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	m.State, m.StateChanged = state, time.Now()
	r.members[id] = m
}

// crash stops a member without a hand-over of its claims.
func (r *region) crash(id string) {
	r.mu.Lock()
	delete(r.nodes, id)
	r.mu.Unlock()
	r.setState(id, pollencrank.InstanceDead)
}

// peer sends the messages of one member.
type peer struct {
	region *region
	from   string
}

func deliver[T any](p *peer, to string, handle func(*deduplicator.Deduplicator) T) (T, error) {
	var zero T
	p.region.mu.Lock()
	lost, answerLost := p.region.loss()
	node, sender := p.region.nodes[to], p.region.nodes[p.from]
	p.region.mu.Unlock()
	if lost || node == nil || sender == nil {
		return zero, errMessageLost
	}
	answer := handle(node)
	if answerLost {
		return zero, errMessageLost
	}
	return answer, nil
}

func (p *peer) Claim(ctx context.Context, to string, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return deliver(p, to, func(d *deduplicator.Deduplicator) *peerpb.ClaimResponse { return d.HandleClaim(ctx, request) })
}

func (p *peer) Settle(_ context.Context, to string, request *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return deliver(p, to, func(d *deduplicator.Deduplicator) *peerpb.SettleResponse {
		d.HandleSettle(request)
		return &peerpb.SettleResponse{}
	})
}

func (p *peer) HandOverClaims(_ context.Context, to string, request *peerpb.HandOverClaimsRequest) (*peerpb.HandOverClaimsResponse, error) {
	var refusal error
	response, err := deliver(p, to, func(d *deduplicator.Deduplicator) *peerpb.HandOverClaimsResponse {
		refusal = d.HandleHandOver(request)
		return &peerpb.HandOverClaimsResponse{}
	})
	if refusal != nil {
		return nil, refusal
	}
	return response, err
}

const (
	timeout   = time.Second
	retention = 10 * time.Minute
)

func newClaim(key, content string) *deduplicator.Claim {
	return &deduplicator.Claim{
		Key: key, Fingerprint: []byte(content),
		Deadline: time.Now().Add(timeout), Expires: time.Now().Add(retention),
	}
}

func (r *region) claim(id string, claim *deduplicator.Claim) peerpb.ClaimResponse_Verdict {
	return r.nodes[id].Claim(context.Background(), claim).Verdict
}

func recordedAnswer(text string) *peerpb.RecordedAnswer {
	return &peerpb.RecordedAnswer{Status: 200, Body: []byte(text)}
}

// A repeat at any entry must get the answer of the first request. Another request
// with the same key must be refused.
func TestARepeatGetsTheRecordedAnswerAtEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		first := newClaim("k", "order")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", first))
		require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-1", newClaim("k", "order")))
		r.nodes["entry-0"].Settle(*first, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("done"))
		synctest.Wait()
		for id, node := range r.nodes {
			response := node.Claim(context.Background(), newClaim("k", "order"))
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RECORDED, response.Verdict, id)
			require.Equal(t, "done", string(response.Answer.Body))
			require.Equal(t, peerpb.ClaimResponse_VERDICT_MISMATCH, r.claim(id, newClaim("k", "another order")), id)
		}
	})
}

func TestAClaimThatDidNotRunIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		for i := range 6 {
			id := fmt.Sprintf("entry-%d", i%3)
			claim := newClaim("k", "order")
			require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim(id, claim))
			r.nodes[id].Settle(*claim, peerpb.SettleRequest_RESULT_NOT_RUN, nil)
			synctest.Wait()
		}
	})
}

// Guards against a second run of a request: the release of an earlier claim arrives
// after the same entry was granted a later claim on the key. It must not release
// the later claim.
func TestALateReleaseDoesNotTouchALaterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		first := newClaim("k", "order")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", first))
		r.nodes["entry-0"].Settle(*first, peerpb.SettleRequest_RESULT_NOT_RUN, nil)
		synctest.Wait()
		second := newClaim("k", "order")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", second))
		late := &peerpb.SettleRequest{Key: "k", ClaimId: first.ID, Result: peerpb.SettleRequest_RESULT_NOT_RUN}
		for _, node := range r.nodes {
			node.HandleSettle(late)
		}
		require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-1", newClaim("k", "order")))
	})
}

// Guards against a second run of a request after a crash: each entry in turn
// crashes after a claim was granted, be it the executor, the key's home or neither.
// A repeat at a remaining entry must never be granted.
func TestACrashNeverLetsAnOrderRunTwice(t *testing.T) {
	for _, settled := range []bool{false, true} {
		for crashed := range 4 {
			for key := range 12 {
				synctest.Test(t, func(t *testing.T) {
					r := newRegion(4)
					claim := newClaim(fmt.Sprint("key-", key), "order")
					require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", claim))
					if settled {
						r.nodes["entry-0"].Settle(*claim, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("done"))
						synctest.Wait()
					}
					r.crash(fmt.Sprintf("entry-%d", crashed))
					for id := range r.nodes {
						got := r.claim(id, newClaim(claim.Key, "order"))
						require.NotEqual(t, peerpb.ClaimResponse_VERDICT_GRANTED, got)
						if settled {
							require.Equal(t, peerpb.ClaimResponse_VERDICT_RECORDED, got)
						}
					}
				})
			}
		}
	}
}

// The home of a key may leave while a claim on the key is sent to it. The claim is
// retried, so that no order is refused because of a planned stop.
func TestAClaimIsRetriedWhenItsHomeLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		r.loss = func() (bool, bool) { return true, false }
		go func() {
			time.Sleep(10 * time.Millisecond)
			r.mu.Lock()
			r.loss = func() (bool, bool) { return false, false }
			r.mu.Unlock()
		}()
		for i := range 8 {
			require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", newClaim(fmt.Sprint(i), "order")))
		}
	})
}

// The update that a member has left may arrive some time after its port is closed.
// Until then a key's home cannot query the member, and the claim must be retried
// instead of refused.
func TestAClaimIsRetriedUntilADepartureIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		r.setState("entry-1", pollencrank.InstanceLeaving)
		delete(r.nodes, "entry-1")
		go func() {
			time.Sleep(600 * time.Millisecond)
			r.setState("entry-1", pollencrank.InstanceLeft)
		}()
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", newClaim("key", "order")))
	})
}

// While no member answers, a claim is retried until the request's deadline. The
// claim is then abandoned and its order refused.
func TestAClaimIsAbandonedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		r.loss = func() (bool, bool) { return true, false }
		started := time.Now()
		require.Equal(t, peerpb.ClaimResponse_VERDICT_UNREACHABLE, r.claim("entry-0", newClaim("key", "order")))
		require.Equal(t, timeout, time.Since(started))
	})
}

// Two crashes may lose both copies of a claim, so that new keys cannot be verified
// until all claims from before the crashes would have expired.
func TestTwoCrashesMakeKeysUnverifiableUntilClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		r.crash("entry-0")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-2", newClaim("one", "order")))
		r.crash("entry-1")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_UNKNOWN, r.claim("entry-2", newClaim("two", "order")))
		time.Sleep(retention)
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-2", newClaim("three", "order")))
	})
}

// Three of four members leave in turn. The last one must still have the results of
// all keys.
func TestAPlannedStopHandsClaimsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		const keys = 40
		for i := range keys {
			claim := newClaim(fmt.Sprint(i), "order")
			id := fmt.Sprintf("entry-%d", i%4)
			require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim(id, claim))
			r.nodes[id].Settle(*claim, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("done"))
		}
		synctest.Wait()
		for _, id := range []string{"entry-0", "entry-1", "entry-2"} {
			r.setState(id, pollencrank.InstanceLeaving)
			_, err := r.nodes[id].HandOver(context.Background())
			require.NoError(t, err)
			delete(r.nodes, id)
			r.setState(id, pollencrank.InstanceLeft)
		}
		for i := range keys {
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RECORDED, r.claim("entry-3", newClaim(fmt.Sprint(i), "order")))
		}
	})
}

func TestAnUnsettledClaimBecomesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", newClaim("k", "order")))
		time.Sleep(time.Minute)
		for id := range r.nodes {
			require.Equal(t, peerpb.ClaimResponse_VERDICT_UNKNOWN, r.claim(id, newClaim("k", "order")))
		}
	})
}

// A full table refuses new keys instead of evicting claims that have not expired.
func TestAFullTableRefusesAndForgetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deduplicator.New(deduplicator.Config{
			Self: "entry-0", MaxClaims: 2,
			Members: func() []pollencrank.Instance {
				return []pollencrank.Instance{{ID: "entry-0", StateChanged: time.Now().Add(-time.Hour)}}
			},
		})
		claim := func(key string) peerpb.ClaimResponse_Verdict {
			return d.Claim(context.Background(), newClaim(key, "order")).Verdict
		}
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, claim("a"))
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, claim("b"))
		require.Equal(t, peerpb.ClaimResponse_VERDICT_FULL, claim("c"))
		require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, claim("a"))
		time.Sleep(retention)
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, claim("c"))
		require.Equal(t, 1, d.Len())
	})
}

// When recorded answers reach Config.MaxAnswerBytes, later answers are recorded without
// their bodies and repeats are still recognised.
func TestAnswersAreDroppedBeforeClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deduplicator.New(deduplicator.Config{
			Self: "entry-0", MaxAnswerBytes: 100,
			Members: func() []pollencrank.Instance {
				return []pollencrank.Instance{{ID: "entry-0", StateChanged: time.Now().Add(-time.Hour)}}
			},
		})
		for i := range 4 {
			claim := newClaim(fmt.Sprint(i), "order")
			require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, d.Claim(context.Background(), claim).Verdict)
			d.Settle(*claim, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("an answer of some forty bytes, not more"))
		}
		kept := 0
		for i := range 4 {
			response := d.Claim(context.Background(), newClaim(fmt.Sprint(i), "order"))
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RECORDED, response.Verdict)
			if !response.Answer.Truncated {
				kept++
			}
		}
		require.Equal(t, 2, kept)
	})
}

// With any loss of messages and answers, a crash of any one entry and repeats at
// any entry, the request of a key runs at most once.
func TestAtMostOnceUnderLossAndACrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			r := newRegion(rapid.IntRange(2, 5).Draw(rt, "entries"))
			losses := rapid.SliceOfN(rapid.IntRange(0, 9), 60, 60).Draw(rt, "losses")
			next := 0
			r.loss = func() (bool, bool) {
				next++
				loss := losses[next%len(losses)]
				return loss == 0, loss == 1
			}
			runs := map[string]int{}
			crashed := false
			for range rapid.IntRange(1, 25).Draw(rt, "steps") {
				ids := r.running()
				id := rapid.SampledFrom(ids).Draw(rt, "entry")
				if !crashed && len(ids) > 1 && rapid.IntRange(0, 9).Draw(rt, "crash") == 0 {
					r.crash(id)
					crashed = true
					continue
				}
				key := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key")
				claim := newClaim(key, "order")
				if r.claim(id, claim) == peerpb.ClaimResponse_VERDICT_GRANTED {
					r.finish(rt, id, claim, runs)
				}
				require.LessOrEqual(rt, runs[key], 1, "key %s", key)
			}
			synctest.Wait()
		})
	})
}

func (r *region) running() []string {
	var ids []string
	for i := range len(r.members) {
		id := fmt.Sprintf("entry-%d", i)
		if r.nodes[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// finish draws how the request of a granted claim ends: not run, unknown, answered,
// or run without a result so far.
func (r *region) finish(t *rapid.T, id string, claim *deduplicator.Claim, runs map[string]int) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		r.nodes[id].Settle(*claim, peerpb.SettleRequest_RESULT_NOT_RUN, nil)
	case 1:
		runs[claim.Key]++
		r.nodes[id].Settle(*claim, peerpb.SettleRequest_RESULT_UNKNOWN, nil)
	case 2:
		runs[claim.Key]++
		r.nodes[id].Settle(*claim, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("done"))
	default:
		// The request is still running.
		runs[claim.Key]++
	}
	if rapid.Bool().Draw(t, "wait") {
		synctest.Wait()
	}
}

// Guards against claims lost in a planned stop: a holder may just have crashed and
// still count as running. The hand-over skips it and uses the next holders.
func TestAHandOverPassesACrashedHolderOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 8 {
			r := newRegion(4)
			key := fmt.Sprint(i)
			claim := newClaim(key, "order")
			require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", claim))
			r.nodes["entry-0"].Settle(*claim, peerpb.SettleRequest_RESULT_ANSWERED, recordedAnswer("done"))
			synctest.Wait()
			r.setState("entry-0", pollencrank.InstanceLeaving)
			delete(r.nodes, "entry-1")
			_, err := r.nodes["entry-0"].HandOver(context.Background())
			require.NoError(t, err)
			delete(r.nodes, "entry-0")
			r.setState("entry-0", pollencrank.InstanceLeft)
			r.setState("entry-1", pollencrank.InstanceDead)
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RECORDED, r.claim("entry-2", newClaim(key, "order")))
		}
	})
}

// A hand-over fails if no holder accepts the claims. It succeeds without a holder
// once no other member is running.
func TestAHandOverReportsClaimsWithoutAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", newClaim("key", "order")))
		r.setState("entry-0", pollencrank.InstanceLeaving)
		r.loss = func() (bool, bool) { return true, false }
		_, err := r.nodes["entry-0"].HandOver(context.Background())
		require.Error(t, err)
		r.setState("entry-1", pollencrank.InstanceLeft)
		r.setState("entry-2", pollencrank.InstanceLeft)
		_, err = r.nodes["entry-0"].HandOver(context.Background())
		require.NoError(t, err, "no other member is running, so the claims are not needed")
	})
}
