package deduplicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// delayRegion makes every message to a member take some time. An entry that reads the
// members pauses, so that claims at one entry overlap as they do on several processors.
func delayRegion(r *region, delay func() time.Duration) {
	for id := range r.nodes {
		r.nodes[id] = deduplicator.New(deduplicator.Config{
			Self: id,
			Peer: &latePeer{peer: peer{r, id}, delay: delay},
			Members: func() []pollencrank.Instance {
				time.Sleep(time.Millisecond)
				return r.list()
			},
		})
	}
}

func usualDelay() time.Duration { return 10 * time.Millisecond }

// latePeer sends the messages of one member. A message may arrive after its sender has
// stopped waiting for the answer.
type latePeer struct {
	peer
	delay func() time.Duration
}

func deliverLate[T any](ctx context.Context, delay time.Duration, deliver func() (T, error)) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	arrived := make(chan outcome, 1)
	go func() {
		time.Sleep(delay)
		answer, err := deliver()
		arrived <- outcome{answer, err}
	}()
	select {
	case o := <-arrived:
		return o.answer, o.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

func (p *latePeer) Claim(ctx context.Context, to string, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return deliverLate(ctx, p.delay(), func() (*peerpb.ClaimResponse, error) {
		return p.peer.Claim(context.WithoutCancel(ctx), to, request)
	})
}

func (p *latePeer) Settle(ctx context.Context, to string, request *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return deliverLate(ctx, p.delay(), func() (*peerpb.SettleResponse, error) { return p.peer.Settle(ctx, to, request) })
}

func (p *latePeer) HandOverClaims(ctx context.Context, to string, request *peerpb.HandOverClaimsRequest) (*peerpb.HandOverClaimsResponse, error) {
	return deliverLate(ctx, p.delay(), func() (*peerpb.HandOverClaimsResponse, error) { return p.peer.HandOverClaims(ctx, to, request) })
}

// Guards against a second run of an order: two callers use one key at the same time at an
// entry that is not the key's home, and the home crashes while the order runs. Which of
// the claims reaches the home first is open, so that the test uses many keys.
func TestTwoClaimsAtOneEntryLeaveACopyOfTheGrantedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		delayRegion(r, usualDelay)
		var granted atomic.Int64
		var wait sync.WaitGroup
		keys := keysWithHome(r, "entry-0", 30)
		for _, key := range keys {
			for range 2 {
				wait.Go(func() {
					if r.claim("entry-1", newClaim(key, "order")) == peerpb.ClaimResponse_VERDICT_GRANTED {
						granted.Add(1)
					}
				})
			}
		}
		wait.Wait()
		require.Equal(t, int64(len(keys)), granted.Load())
		r.crash("entry-0")
		for _, key := range keys {
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-2", newClaim(key, "order")), key)
		}
	})
}

// keysWithHome returns keys whose home is the entry with the given ID.
func keysWithHome(r *region, id string, count int) []string {
	var keys []string
	for i := 0; len(keys) < count; i++ {
		if key := fmt.Sprintf("key-%d", i); homeOf(r, key) == id {
			keys = append(keys, key)
		}
	}
	return keys
}

// Guards against a second run of an order: the home grants a claim of its own caller, its
// second copy reaches an entry whose claim on the key is still under way, and the home
// crashes.
func TestACopyReplacesAClaimThatIsNotGrantedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(2)
		var messages atomic.Int64
		delayRegion(r, func() time.Duration {
			if messages.Add(1) == 1 {
				return 100 * time.Millisecond
			}
			return usualDelay()
		})
		key := keyWithHome(r, "entry-0")
		var wait sync.WaitGroup
		wait.Go(func() {
			require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-1", newClaim(key, "order")))
		})
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-0", newClaim(key, "order")))
		wait.Wait()
		r.crash("entry-0")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-1", newClaim(key, "order")))
	})
}

// Guards against a record that removes a newer one: an overwritten record stayed in the
// expiry heap. The first claims of the keys expire while the later ones run.
func TestAnEarlierRecordDoesNotRemoveANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		delayRegion(r, usualDelay)
		keys := keysWithHome(r, "entry-0", 30)
		var wait sync.WaitGroup
		for _, key := range keys {
			for _, lifetime := range []time.Duration{2 * time.Second, retention} {
				claim := newClaim(key, "order")
				claim.Expires = time.Now().Add(lifetime)
				wait.Go(func() { r.claim("entry-1", claim) })
			}
		}
		wait.Wait()
		held := r.nodes["entry-1"].Len()
		require.Equal(t, len(keys), held, "one record for each key")
		time.Sleep(time.Second)
		require.Equal(t, held, r.nodes["entry-1"].Len(), "no record has expired")
	})
}

// step is one action of the state machine.
type step struct {
	kind  string
	entry int
	key   string
	// callers is the number of callers that use the key at the same time.
	callers int
	// pause is the time until the next step, and run the time that a request takes.
	pause, run time.Duration
	result     peerpb.SettleRequest_Result
}

