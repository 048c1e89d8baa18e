package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/isolator"
)

// broadcastTimeout bounds how long the answer to a caller waits while the record
// of a suspected request is sent to other entries.
const broadcastTimeout = 300 * time.Millisecond

// broadcastSuspect sends a record to the members of the region, and to one relay
// of each failure domain of other regions, which forwards it to its own domain.
func (r *Runner) broadcastSuspect(record isolator.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
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
	forwardRequest := &peerpb.ShareSuspectsRequest{From: request.From, Records: request.Records, PassOn: true}
	for _, m := range r.foreignRelays() {
		wait.Go(func() { r.sendSuspects(ctx, m, forwardRequest) })
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

// suspectReceiver merges the records that other entries send.
type suspectReceiver struct{ r *Runner }

// HandleSuspects implements messenger.SuspectHandler.
func (s suspectReceiver) HandleSuspects(ctx context.Context, request *peerpb.ShareSuspectsRequest) {
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
	forwarded := &peerpb.ShareSuspectsRequest{From: s.r.config.Instance.ID, Records: request.Records}
	var wait sync.WaitGroup
	for _, m := range (fleet(s)).Neighbours() {
		wait.Go(func() { s.r.sendSuspects(ctx, m, forwarded) })
	}
	wait.Wait()
}
