package rationer_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/router"
)

// BenchmarkTakeOwn takes and checks tokens of the own part. It must not allocate.
func BenchmarkTakeOwn(b *testing.B) {
	tenant := tenantWith(1e9, 1e9)
	self := apportioner.Member{ID: "entry-1", Region: "region-1"}
	began := time.Now().Add(-time.Minute)
	membership := apportioner.NewMembership(apportioner.MembershipConfig{Self: self, StartedAt: began})
	membership.Set([]apportioner.Member{self}, began)
	membership.Sweep(began)
	membership.Sweep(began.Add(time.Second))
	r := rationer.New(rationer.Config{
		Fleet: membership, Bounds: bounds, Log: slog.New(slog.DiscardHandler),
		Find: func(string) *router.Tenant { return &tenant },
		Now:  func() time.Time { return began.Add(8 * time.Second) },
	})
	for at := began; at.Before(began.Add(8 * time.Second)); at = at.Add(time.Second) {
		membership.Sweep(at)
	}
	b.ReportAllocs()
	for b.Loop() {
		token, err := r.Take(b.Context(), &tenant)
		if err == nil {
			err = r.Renew(b.Context(), &tenant, &token)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
