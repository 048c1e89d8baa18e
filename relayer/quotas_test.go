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
