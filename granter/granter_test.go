package granter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank/granter"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
)

var (
	start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	link  = granter.Link{From: "north", To: "south"}
)

const (
	capacity = 1000.0
	// membershipDelay is the longest time after which a replaced issuer learns of
	// its replacement.
	membershipDelay = 2 * time.Second
)

// simulation simulates a failure domain with one issuer at a time.
type simulation struct {
	now     time.Time
	issuer  *granter.Issuer
	holders []*granter.Holder
	// replaced is the previous issuer. It learns of its replacement at
	// replacedUntil.
	replaced      *granter.Issuer
	replacedUntil time.Time
}

func (s *simulation) used() float64 {
	used := 0.0
	for _, h := range s.holders {
		used += h.Rate(link, s.now)
	}
	return used
}

// advance advances the clock. Normally the issuers tick meanwhile. With a
// probability of 1 in 10 the processes are paused: the clock advances by up to
// longest milliseconds and the issuers do not tick.
func (s *simulation) advance(t *rapid.T, label string, maxMilliseconds int) {
	const longest, step = 6000, time.Second
	if rapid.IntRange(0, 9).Draw(t, label+" paused") == 0 {
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, label)) * time.Millisecond)
		return
	}
	end := s.now.Add(time.Duration(rapid.IntRange(0, maxMilliseconds).Draw(t, label)) * time.Millisecond)
	for s.now.Before(end) {
		s.now = s.now.Add(min(step, end.Sub(s.now)))
		s.tick()
	}
}

func (s *simulation) tick() {
	s.issuer.Tick(s.now)
	if s.replaced != nil && s.now.Before(s.replacedUntil) {
		s.replaced.Tick(s.now)
	}
}

// requestAllowance requests an allowance for a random holder. Request and answer
// are delayed: the issuer may be paused before it grants, and the holder before it
// gets the answer. The answer may be lost.
func (s *simulation) requestAllowance(t *rapid.T) {
	n := rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")
	requestedAt := s.now
	s.advance(t, "request delay", 100)
	issuer := s.issuer
	if s.replaced != nil && s.now.Before(s.replacedUntil) && rapid.Bool().Draw(t, "replaced issuer") {
		issuer = s.replaced
	}
	rate := issuer.Grant(granter.Request{
		Holder: fmt.Sprint(n), Link: link, Wanted: rapid.Float64Range(0, 2000).Draw(t, "wanted"),
	}, capacity, s.now)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	s.advance(t, "answer delay", 500)
	s.holders[n].SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: requestedAt.Add(granter.Lifetime)})
}

// The allowances in use must never exceed the capacity, even if answers are lost or
// late, members are paused, or the issuer is replaced.
func TestAllowancesInUseNeverExceedTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, issuer: granter.NewIssuer(start)}
		for s.now.Before(start.Add(granter.HoldDown)) {
			s.now = s.now.Add(time.Second)
			s.tick()
		}
		for range rapid.IntRange(1, 6).Draw(t, "holders") {
			s.holders = append(s.holders, granter.NewHolder())
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": s.requestAllowance,
			"wait": func(t *rapid.T) {
				s.advance(t, "wait", 1500)
			},
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "replace") > 0 {
					return
				}
				s.replaced, s.replacedUntil = s.issuer, s.now.Add(membershipDelay)
				s.issuer = granter.NewIssuer(s.now)
			},
			// An issuer that was replaced while it was paused grants once more.
			"wake": func(*rapid.T) {
				if s.replaced == nil || s.now.Before(s.replacedUntil) {
					return
				}
				s.holders[0].SetAllowance(link, granter.Allowance{
					BytesPerSecond: s.replaced.Grant(granter.Request{Holder: "0", Link: link, Wanted: capacity}, capacity, s.now),
					Deadline:       s.now.Add(granter.Lifetime),
				})
				s.replaced = nil
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, s.used(), capacity+1e-6)
			},
		})
	})
}

// settle lets every holder request an allowance once a second until the rates no
// longer change, and returns the rates.
func settle(issuer *granter.Issuer, requested []float64) []float64 {
	rates := make([]float64, len(requested))
	const rounds = 30
	for round := range rounds {
		now := start.Add(time.Duration(round) * time.Second)
		for i, wanted := range requested {
			rates[i] = issuer.Grant(granter.Request{Holder: fmt.Sprint(i), Link: link, Wanted: wanted}, capacity, now)
		}
	}
	return rates
}

func TestSmallRequestsAreGrantedInFullAndTheRestIsShared(t *testing.T) {
	cases := []struct{ requested, rates []float64 }{
		{[]float64{100, 200}, []float64{100, 200}},
		{[]float64{100, 2000}, []float64{100, 900}},
		{[]float64{2000, 2000}, []float64{500, 500}},
		{[]float64{100, 2000, 2000}, []float64{100, 450, 450}},
		{[]float64{0, 2000}, []float64{0, 1000}},
	}
	for _, c := range cases {
		require.InDeltaSlice(t, c.rates, settle(granter.NewIssuer(start), c.requested), 1e-6, "requested %v", c.requested)
	}
}

func TestANewIssuerGrantsNothingDuringTheHoldDown(t *testing.T) {
	issuer := granter.NewIssuer(start)
	request := granter.Request{Holder: "a", Link: link, Wanted: 10}
	for _, c := range []struct {
		after time.Duration
		rate  float64
	}{{0, 0}, {time.Second, 0}, {granter.HoldDown / 2, 0}, {granter.HoldDown - 1, 0}, {granter.HoldDown, 10}} {
		issuer.Tick(start.Add(c.after - time.Second))
		require.Equal(t, c.rate, issuer.Grant(request, capacity, start.Add(c.after)), "after %s", c.after)
	}
}

// A replaced issuer may grant the whole capacity just before it learns of its
// replacement. The new issuer must not grant capacity that is still in use under
// that allowance.
func TestAReplacedIssuerMayGrantUntilItLearnsOfIt(t *testing.T) {
	for late := time.Duration(0); late < membershipDelay; late += 100 * time.Millisecond {
		before := granter.NewIssuer(start)
		now := start
		for now.Before(start.Add(granter.HoldDown + time.Second)) {
			now = now.Add(time.Second)
			before.Tick(now)
		}
		after := granter.NewIssuer(now)
		holders := []*granter.Holder{granter.NewHolder(), granter.NewHolder()}
		requestedAt := now.Add(late)
		before.Tick(requestedAt)
		rate := before.Grant(granter.Request{Holder: "0", Link: link, Wanted: capacity}, capacity, requestedAt)
		require.Equal(t, capacity, rate)
		holders[0].SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: requestedAt.Add(granter.Lifetime)})
		granted := false
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			rate := after.Grant(granter.Request{Holder: "1", Link: link, Wanted: capacity}, capacity, now)
			holders[1].SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: now.Add(granter.Lifetime)})
			require.LessOrEqual(t, holders[0].Rate(link, now)+holders[1].Rate(link, now), capacity, "late by %s", late)
			granted = granted || rate > 0
		}
		require.True(t, granted)
	}
}

func TestAnAllowanceExpires(t *testing.T) {
	holder := granter.NewHolder()
	holder.SetAllowance(link, granter.Allowance{BytesPerSecond: 5, Deadline: start})
	require.Equal(t, 5.0, holder.Rate(link, start.Add(-1)))
	require.Zero(t, holder.Rate(link, start))
	require.Zero(t, holder.Rate(granter.Link{From: "a", To: "b"}, start))
}
