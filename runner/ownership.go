package runner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/recorder"
)

// acquire asks members that may have owned servers to let go of them.
func (r *Runner) acquire(ctx context.Context, acquisitions []allocator.Acquisition) {
	for _, a := range acquisitions {
		go func() {
			const timeout = 500 * time.Millisecond
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			request := &peerpb.AcquireServersRequest{From: r.config.Instance.ID, Servers: a.Servers}
			response, err := r.client.AcquireServers(ctx, a.From.PeerAddress, request)
			if err != nil {
				return
			}
			inFlight := 0
			for _, s := range response.Servers {
				inFlight += int(s.InFlight)
				r.allocator.RecordAcquisition(s.Server, a.From.ID, int(s.InFlight), time.Now())
			}
			r.config.Log.Info("servers acquired", recorder.EventServersAcquired.Attr(),
				slog.String("from", a.From.ID), slog.Int("servers", len(response.Servers)), slog.Int("inFlight", inFlight))
			r.changeSoon()
		}()
	}
}

// owner lets go of servers that another entry owns now.
type owner struct{ r *Runner }

// HandleAcquire implements messenger.OwnerHandler. No request is sent to the
// servers once they have been counted.
func (o owner) HandleAcquire(request *peerpb.AcquireServersRequest) *peerpb.AcquireServersResponse {
	now := time.Now()
	given := map[string]bool{}
	for _, server := range request.Servers {
		given[server] = o.r.allocator.Release(server, request.From, now)
	}
	o.r.executor.Withdraw(request.Servers)
	response := &peerpb.AcquireServersResponse{}
	for _, server := range request.Servers {
		inFlight := o.r.executor.InFlight(server) + o.r.allocator.ReservedSlots(server, now)
		if !given[server] {
			inFlight = max(1, o.r.allocator.Slots(server))
		}
		response.Servers = append(response.Servers, &peerpb.AcquiredServer{Server: server, InFlight: uint32(inFlight)})
	}
	o.r.changeSoon()
	return response
}