func drawStep(t *rapid.T) step {
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	return step{
		kind:    rapid.SampledFrom([]string{"claim", "claim", "claim", "claim", "crash", "leave"}).Draw(t, "kind"),
		entry:   rapid.IntRange(0, 3).Draw(t, "entry"),
		key:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		callers: rapid.IntRange(1, 3).Draw(t, "callers"),
		pause:   ms(300, "pause"),
		run:     ms(800, "run"),
		result: rapid.SampledFrom([]peerpb.SettleRequest_Result{
			peerpb.SettleRequest_RESULT_NOT_RUN, peerpb.SettleRequest_RESULT_ANSWERED, peerpb.SettleRequest_RESULT_UNKNOWN,
		}).Draw(t, "result"),
	}
}

// machineEntries is the number of entries of a machine at its start.
const machineEntries = 4

// machine runs steps against a region whose messages are late and lost at random.
type machine struct {
	region *region
	wait   sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	runs      map[string]int
	isCrashed bool
	stopped   map[string]bool
	// isCalm says that no message is lost or late any more.
	isCalm bool
}

func newMachine(seed uint64) *machine {
	m := &machine{region: newRegion(machineEntries), random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}, stopped: map[string]bool{}}
	r := m.region
	r.loss = func() (bool, bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		n := m.random.IntN(20)
		return n == 0 && !m.isCalm, n == 1 && !m.isCalm
	}
	delayRegion(r, func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		const usual, late = 20, 900
		if !m.isCalm && m.random.IntN(15) == 0 {
			return time.Duration(m.random.IntN(late)) * time.Millisecond
		}
		return time.Duration(m.random.IntN(usual)) * time.Millisecond
	})
	return m
}

func (m *machine) node(id string) *deduplicator.Deduplicator {
	m.region.mu.Lock()
	defer m.region.mu.Unlock()
	return m.region.nodes[id]
}

func (m *machine) perform(s step) {
	id := []string{"entry-0", "entry-1", "entry-2", "entry-3"}[s.entry]
	if m.stopped[id] {
		return
	}
	switch s.kind {
	case "claim":
		for range s.callers {
			m.wait.Go(func() { m.claim(id, s) })
		}
	case "crash":
		if !m.isCrashed {
			m.isCrashed, m.stopped[id] = true, true
			m.region.crash(id)
		}
	case "leave":
		const least = 2
		if machineEntries-len(m.stopped) > least {
			m.stopped[id] = true
			m.region.setState(id, pollencrank.InstanceLeaving)
			m.wait.Go(func() { m.leave(id) })
		}
	}
}

// claim is one caller: its order runs if the claim is granted.
func (m *machine) claim(id string, s step) {
	node := m.node(id)
	if node == nil {
		return
	}
	claim := newClaim(s.key, "order")
	verdict := node.Claim(context.Background(), claim).Verdict
	if verdict != peerpb.ClaimResponse_VERDICT_GRANTED || m.node(id) == nil {
		return
	}
	if s.result != peerpb.SettleRequest_RESULT_NOT_RUN {
		m.mu.Lock()
		m.runs[s.key]++
		m.mu.Unlock()
	}
	time.Sleep(s.run)
	if m.node(id) != nil {
		node.Settle(*claim, s.result, recordedAnswer("done"))
	}
}

// leave hands the claims over after the requests in flight have ended, as a planned stop
// does.
func (m *machine) leave(id string) {
	const longestRequest = 7 * time.Second
	time.Sleep(longestRequest)
	for range 10 {
		if _, err := m.node(id).HandOver(context.Background()); err == nil {
			break
		}
	}
	m.region.mu.Lock()
	delete(m.region.nodes, id)
	m.region.mu.Unlock()
	m.region.setState(id, pollencrank.InstanceLeft)
}

// No key runs twice, and no key stays blocked past the end of its record, with claims of
// several callers, lost and late messages, planned stops and one crash at the same time.
func TestConcurrentClaimsRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 20).Draw(rt, "steps")
		runs, blocked := map[string]int{}, []string{}
		synctest.Test(t, func(*testing.T) {
			m := newMachine(seed)
			for _, s := range steps {
				m.perform(s)
				time.Sleep(s.pause)
			}
			m.wait.Wait()
			runs = m.runs
			time.Sleep(retention + time.Minute)
			m.mu.Lock()
			m.isCalm = true
			m.mu.Unlock()
			for _, key := range []string{"a", "b"} {
				if m.claimAnywhere(key) != peerpb.ClaimResponse_VERDICT_GRANTED {
					blocked = append(blocked, key)
				}
			}
			time.Sleep(time.Minute)
		})
		for key, count := range runs {
			require.LessOrEqual(rt, count, 1, "key %s ran %d times", key, count)
		}
		require.Empty(rt, blocked, "keys that stay blocked")
	})
}

// claimAnywhere claims a key at the first entry that runs.
func (m *machine) claimAnywhere(key string) peerpb.ClaimResponse_Verdict {
	for _, id := range []string{"entry-0", "entry-1", "entry-2", "entry-3"} {
		if node := m.node(id); node != nil {
			return node.Claim(context.Background(), newClaim(key, "order")).Verdict
		}
	}
	return peerpb.ClaimResponse_VERDICT_UNREACHABLE
}
