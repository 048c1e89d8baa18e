package deduplicator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

// homeOf returns the home of a key in a region whose members are all running.
func homeOf(r *region, key string) string {
	var ids []string
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[pollencrank.RendezvousHome(key, ids)]
}

// keyWithHome returns a key whose home is the entry with the given ID.
func keyWithHome(r *region, id string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("key-%d", i); homeOf(r, key) == id {
			return key
		}
	}
}

// Guards against a request that its own abandoned claim blocks: the home grants a
// claim, the answer is lost, and the home hands the claim over and leaves before
// it receives the release of the abandoned claim.
func TestAnAbandonedClaimThatWasHandedOverDoesNotBlockItsOwnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(4)
		claim := newClaim(keyWithHome(r, "entry-0"), "order")
		messages := 0
		r.loss = func() (bool, bool) {
			messages++
			const lostMessages = 4 // the answer to the claim and three releases of it
			return messages > 1 && messages <= lostMessages, messages == 1
		}
		go func() {
			time.Sleep(20 * time.Millisecond)
			_, err := r.nodes["entry-0"].HandOver(context.Background())
			require.NoError(t, err)
			r.setState("entry-0", pollencrank.InstanceLeft)
		}()
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-1", claim))
	})
}

// Guards against a second run of a request: an abandoned claim is handed over and
// released after a newer claim of the same request was granted. It must neither
// replace the newer claim nor release it.
func TestAClaimHandedOverLateDoesNotReleaseANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(3)
		claim := newClaim("k", "order")
		require.Equal(t, peerpb.ClaimResponse_VERDICT_GRANTED, r.claim("entry-1", claim))
		home := r.nodes[homeOf(r, "k")]
		const older = 7
		require.NoError(t, home.HandleHandOver(&peerpb.HandOverClaimsRequest{From: "entry-9", Claims: []*peerpb.ClaimRecord{{
			Key: "k", Executor: "entry-1", ClaimId: older, Fingerprint: []byte("order"),
			ExpiresUnixMs: claim.Expires.UnixMilli(), RunningUntilUnixMs: claim.Deadline.UnixMilli(),
		}}}))
		home.HandleSettle(&peerpb.SettleRequest{
			Key: "k", Executor: "entry-1", ClaimId: older, Result: peerpb.SettleRequest_RESULT_NOT_RUN,
		})
		require.Equal(t, peerpb.ClaimResponse_VERDICT_RUNNING, r.claim("entry-2", newClaim("k", "order")))
	})
}
