package relayer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
)

// quotas refuses with the errors that are set, and counts its calls.
type quotas struct {
	checkErr, takeErr, renewErr error
	calls                       int
	validity, accepted          time.Duration
}

func (q *quotas) Check(*router.Tenant) error {
	q.calls++
	return q.checkErr
}

func (q *quotas) Take(context.Context, *router.Tenant) (rationer.Token, error) {
	q.calls++
	return rationer.Token{}, q.takeErr
}

func (q *quotas) Renew(context.Context, *router.Tenant, *rationer.Token) error {
	q.calls++
	return q.renewErr
}

func (q *quotas) Validity(rationer.Token) time.Duration { return q.validity }

func (q *quotas) Accept(validity time.Duration) rationer.Token {
	q.accepted = validity
	return rationer.Token{}
}

// sender calls BeforeSend as the forwarder does, and returns an empty answer.
type sender struct{}

func (sender) Forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
	if call.BeforeSend != nil {
		if err := call.BeforeSend(ctx); err != nil {
			return nil, err
		}
	}
	return &pollencrank.Answer{}, nil
}

// pass lets a call pass the quotas as serve does.
func (r *Relayer) pass(ctx context.Context, call *forwarder.Call) error {
	if err := r.checkQuota(call); err != nil {
		return err
	}
	_, err := r.forward(ctx, call)
	return err
}

func TestARequestBeyondTheQuotaIsRefused(t *testing.T) {
	spent := pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "spent")
	spent.RetryAt = time.Now().Add(time.Minute)
	unreachable := pollencrank.NotRun(pollencrank.ReasonQuotaUnreachable, "nobody answers")
	tenant := &router.Tenant{Name: "tenant-1", Quota: router.Quota{PerSecond: 5}}
	for _, test := range []struct {
		quotas quotas
		status int
		calls  int
	}{
		{quotas{checkErr: spent}, http.StatusTooManyRequests, 1},
		{quotas{takeErr: spent}, http.StatusTooManyRequests, 2},
		{quotas{renewErr: spent}, http.StatusTooManyRequests, 3},
		{quotas{takeErr: unreachable}, http.StatusServiceUnavailable, 2},
	} {
		r := New(Config{Quotas: &test.quotas, Forwarder: sender{}})
		status, _, retryAt := classifyError(r.pass(t.Context(), &forwarder.Call{Tenant: tenant}))
		require.Equal(t, test.status, status)
		require.Equal(t, status == http.StatusTooManyRequests, !retryAt.IsZero())
		require.Equal(t, test.calls, test.quotas.calls)
	}
}

// Nothing changes for requests without a tenant, of a tenant without a limit, and for those
// that another instance has counted.
func TestARequestWithoutAQuotaTakesNoToken(t *testing.T) {
	limited := &router.Tenant{Name: "tenant-1", Quota: router.Quota{PerSecond: 5}}
	for _, call := range []*forwarder.Call{{}, {Tenant: &router.Tenant{Name: "tenant-2"}}, {Tenant: limited, Hop: &rerouter.Hop{}}} {
		q := &quotas{}
		r := New(Config{Quotas: q, Forwarder: sender{}})
		require.NoError(t, r.pass(t.Context(), call))
		require.Zero(t, q.calls)
	}
	require.NoError(t, New(Config{Forwarder: sender{}}).pass(t.Context(), &forwarder.Call{Tenant: limited}))
}

// The request of another instance is sent once with the token that it has.
func TestARequestOfAnotherInstanceBringsItsToken(t *testing.T) {
	limited := &router.Tenant{Name: "tenant-1", Quota: router.Quota{PerSecond: 5}}
	q := &quotas{validity: 200 * time.Millisecond}
	r := New(Config{Quotas: q, Forwarder: sender{}})
	call := &forwarder.Call{Tenant: limited, Hop: &rerouter.Hop{TokenUntil: time.Now().Add(300 * time.Millisecond)}}
	require.NoError(t, r.pass(t.Context(), call))
	require.Equal(t, 1, q.calls, "Renew only")
	require.InDelta(t, 300*time.Millisecond, q.accepted, float64(200*time.Millisecond))
	require.WithinDuration(t, time.Now().Add(200*time.Millisecond), call.TokenUntil(), 150*time.Millisecond)
	q.renewErr = pollencrank.NotRun(pollencrank.ReasonQuotaSpent, "spent")
	require.Error(t, r.pass(t.Context(), call))
}
