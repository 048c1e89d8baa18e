package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/granter"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/pacer"
)

const (
	// allowanceInterval is the time between two requests for allowances.
	allowanceInterval = time.Second
	// leastWanted is asked for on a link that has been used of late, in bytes
	// a second.
	leastWanted = 256 << 10
	// wantedMargin allows for demand that grows.
	wantedMargin = 1.5
	// linkIdle is how long after its last use allowances for a link are renewed.
	linkIdle = 10 * time.Second
	// linkShare is the part of a link that work of callers may use; the rest is
	// for the entries' own messages.
	linkShare       = 0.9
	bytesPerMegabit = 1e6 / 8
)

// pacedLink is a link with a limit that this instance's work uses.
type pacedLink struct {
	pacer *pacer.Pacer
	// used is when work last came, in nanoseconds since the epoch.
	used atomic.Int64
}

// links holds the allowances for the links of this instance's region.
type links struct {
	r      *Runner
	issuer *granter.Issuer
	holder *granter.Holder
	kicked chan struct{}

	mu       sync.Mutex
	paced    map[granter.Link]*pacedLink
	isIssuer bool
}

func newLinks(r *Runner) *links {
	return &links{
		r:      r,
		issuer: granter.NewIssuer(time.Now()),
		holder: granter.NewHolder(),
		kicked: make(chan struct{}, 1),
		paced:  map[granter.Link]*pacedLink{},
	}
}

// pacer returns the pacer of a link, or nil for one without a limit.
func (l *links) pacer(from, to string) *pacer.Pacer {
	link := granter.Link{From: from, To: to}
	if from == to || l.capacity(link) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.paced[link]
	if p == nil {
		p = &pacedLink{pacer: pacer.New(pacer.Config{
			Rate:     func(now time.Time) float64 { return l.holder.Rate(link, now) },
			OnDemand: l.kick,
		})}
		l.paced[link] = p
	}
	p.used.Store(time.Now().UnixNano())
	return p.pacer
}

// capacity returns this failure domain's part of a link in bytes a second, or 0
// for a link without a limit. The parts are fixed, so that domains that cannot
// reach each other do not use the same part.
func (l *links) capacity(link granter.Link) float64 {
	v := l.r.view.Load()
	if v == nil {
		return 0
	}
	c := v.configuration
	domains := 0
	for _, d := range c.FailureDomains {
		if d.Region == l.r.config.Instance.Region {
			domains++
		}
	}
	for _, known := range c.Links {
		same := known.From == link.From && known.To == link.To
		reverse := known.From == link.To && known.To == link.From
		if same || reverse {
			return known.LimitMegabitsPerSec * bytesPerMegabit * linkShare / float64(max(1, domains))
		}
	}
	return 0
}

func (l *links) kick() {
	select {
	case l.kicked <- struct{}{}:
	default:
	}
}

// run renews allowances until ctx ends.
func (l *links) run(ctx context.Context) error {
	ticker := time.NewTicker(allowanceInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.kicked:
			const leastPause = 20 * time.Millisecond
			wait(ctx, leastPause)
		}
		now := time.Now()
		l.renew(ctx, now, now.Sub(last))
		last = now
	}
}

// renew asks the issuer for allowances on the links in use.
func (l *links) renew(ctx context.Context, now time.Time, elapsed time.Duration) {
	issuer, ok := l.findIssuer(now)
	l.issuer.Tick(now)
	request := &peerpb.GrantRequest{From: l.r.config.Instance.ID}
	for link, wanted := range l.wanted(now, elapsed) {
		request.Wants = append(request.Wants, &peerpb.LinkRate{From: link.From, To: link.To, BytesPerSecond: wanted})
	}
	if !ok || len(request.Wants) == 0 {
		return
	}
	var response *peerpb.GrantResponse
	if issuer.ID == l.r.config.Instance.ID {
		response = l.HandleGrant(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, allowanceInterval/2)
		defer cancel()
		var err error
		if response, err = l.r.client.Grant(ctx, issuer.PeerAddress, request); err != nil {
			return
		}
	}
	for _, rate := range response.Rates {
		l.holder.SetAllowance(granter.Link{From: rate.From, To: rate.To}, granter.Allowance{
			BytesPerSecond: rate.BytesPerSecond,
			Deadline:       now.Add(granter.Lifetime),
		})
	}
}

// wanted returns the rates to ask for, by link.
func (l *links) wanted(now time.Time, elapsed time.Duration) map[granter.Link]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := map[granter.Link]float64{}
	for link, p := range l.paced {
		if now.UnixNano()-p.used.Load() > int64(linkIdle) {
			continue
		}
		offered := float64(p.pacer.TakeOffered()) / max(elapsed.Seconds(), allowanceInterval.Seconds())
		wanted[link] = max(leastWanted, offered*wantedMargin)
	}
	return wanted
}

// findIssuer returns the member of this failure domain that issues allowances.
// An instance that becomes the issuer starts anew.
func (l *links) findIssuer(now time.Time) (pollencrank.Instance, bool) {
	members := slices.DeleteFunc(fleet{l.r}.Neighbours(), func(m pollencrank.Instance) bool { return !m.State.CanOwn() })
	if len(members) == 0 {
		return pollencrank.Instance{}, false
	}
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	issuer := members[pollencrank.RendezvousHome("links", ids)]
	isIssuer := issuer.ID == l.r.config.Instance.ID
	l.mu.Lock()
	defer l.mu.Unlock()
	if isIssuer && !l.isIssuer {
		l.issuer.Reset(now)
	}
	l.isIssuer = isIssuer
	return issuer, true
}

// HandleGrant implements messenger.GrantHandler. Only the issuer grants.
func (l *links) HandleGrant(request *peerpb.GrantRequest) *peerpb.GrantResponse {
	now := time.Now()
	response := &peerpb.GrantResponse{}
	if issuer, ok := l.findIssuer(now); !ok || issuer.ID != l.r.config.Instance.ID {
		return response
	}
	for _, want := range request.Wants {
		link := granter.Link{From: want.From, To: want.To}
		rate := l.issuer.Grant(granter.Request{Holder: request.From, Link: link, Wanted: want.BytesPerSecond}, l.capacity(link), now)
		response.Rates = append(response.Rates, &peerpb.LinkRate{From: link.From, To: link.To, BytesPerSecond: rate})
	}
	return response
}
