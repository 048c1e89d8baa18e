package runner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/allocator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/recorder"
)

// acquire asks the members that may have owned servers to release them.
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
			r.requestUpdate()
		}()
	}
}

// releaser releases servers that another entry owns now.
type releaser struct{ r *Runner }

// HandleAcquire implements messenger.OwnerHandler. The executor sends no further
// requests to the servers before those in flight are counted.
func (h releaser) HandleAcquire(request *peerpb.AcquireServersRequest) *peerpb.AcquireServersResponse {
	now := time.Now()
	released := map[string]bool{}
	for _, server := range request.Servers {
		released[server] = h.r.allocator.Release(server, request.From, now)
	}
	h.r.executor.Withdraw(request.Servers)
	response := &peerpb.AcquireServersResponse{}
	for _, server := range request.Servers {
		inFlight := h.r.executor.InFlight(server) + h.r.allocator.ReservedSlots(server, now)
		if !released[server] {
			inFlight = max(1, h.r.allocator.Slots(server))
		}
		response.Servers = append(response.Servers, &peerpb.AcquiredServer{Server: server, InFlight: uint32(inFlight)})
	}
	h.r.requestUpdate()
	return response
}
