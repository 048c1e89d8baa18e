package hoster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// quotasPath is the path at which an instance shows what it knows of tenants' quotas,
	// and quotaLoansPath the one at which it lends tokens of its parts of them.
	quotasPath     = "/quotas"
	quotaLoansPath = "/quotas/loans"
	// maxRetryAfter limits the pause that a lender may ask for.
	maxRetryAfter = time.Hour
)

func (h *Hoster) newRationer() *rationer.Rationer {
	return rationer.New(rationer.Config{
		Fleet:     h.membership,
		Lender:    quotaLender{h},
		Find:      h.findTenant,
		Bounds:    h.config.Bounds.Quotas,
		Suspended: h.timekeeper.Suspended,
		Log:       h.config.Log,
	})
}

// findTenant returns the tenant with a name in the configuration in force, or nil.
func (h *Hoster) findTenant(name string) *router.Tenant {
	table := h.table.Load()
	if table == nil {
		return nil
	}
	return table.FindTenant(name)
}

// quotaRequest asks for tokens of a tenant's quota.
type quotaRequest struct {
	Tenant string `json:"tenant"`
	Count  int    `json:"count"`
}

// quotaAnswer is the answer to a quotaRequest.
type quotaAnswer struct {
	Granted      int     `json:"granted"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// readQuotaRequest decodes a request for tokens.
func readQuotaRequest(body io.Reader) (quotaRequest, error) {
	var request quotaRequest
	if err := json.NewDecoder(io.LimitReader(body, maxLoanBytes)).Decode(&request); err != nil {
		return quotaRequest{}, err
	}
	if request.Tenant == "" || request.Count <= 0 {
		return quotaRequest{}, fmt.Errorf("a request for %d tokens of tenant %q", request.Count, request.Tenant)
	}
	return request, nil
}

// decode returns the loan that a lender grants to a request for a number of tokens.
func (a quotaAnswer) decode(count int) (rationer.Loan, error) {
	if a.Granted < 0 || a.Granted > count || a.RetryAfterMs < 0 || math.IsNaN(a.RetryAfterMs) {
		return rationer.Loan{}, fmt.Errorf("%d of %d tokens were granted, and more after %v ms", a.Granted, count, a.RetryAfterMs)
	}
	pause := min(a.RetryAfterMs, float64(maxRetryAfter.Milliseconds()))
	return rationer.Loan{Granted: a.Granted, RetryAfter: time.Duration(pause * float64(time.Millisecond))}, nil
}

// serveQuotaLoan answers a request of another instance for tokens.
func (h *Hoster) serveQuotaLoan(w http.ResponseWriter, r bunrouter.Request) error {
	request, err := readQuotaRequest(r.Body)
	if err != nil {
		h.config.Log.Warn("an instance sent a malformed request for tokens", recorder.EventQuotaLoanFailed.Attr(), slog.Any("error", err))
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	loan, isHolder := h.rationer.Lend(request.Tenant, request.Count)
	if !isHolder {
		w.WriteHeader(http.StatusNotFound)
		return nil
	}
	// These headers would be most of the answer.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	pause := float64(loan.RetryAfter.Round(time.Microsecond)) / float64(time.Millisecond)
	return json.NewEncoder(w).Encode(quotaAnswer{Granted: loan.Granted, RetryAfterMs: pause})
}

// quotaLender requests tokens from other instances. It implements rationer.Lender.
type quotaLender struct{ h *Hoster }

// Borrow implements rationer.Lender. It fails at once for an instance that does not serve.
func (l quotaLender) Borrow(ctx context.Context, holder, tenant string, count int) (rationer.Loan, error) {
	serving := *l.h.roster.serving.Load()
	i := slices.IndexFunc(serving, func(p namer.Instance) bool { return p.ID == holder })
	if i < 0 {
		return rationer.Loan{}, fmt.Errorf("instance %s is gone", holder)
	}
	var answer quotaAnswer
	if err := l.h.postToPeer(ctx, serving[i], quotaLoansPath, quotaRequest{Tenant: tenant, Count: count}, &answer); err != nil {
		return rationer.Loan{}, err
	}
	loan, err := answer.decode(count)
	if err != nil {
		return rationer.Loan{}, fmt.Errorf("instance %s: %w", holder, err)
	}
	return loan, nil
}

// quotaStatus is the encoding of rationer.Status.
type quotaStatus struct {
	Tenant      string               `json:"tenant"`
	PerSecond   float64              `json:"perSecond"`
	Burst       float64              `json:"burst"`
	Holders     []string             `json:"holders"`
	IsHolder    bool                 `json:"isHolder"`
	Tokens      float64              `json:"tokens"`
	SpentUntil  map[string]time.Time `json:"spentUntil,omitempty"`
	SilentUntil map[string]time.Time `json:"silentUntil,omitempty"`
}

// serveQuotas shows what this instance knows of the quotas of all tenants.
func (h *Hoster) serveQuotas(w http.ResponseWriter, _ bunrouter.Request) error {
	statuses := []quotaStatus{}
	if table := h.table.Load(); table != nil {
		for _, s := range h.rationer.Describe(table.Tenants) {
			statuses = append(statuses, quotaStatus{
				Tenant: s.Tenant, PerSecond: s.Quota.PerSecond, Burst: s.Quota.Burst, Holders: s.Holders,
				IsHolder: s.IsHolder, Tokens: s.Tokens, SpentUntil: s.SpentUntil, SilentUntil: s.SilentUntil,
			})
		}
	}
	return json.NewEncoder(w).Encode(statuses)
}
