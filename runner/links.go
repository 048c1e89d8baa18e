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
	// allowanceInterval is the time between two requests for allowances, unless
	// demand causes an earlier one.
	allowanceInterval = time.Second
	// minWantedRate is the lowest rate requested for a recently used link, in
	// bytes a second.
	minWantedRate = 256 << 10
	// demandMargin is the ratio of the requested rate to the offered rate. It
	// leaves room for growing demand.
	demandMargin = 1.5
	// linkIdleTimeout is how long allowances for a link are renewed after its
	// last use.
	linkIdleTimeout = 10 * time.Second
	// callersLinkShare is the part of a link's capacity for callers' requests. The
	// rest is for messages between entries.
	callersLinkShare = 0.9
	bytesPerMegabit  = 1e6 / 8
)

// pacedLink is a link with a limit over which this instance sends requests.
type pacedLink struct {
	pacer *pacer.Pacer
	// lastUsed is the time of the last request, in nanoseconds since the epoch.
	lastUsed atomic.Int64
}

// links holds the allowances for the links of this instance's region, and issues
// those of its failure domain if this instance is the issuer.
type links struct {
	r                *Runner
	issuer           *granter.Issuer
	holder           *granter.Holder
	renewalRequested chan struct{}

	mu       sync.Mutex
	paced    map[granter.Link]*pacedLink
	isIssuer bool
}

func newLinks(r *Runner) *links {
	return &links{
		r:                r,
		issuer:           granter.NewIssuer(time.Now()),
		holder:           granter.NewHolder(),
		renewalRequested: make(chan struct{}, 1),
		paced:            map[granter.Link]*pacedLink{},
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
			OnDemand: l.requestRenewal,
		})}
		l.paced[link] = p
	}
	p.lastUsed.Store(time.Now().UnixNano())
	return p.pacer
}

// capacity returns this failure domain's part of a link in bytes a second, or 0
// for a link without a limit. Each domain of the region has a fixed part, so that
// domains that are partitioned from each other do not use the same capacity.
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
	for _, configured := range c.Links {
		same := configured.From == link.From && configured.To == link.To
		reverse := configured.From == link.To && configured.To == link.From
		if same || reverse {
			return configured.LimitMegabitsPerSec * bytesPerMegabit * callersLinkShare / float64(max(1, domains))
		}
	}
	return 0
}

// requestRenewal makes run renew the allowances before the next interval.
func (l *links) requestRenewal() {
	select {
	case l.renewalRequested <- struct{}{}:
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
		case <-l.renewalRequested:
			const minPause = 20 * time.Millisecond
			sleep(ctx, minPause)
		}
		now := time.Now()
		l.renew(ctx, now, now.Sub(last))
		last = now
	}
}

// renew requests allowances for the links in use from the issuer.
func (l *links) renew(ctx context.Context, now time.Time, elapsed time.Duration) {
	issuer, ok := l.findIssuer(now)
	l.issuer.Tick(now)
	request := &peerpb.GrantRequest{From: l.r.config.Instance.ID}
	for link, wanted := range l.wantedRates(now, elapsed) {
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

// wantedRates returns the rates to request, by link.
func (l *links) wantedRates(now time.Time, elapsed time.Duration) map[granter.Link]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := map[granter.Link]float64{}
	for link, p := range l.paced {
		if now.UnixNano()-p.lastUsed.Load() > int64(linkIdleTimeout) {
			continue
		}
		offered := float64(p.pacer.TakeOffered()) / max(elapsed.Seconds(), allowanceInterval.Seconds())
		wanted[link] = max(minWantedRate, offered*demandMargin)
	}
	return wanted
}

// findIssuer returns the member of this failure domain that issues allowances.
// An instance that becomes the issuer resets its state.
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

// HandleGrant implements messenger.GrantHandler. An instance that is not the
// issuer grants nothing.
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
