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
	// viewDelay is how long a replaced issuer may not know of it.
	viewDelay = 2 * time.Second
)

// domain is the members of a failure domain with one issuer at a time.
type domain struct {
	now     time.Time
	issuer  *granter.Issuer
	holders []*granter.Holder
	// old is the issuer before, which knows of its replacement by oldUntil.
	old      *granter.Issuer
	oldUntil time.Time
}

func (d *domain) used() float64 {
	used := 0.0
	for _, h := range d.holders {
		used += h.Rate(link, d.now)
	}
	return used
}

// pass lets time pass, now and then as long as a pause lasts. The issuers look
// at the clock meanwhile, unless it is they who are paused.
func (d *domain) pass(t *rapid.T, label string, mostMilliseconds int) {
	const longest, step = 6000, time.Second
	if rapid.IntRange(0, 9).Draw(t, label+" paused") == 0 {
		d.now = d.now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, label)) * time.Millisecond)
		return
	}
	end := d.now.Add(time.Duration(rapid.IntRange(0, mostMilliseconds).Draw(t, label)) * time.Millisecond)
	for d.now.Before(end) {
		d.now = d.now.Add(min(step, end.Sub(d.now)))
		d.tick()
	}
}

func (d *domain) tick() {
	d.issuer.Tick(d.now)
	if d.old != nil && d.now.Before(d.oldUntil) {
		d.old.Tick(d.now)
	}
}

// ask has a holder ask for an allowance; the answer takes a while, in which the
// holder, or the issuer before it decides, may be paused. It may be lost.
func (d *domain) ask(t *rapid.T) {
	n := rapid.IntRange(0, len(d.holders)-1).Draw(t, "holder")
	asked := d.now
	d.pass(t, "there", 100)
	issuer := d.issuer
	if d.old != nil && d.now.Before(d.oldUntil) && rapid.Bool().Draw(t, "old") {
		issuer = d.old
	}
	rate := issuer.Grant(granter.Request{
		Holder: fmt.Sprint(n), Link: link, Wanted: rapid.Float64Range(0, 2000).Draw(t, "wanted"),
	}, capacity, d.now)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	d.pass(t, "back", 500)
	d.holders[n].SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: asked.Add(granter.Lifetime)})
}

// The allowances in use never exceed the capacity, whatever answers are lost or
// late, whoever is paused, and whenever the issuer is replaced.
func TestAllowancesInUseNeverExceedTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &domain{now: start, issuer: granter.NewIssuer(start)}
		for d.now.Before(start.Add(granter.HoldDown)) {
			d.now = d.now.Add(time.Second)
			d.tick()
		}
		for range rapid.IntRange(1, 6).Draw(t, "holders") {
			d.holders = append(d.holders, granter.NewHolder())
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": d.ask,
			"wait": func(t *rapid.T) {
				d.pass(t, "wait", 1500)
			},
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "replace") > 0 {
					return
				}
				d.old, d.oldUntil = d.issuer, d.now.Add(viewDelay)
				d.issuer = granter.NewIssuer(d.now)
			},
			// An issuer that was replaced while it was paused decides once more.
			"wake": func(*rapid.T) {
				if d.old == nil || d.now.Before(d.oldUntil) {
					return
				}
				d.holders[0].SetAllowance(link, granter.Allowance{
					BytesPerSecond: d.old.Grant(granter.Request{Holder: "0", Link: link, Wanted: capacity}, capacity, d.now),
					Deadline:       d.now.Add(granter.Lifetime),
				})
				d.old = nil
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, d.used(), capacity+1e-6)
			},
		})
	})
}

// settle has every holder ask once a second until the shares are at rest.
func settle(issuer *granter.Issuer, wants []float64) []float64 {
	rates := make([]float64, len(wants))
	const rounds = 30
	for round := range rounds {
		now := start.Add(time.Duration(round) * time.Second)
		for i, wanted := range wants {
			rates[i] = issuer.Grant(granter.Request{Holder: fmt.Sprint(i), Link: link, Wanted: wanted}, capacity, now)
		}
	}
	return rates
}

func TestSmallWantsAreMetAndTheRestIsShared(t *testing.T) {
	cases := []struct{ wants, rates []float64 }{
		{[]float64{100, 200}, []float64{100, 200}},
		{[]float64{100, 2000}, []float64{100, 900}},
		{[]float64{2000, 2000}, []float64{500, 500}},
		{[]float64{100, 2000, 2000}, []float64{100, 450, 450}},
		{[]float64{0, 2000}, []float64{0, 1000}},
	}
	for _, c := range cases {
		require.InDeltaSlice(t, c.rates, settle(granter.NewIssuer(start), c.wants), 1e-6, "wants %v", c.wants)
	}
}

func TestANewIssuerGrantsNothingAtFirst(t *testing.T) {
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

// The issuer before grants everything just before it learns that it was
// replaced.
func TestTheIssuerBeforeMayGrantUntilItKnows(t *testing.T) {
	for late := time.Duration(0); late < viewDelay; late += 100 * time.Millisecond {
		before := granter.NewIssuer(start)
		now := start
		for now.Before(start.Add(granter.HoldDown + time.Second)) {
			now = now.Add(time.Second)
			before.Tick(now)
		}
		after := granter.NewIssuer(now)
		holders := []*granter.Holder{granter.NewHolder(), granter.NewHolder()}
		asked := now.Add(late)
		before.Tick(asked)
		rate := before.Grant(granter.Request{Holder: "0", Link: link, Wanted: capacity}, capacity, asked)
		require.Equal(t, capacity, rate)
		holders[0].SetAllowance(link, granter.Allowance{BytesPerSecond: rate, Deadline: asked.Add(granter.Lifetime)})
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

func TestAnAllowanceEnds(t *testing.T) {
	holder := granter.NewHolder()
	holder.SetAllowance(link, granter.Allowance{BytesPerSecond: 5, Deadline: start})
	require.Equal(t, 5.0, holder.Rate(link, start.Add(-1)))
	require.Zero(t, holder.Rate(link, start))
	require.Zero(t, holder.Rate(granter.Link{From: "a", To: "b"}, start))
}
