package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/isolator"
)

// shareTimeout bounds the time for which the answer to a caller waits until
// others know of a suspect.
const shareTimeout = 300 * time.Millisecond

// shareSuspect passes a record on to the members of the region, and to one relay
// of each other failure domain, which passes it on there.
func (r *Runner) shareSuspect(record isolator.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	request := &peerpb.ShareSuspectsRequest{
		From: r.config.Instance.ID,
		Records: []*peerpb.SuspectRecord{{
			Fingerprint: record.Fingerprint[:],
			Strikes:     uint32(record.Crashes),
			UntilUnixMs: record.Until.UnixMilli(),
		}},
	}
	var wait sync.WaitGroup
	for _, m := range r.regionMembers() {
		wait.Go(func() { r.sendSuspects(ctx, m, request) })
	}
	passedOn := &peerpb.ShareSuspectsRequest{From: request.From, Records: request.Records, PassOn: true}
	for _, m := range r.foreignRelays() {
		wait.Go(func() { r.sendSuspects(ctx, m, passedOn) })
	}
	wait.Wait()
}

func (r *Runner) sendSuspects(ctx context.Context, to pollencrank.Instance, request *peerpb.ShareSuspectsRequest) {
	if to.ID != r.config.Instance.ID && to.State.CanAnswer() {
		_, _ = r.client.ShareSuspects(ctx, to.PeerAddress, request)
	}
}

// foreignRelays returns a relay of each failure domain of other regions.
func (r *Runner) foreignRelays() []pollencrank.Instance {
	roster := r.gossip.Roster()
	var relays []pollencrank.Instance
	for _, domain := range roster.Domains() {
		members := roster.Relays(domain)
		if len(members) > 0 && members[0].Region != r.config.Instance.Region {
			relays = append(relays, members[0])
		}
	}
	return relays
}

// suspects takes records of other entries.
type suspects struct{ r *Runner }

// HandleSuspects implements messenger.SuspectHandler.
func (s suspects) HandleSuspects(ctx context.Context, request *peerpb.ShareSuspectsRequest) {
	var records []isolator.Record
	for _, m := range request.Records {
		record := isolator.Record{Crashes: int(m.Strikes), Until: time.UnixMilli(m.UntilUnixMs)}
		if copy(record.Fingerprint[:], m.Fingerprint) == len(record.Fingerprint) {
			records = append(records, record)
		}
	}
	s.r.isolator.Merge(records, time.Now())
	if !request.PassOn {
		return
	}
	further := &peerpb.ShareSuspectsRequest{From: s.r.config.Instance.ID, Records: request.Records}
	var wait sync.WaitGroup
	for _, m := range (fleet(s)).Neighbours() {
		wait.Go(func() { s.r.sendSuspects(ctx, m, further) })
	}
	wait.Wait()
}
